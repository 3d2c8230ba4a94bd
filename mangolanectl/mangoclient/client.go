// Package mangoclient is a client of the daemons' admin interface.
//
// # Usage
//
//	c := mangoclient.New(addresses, key)
//	published, err := c.Publish(ctx, change)
//	err = c.Show(ctx, mangowire.PathStatus, os.Stdout)
package mangoclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
)

// Client sends each request to several daemons in order, until one is available.
type Client struct {
	addrs []mangomodel.Address
	key   string
}

// New returns a client of the daemons at the given admin addresses. The key is
// the operators' key.
func New(addrs []mangomodel.Address, key string) *Client {
	return &Client{addrs: addrs, key: key}
}

// Publish publishes a change. All attempts at the daemons have the same ID, so
// the change is accepted at most once.
func (c *Client) Publish(ctx context.Context, change mangoconfig.Change) (mangowire.Published, error) {
	if change.ID == "" {
		change.ID = mangomodel.ChangeID(rand.Text())
	}
	var out mangowire.Published
	err := c.post(ctx, mangowire.PathPublish, change, &out)
	return out, err
}

// Stop begins a graceful shutdown of the first daemon and sends nothing to the
// others.
func (c *Client) Stop(ctx context.Context) error {
	return (&Client{addrs: c.addrs[:1], key: c.key}).post(ctx, mangowire.PathStop, struct{}{}, nil)
}

// Configuration returns the active documents.
func (c *Client) Configuration(ctx context.Context) (mangowire.Configuration, error) {
	var out mangowire.Configuration
	data, err := c.try(ctx, http.MethodGet, mangowire.PathConfiguration, nil)
	if err != nil {
		return out, err
	}
	return out, mangomodel.Errors.Wrap(json.Unmarshal(data, &out))
}

// Show writes the JSON response to a query, indented.
func (c *Client) Show(ctx context.Context, path string, w io.Writer) error {
	data, err := c.try(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	_, err = indented.WriteTo(w)
	return mangomodel.Errors.Wrap(err)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	data, err := c.try(ctx, http.MethodPost, path, body)
	if err != nil || out == nil {
		return err
	}
	return mangomodel.Errors.Wrap(json.Unmarshal(data, out))
}

// try sends a request to the daemons in order until one succeeds. It continues
// with the next daemon only after CodeUnavailable (unreachable or not ready) or
// CodeUnknownOutcome.
func (c *Client) try(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var failures []error
	for _, addr := range c.addrs {
		data, err := c.send(ctx, addr, method, path, body)
		if err == nil {
			return data, nil
		}
		failures = append(failures, err)
		if !mangomodel.HasCode(err, mangomodel.CodeUnavailable) && !mangomodel.HasCode(err, mangomodel.CodeUnknownOutcome) {
			break
		}
	}
	return nil, errors.Join(failures...)
}

// send sends a request to one daemon and returns the body of its response.
func (c *Client) send(ctx context.Context, addr mangomodel.Address, method, path string, body []byte) ([]byte, error) {
	client := mangorest.NewClient(mangomodel.PeerName(addr), addr, mangorest.WithoutReuse())
	header := http.Header{mangowire.HeaderKey: {"Bearer " + c.key}, "Content-Type": {"application/json"}}
	resp, err := client.Open(ctx, mangomodel.StepConfigure, method, path, header, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepConfigure, mangomodel.PeerName(addr),
			mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, client.ResponseFault(mangomodel.StepConfigure, resp.StatusCode, data)
	}
	return data, nil
}
