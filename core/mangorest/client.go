package mangorest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxIdleConnections is how many idle connections are kept to one peer.
	maxIdleConnections = 64
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxResponseHeader bounds the bytes read before a response's body, those of
	// interim responses included.
	maxResponseHeader = 32 << 10
	// maxResponseBody bounds the bytes read of a response's body.
	maxResponseBody = 16 << 20
	// maxFetchedBody bounds the bytes read of a body that may come slowly. The
	// configuration of hundreds of hosts takes some hundred kilobytes.
	maxFetchedBody = 4 << 20
)

// Client makes HTTP requests to one peer.
type Client struct {
	peer      mangomodel.PeerName
	baseURL   string
	service   httpc.Service
	transport *http.Transport
}

// ClientOption configures a Client.
type ClientOption func(*clientOptions)

type clientOptions struct {
	transport *http.Transport
	dialer    *net.Dialer
}

// WithoutReuse gives every request a connection of its own. The transport
// never sends a request twice over such connections.
func WithoutReuse() ClientOption {
	return func(o *clientOptions) { o.transport.DisableKeepAlives = true }
}

// WithDialTimeout bounds the opening of a connection; the default is two
// seconds.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(o *clientOptions) { o.dialer.Timeout = d }
}

// WithReceiveBuffer bounds the bytes that the system keeps of each response until they
// are read. It also bounds the rate of responses from afar.
func WithReceiveBuffer(n mangomodel.Bytes) ClientOption {
	return func(o *clientOptions) { o.dialer.Control = receiveBuffer(n).control }
}

// WithoutCompression keeps the transport from requesting compressed bodies.
func WithoutCompression() ClientOption {
	return func(o *clientOptions) { o.transport.DisableCompression = true }
}

// NewClient returns a client of the peer at an IP address and port.
func NewClient(peer mangomodel.PeerName, addr mangomodel.Address, opts ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialConn(dialer),
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeader,
	}
	for _, opt := range opts {
		opt(&clientOptions{transport, dialer})
	}
	name := "mangolane/" + string(peer) + "/" + string(addr)
	breaker.NoBreakerFor(name)
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &Client{
		peer: peer, baseURL: "http://" + string(addr),
		service: httpc.NewServiceWithClient(name, client), transport: transport,
	}
}

// noRedirect returns redirects to the caller, since following one would send
// the request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Open sends a request and returns the response with its body open, whatever
// its status. An error is a fault with RunNot if no connection was made, and
// with RunUnknown otherwise. After an error the idle connections are closed,
// since they may be unresponsive as well.
func (c *Client) Open(ctx context.Context, step mangomodel.Step, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, mangomodel.NewFault(step, c.peer, mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	return c.Send(step, c.peer, req)
}

// errUnsolicited is the error of a response on a reused connection that was received before
// its request was sent, and so belongs to none.
var errUnsolicited = errors.New("response received before its request was sent")

// Send sends a request that the caller has built, to the host of its URL. A response whose
// head is malformed, or that changes the protocol, is a fault.
func (c *Client) Send(step mangomodel.Step, peer mangomodel.PeerName, req *http.Request) (*http.Response, error) {
	var conn *clientConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*clientConn)
		if info.Reused {
			conn.begin()
		}
	}}
	resp, err := c.service.DoRequest(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil && !conn.answered() {
		// The response to this request may still come.
		_ = conn.Close()
		_ = resp.Body.Close()
		err = errUnsolicited
	}
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, mangomodel.NewFault(step, peer, mangomodel.CodeUnavailable, runOf(err), err)
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// errNoData is the cause of the cancellation of an exchange in which the peer
// sent no data in time.
var errNoData = errors.New("no data received from the peer in time")

// Fetched is a response that was read.
type Fetched struct {
	Status int
	Header http.Header
	Body   []byte
}

// Fetch sends a request that the caller has built and reads the response. It fails
// if the response does not begin within responseTimeout, if no data is received for
// dataTimeout within it, or if its body exceeds maxFetchedBody bytes. A large
// response over a slow link thus completes, and an unresponsive connection does
// not block the caller.
func (c *Client) Fetch(step mangomodel.Step, req *http.Request, responseTimeout, dataTimeout time.Duration) (*Fetched, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	watchdog := time.AfterFunc(responseTimeout, func() { cancel(errNoData) })
	defer watchdog.Stop()
	resp, err := c.Send(step, c.peer, req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	watchdog.Reset(dataTimeout)
	body := io.TeeReader(resp.Body, onWrite(func() { watchdog.Reset(dataTimeout) }))
	data, err := readLimited(body, maxFetchedBody)
	if err != nil {
		return nil, mangomodel.NewFault(step, c.peer, mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
	}
	return &Fetched{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

// readLimited reads a body of at most limit bytes. A longer one is an error, since
// a truncated body must not be taken for a whole one.
func readLimited(body io.Reader, limit mangomodel.Bytes) ([]byte, error) {
	parts, _, err := mangomemory.ReadParts(body, limit+1, func(mangomodel.Bytes) error { return nil })
	if err == nil && parts.Len() > limit {
		err = mangomodel.Errors.New("response body exceeds %d bytes", limit)
	}
	return bytes.Join(parts, nil), err
}

// onWrite calls a function for each write.
type onWrite func()

func (f onWrite) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}

// Exchange sends a message as JSON and decodes the response into out, which may
// be nil. A response with a status other than 200 is returned as a fault.
func (c *Client) Exchange(ctx context.Context, step mangomodel.Step, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return mangomodel.NewFault(step, c.peer, mangomodel.CodeInvalid, mangomodel.RunNot, err)
		}
	}
	resp, err := c.Open(ctx, step, method, path, jsonHeader(), body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := readLimited(resp.Body, maxResponseBody)
	if err != nil {
		return mangomodel.NewFault(step, c.peer, mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
	}
	if resp.StatusCode != http.StatusOK {
		return c.ResponseFault(step, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return mangomodel.NewFault(step, c.peer, mangomodel.CodeBackend, mangomodel.RunUnknown, err)
	}
	return nil
}

// ResponseFault returns the fault for a response with an error status.
func (c *Client) ResponseFault(step mangomodel.Step, status int, data []byte) error {
	var body mangowire.FaultBody
	if err := json.Unmarshal(data, &body); err == nil && body.Message != "" {
		f := body.Fault()
		f.Step, f.Peer = step, c.peer
		return f
	}
	return mangomodel.Faultf(step, c.peer, mangowire.CodeFrom(status), mangomodel.RunUnknown,
		"status %d: %s", status, bytes.TrimSpace(data))
}

// IsConnectionRefused reports whether an error means that the peer's host is
// reachable and no process listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// runOf returns RunNot for a failure to connect, after which nothing can have
// run, and RunUnknown for every other failure.
func runOf(err error) mangomodel.Run {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return mangomodel.RunNot
	}
	return mangomodel.RunUnknown
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
