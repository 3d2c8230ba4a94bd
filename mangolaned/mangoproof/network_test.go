package mangoproof_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"mangolane/core/mangomodel"
)

// place is one end of the fake network: a daemon, a backend server or the
// platform.
type place string

const platformPlace place = "platform"

var errCut = errors.New("the network is cut")

// network is a fake network that can be cut between any two places. A cut
// makes new exchanges time out and open connections silent for good.
type network struct {
	mu        sync.Mutex
	listeners map[mangomodel.Address]*listener
	places    map[mangomodel.Address]place
	cuts      map[[2]place]bool
	conns     []*conn
}

func newNetwork() *network {
	return &network{
		listeners: make(map[mangomodel.Address]*listener),
		places:    make(map[mangomodel.Address]place),
		cuts:      make(map[[2]place]bool),
	}
}

// set cuts or heals the link between two places.
func (n *network) set(a, b place, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]place{a, b}], n.cuts[[2]place{b, a}] = cut, cut
	for _, c := range n.conns {
		if cut && (c.from == a && c.to == b || c.from == b && c.to == a) {
			c.silence()
		}
	}
}

// close ends all listeners and connections.
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

// reach fails like a time-out if two places are cut off from each other.
func (n *network) reach(ctx context.Context, a, b place) error {
	n.mu.Lock()
	cut := n.cuts[[2]place{a, b}]
	n.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return mangomodel.NewFault(mangomodel.StepProbe, mangomodel.PeerName(b),
		mangomodel.CodeUnavailable, mangomodel.RunUnknown, errCut)
}

func (n *network) listen(at place, addr mangomodel.Address) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr], n.places[addr] = l, at
	return l
}

// dialFrom returns a function that makes connections from a place.
func (n *network) dialFrom(from place) func(context.Context, mangomodel.Address) (net.Conn, error) {
	return func(ctx context.Context, addr mangomodel.Address) (net.Conn, error) {
		n.mu.Lock()
		l, to := n.listeners[addr], n.places[addr]
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

func (n *network) connect(ctx context.Context, l *listener, from, to place) (net.Conn, error) {
	near, far := net.Pipe()
	a := &conn{Conn: near, from: from, to: to, dead: make(chan struct{})}
	b := &conn{Conn: far, from: to, to: from, dead: make(chan struct{})}
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

// conn is a connection that can go silent: what is written into it is lost.
type conn struct {
	net.Conn
	from, to place
	dead     chan struct{}
	once     sync.Once
}

func (c *conn) silence() { c.once.Do(func() { close(c.dead) }) }

func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.dead:
		return len(b), nil
	default:
	}
	return c.Conn.Write(b)
}

// settle is long enough for probes and renewals to have gone round.
const settle = 5 * time.Second
