package mangoproof_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"mangolane/core/mangomodel"
)

// endpoint identifies a process on the fake network: a daemon, a backend server
// or the platform.
type endpoint string

const platformEndpoint endpoint = "platform"

var errCut = errors.New("the network link is cut")

// network is a fake network whose links between two endpoints can be cut. While
// a link is cut, new requests over it time out. Connections that were open at
// the cut discard all further writes, also after the link is restored.
type network struct {
	mu        sync.Mutex
	listeners map[mangomodel.Address]*listener
	endpoints map[mangomodel.Address]endpoint
	cuts      map[[2]endpoint]bool
	conns     []*conn
}

func newNetwork() *network {
	return &network{
		listeners: make(map[mangomodel.Address]*listener),
		endpoints: make(map[mangomodel.Address]endpoint),
		cuts:      make(map[[2]endpoint]bool),
	}
}

// setCut cuts or restores the link between two endpoints.
func (n *network) setCut(a, b endpoint, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]endpoint{a, b}], n.cuts[[2]endpoint{b, a}] = cut, cut
	for _, c := range n.conns {
		if cut && (c.from == a && c.to == b || c.from == b && c.to == a) {
			c.discardWrites()
		}
	}
}

// close closes all listeners and connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
	for _, c := range n.conns {
		c.Close()
	}
}

// reach returns nil at once if the link between two endpoints works. If it is
// cut, reach blocks until ctx is done and returns a fault, as a request that
// times out does.
func (n *network) reach(ctx context.Context, a, b endpoint) error {
	n.mu.Lock()
	cut := n.cuts[[2]endpoint{a, b}]
	n.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return mangomodel.NewFault(mangomodel.StepProbe, mangomodel.PeerName(b),
		mangomodel.CodeUnavailable, mangomodel.RunUnknown, errCut)
}

func (n *network) listen(at endpoint, addr mangomodel.Address) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr], n.endpoints[addr] = l, at
	return l
}

// dialFrom returns a dial function for connections from an endpoint.
func (n *network) dialFrom(from endpoint) func(context.Context, mangomodel.Address) (net.Conn, error) {
	return func(ctx context.Context, addr mangomodel.Address) (net.Conn, error) {
		n.mu.Lock()
		l, to := n.listeners[addr], n.endpoints[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		if err := n.reach(ctx, from, to); err != nil {
			return nil, err
		}
		return n.connect(ctx, l, from, to)
	}
}

func (n *network) connect(ctx context.Context, l *listener, from, to endpoint) (net.Conn, error) {
	near, far := net.Pipe()
	a := &conn{Conn: near, from: from, to: to, discard: make(chan struct{})}
	b := &conn{Conn: far, from: to, to: from, discard: make(chan struct{})}
	select {
	case l.conns <- b:
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, a, b)
	return a, nil
}

// listener accepts connections of the fake network.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// conn is a connection that can be made to discard all writes without an error,
// as a half-open connection does.
type conn struct {
	net.Conn
	from, to endpoint
	discard  chan struct{}
	once     sync.Once
}

func (c *conn) discardWrites() { c.once.Do(func() { close(c.discard) }) }

func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.discard:
		return len(b), nil
	default:
	}
	return c.Conn.Write(b)
}

// convergenceTime is long enough for probes and lease renewals to reach every
// daemon.
const convergenceTime = 5 * time.Second
