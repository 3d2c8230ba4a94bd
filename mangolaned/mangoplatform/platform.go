// Package mangoplatform is the HTTP client of the platform: its table service,
// its object store and its list of hosts.
//
// # Usage
//
//	p := mangoplatform.New("127.0.0.1:7900")
//	ledger := mangoentry.NewLedger(p, holder)
//	reader := mangorevision.NewReader(p, p)
//	watcher := mangoagent.NewHostWatcher(control, p, reporter, interval)
package mangoplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangorevision"
	"mangolane/core/mangowire"
)

// peer is the platform's name in faults.
const peer mangomodel.PeerName = "platform"

// Platform is a client of the platform.
type Platform struct{ client *mangorest.Client }

// New returns a client of the platform at an address.
func New(addr mangomodel.Address) *Platform {
	return &Platform{client: mangorest.NewClient(peer, addr)}
}

// Get reads a row; an absent row has version 0.
func (p *Platform) Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	var row mangomodel.Row
	path := mangowire.PathTable + "?Key=" + url.QueryEscape(string(key))
	err := p.client.Exchange(ctx, mangomodel.StepReserve, http.MethodGet, path, nil, &row)
	return row, err
}

// Put writes a row if its version is the expected one. It returns the new
// version.
func (p *Platform) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	var out mangowire.RowWritten
	in := mangowire.PutRow{Key: key, Value: value, Expect: expect}
	err := p.client.Exchange(ctx, mangomodel.StepReserve, http.MethodPut, mangowire.PathTable, in, &out)
	return out.Version, err
}

// GetObject reads an object.
func (p *Platform) GetObject(ctx context.Context, name mangorevision.ObjectName) ([]byte, error) {
	var out mangowire.Object
	path := mangowire.PathObjects + "?Name=" + url.QueryEscape(string(name))
	err := p.client.Exchange(ctx, mangomodel.StepConfigure, http.MethodGet, path, nil, &out)
	return out.Data, err
}

// PutObject writes an object.
func (p *Platform) PutObject(ctx context.Context, name mangorevision.ObjectName, data []byte) error {
	in := mangowire.Object{Name: string(name), Data: data}
	return p.client.Exchange(ctx, mangomodel.StepConfigure, http.MethodPut, mangowire.PathObjects, in, nil)
}

// Leaving returns the backend servers that are listed as leaving. A malformed entry
// names no server and does not hide the others.
func (p *Platform) Leaving(ctx context.Context) ([]mangomodel.ServerID, error) {
	var list struct{ Hosts []json.RawMessage }
	if err := p.client.Exchange(ctx, mangomodel.StepProbe, http.MethodGet, mangowire.PathHosts, nil, &list); err != nil {
		return nil, err
	}
	var leaving []mangomodel.ServerID
	for _, data := range list.Hosts {
		var h mangowire.HostEntry
		if err := json.Unmarshal(data, &h); err == nil && h.State == mangomodel.ServerLeaving {
			leaving = append(leaving, mangomodel.ServerID(h.Host))
		}
	}
	return leaving, nil
}
