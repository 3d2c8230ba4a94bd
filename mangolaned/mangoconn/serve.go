package mangoconn

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"mangolane/core/mangoclients"
	"mangolane/core/mangomodel"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Reason -trimprefix=Reason -output=reason_string.go

// Reason is why a connection of another daemon was closed.
type Reason int

const (
	// ReasonConnections means that there were too many connections.
	ReasonConnections Reason = iota
	// ReasonMessage means that there was no memory for a message.
	ReasonMessage
	// ReasonSlow means that a message was not complete in time.
	ReasonSlow
)

// Limits bound what the connections of other daemons may take, since nothing tells a daemon
// from a client that reaches its address.
type Limits struct {
	// Connections is how many may be open; zero means no limit.
	Connections int
	// Messages is the memory of large messages that are read, in bytes; zero means no limit.
	Messages mangomodel.Bytes
	// Closed is called for each connection that is closed; it may be nil.
	Closed func(Reason)
}

// ServeOption configures Serve.
type ServeOption func(*Limits)

// WithLimits bounds the connections; the default is no limit.
func WithLimits(l Limits) ServeOption { return func(x *Limits) { *x = l } }

// Serve serves each connection of a listener with serve on a goroutine of its own, until
// the listener is closed. A lack of descriptors does not end it. If there are too many
// connections, the oldest that was never answered is closed first.
func Serve(l net.Listener, serve func(net.Conn), opts ...ServeOption) error {
	var limits Limits
	for _, opt := range opts {
		opt(&limits)
	}
	s := &inbound{
		limits: limits, conns: make(map[mangoclients.ID]net.Conn),
		table: mangoclients.New(mangoclients.Limits{Connections: limits.Connections, HeadMemory: limits.Messages}),
	}
	// acceptPause is the pause after an Accept that failed for a lack of descriptors.
	const acceptPause = 20 * time.Millisecond
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			time.Sleep(acceptPause)
		case err != nil:
			return mangomodel.Errors.Wrap(err)
		default:
			if c := s.open(conn); c != nil {
				go serve(Bounded(c))
			}
		}
	}
}

// inbound holds the open connections. The goroutines that accept and serve share it.
type inbound struct {
	limits Limits
	table  *mangoclients.Table

	mu    sync.Mutex
	conns map[mangoclients.ID]net.Conn
}

// open returns the connection with its bounds, or nil if it was refused.
func (s *inbound) open(conn net.Conn) net.Conn {
	id, victim, ok := s.table.Open(hostOf(conn), time.Now())
	if !ok {
		s.closed(ReasonConnections)
		_ = conn.Close()
		return nil
	}
	c := &servedConn{Conn: conn, inbound: s, id: id}
	s.mu.Lock()
	s.conns[id] = c
	other := s.conns[victim]
	s.mu.Unlock()
	if other != nil {
		s.closed(ReasonConnections)
		_ = other.Close()
	}
	return c
}

func hostOf(conn net.Conn) mangoclients.Host {
	addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return mangoclients.Host(conn.RemoteAddr().String())
	}
	return mangoclients.Host(addr.Addr().String())
}

func (s *inbound) closed(r Reason) {
	if s.limits.Closed != nil {
		s.limits.Closed(r)
	}
}

const (
	// smallMessage is the size up to which a message needs no memory of Limits.Messages, in
	// bytes. Those that daemons exchange all the time have some kilobytes.
	smallMessage = 64 << 10
	// messageTime is how long a larger message may take; a link of 10 Mbit/s carries 2 MiB
	// in 1.7 s.
	messageTime = 5 * time.Second
)

var errMessage = errors.New("no memory for a message of this size")

// servedConn is a connection of another daemon. The decoder of gob allocates the size that
// a message announces, up to a gigabyte, before it reads the message, so that the
// connection reads the announced sizes along with it.
type servedConn struct {
	net.Conn
	inbound *inbound
	id      mangoclients.ID

	frames frames
	// large is set while a large message is read.
	large bool
	// answered is set once something was written.
	answered  bool
	closeOnce sync.Once
}

// Read reads the connection. The goroutine that serves it calls it.
func (c *servedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		size, ok := c.frames.scan(p[:n])
		if !ok || !c.enter(size) {
			c.inbound.closed(ReasonMessage)
			return 0, errMessage
		}
	}
	if err != nil && c.large && !errors.Is(err, net.ErrClosed) {
		c.inbound.closed(ReasonSlow)
	}
	return n, err
}

// enter records the size of the message that is being read, and reports whether there is
// memory for it.
func (c *servedConn) enter(size uint64) bool {
	if size > maxUnanswered {
		return false
	}
	large := size > smallMessage
	if large == c.large {
		return true
	}
	c.large = large
	if !large {
		c.inbound.table.Hold(c.id, 0)
		return c.SetReadDeadline(time.Time{}) == nil
	}
	if _, ok := c.inbound.table.Hold(c.id, mangomodel.Bytes(size)); !ok {
		return false
	}
	return c.SetReadDeadline(time.Now().Add(messageTime)) == nil
}

// Write writes a response. net/rpc writes one at a time.
func (c *servedConn) Write(p []byte) (int, error) {
	if !c.answered {
		c.answered = true
		c.inbound.table.Enter(c.id, mangoclients.PhaseServing, time.Now())
	}
	return c.Conn.Write(p)
}

// Close closes the connection and returns what it held.
func (c *servedConn) Close() error {
	c.closeOnce.Do(func() {
		c.inbound.mu.Lock()
		delete(c.inbound.conns, c.id)
		c.inbound.mu.Unlock()
		c.inbound.table.Close(c.id)
	})
	return c.Conn.Close()
}
