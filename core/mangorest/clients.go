package mangorest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"mangolane/core/mangoclients"
	"mangolane/core/mangohead"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Reason -trimprefix=Reason -output=reason_string.go

// Reason is why a connection of a client was refused or closed.
type Reason int

const (
	// ReasonConnections means that there were too many connections.
	ReasonConnections Reason = iota
	// ReasonNoMemory means that there was no memory for the head of a request.
	ReasonNoMemory
	// ReasonHeadTooLarge means that a head exceeded its limit.
	ReasonHeadTooLarge
	// ReasonHeadTooSlow means that a head was not complete in time.
	ReasonHeadTooSlow
	// ReasonNotReading means that a client did not read its response.
	ReasonNotReading
)

// ClientObserver is notified of connections that are refused or closed. Its method must
// not block.
type ClientObserver interface {
	// ClientClosed is called for each connection, with the name of its server.
	ClientClosed(server string, r Reason)
}

// Memory is the memory that connections share with others.
type Memory interface {
	// Charge takes n bytes, or returns them if n is negative.
	Charge(n mangomodel.Bytes)
}

const (
	// ConnectionCost is the memory of a connection besides its request's head, in bytes:
	// two buffers of 4 KiB, the stacks of its goroutines, and its state.
	ConnectionCost mangomodel.Bytes = 20 << 10
	// defaultHeadMemory is the memory of all heads of a server without a limit of its own,
	// in bytes.
	defaultHeadMemory mangomodel.Bytes = 32 << 20
	// defaultMaxHead is the limit of a head where none is configured, in bytes; four times
	// what the users' pages allow.
	defaultMaxHead mangomodel.Bytes = 64 << 10
	// defaultStallTime is how long a client may take to read 32 KiB; a link of 10 Mbit/s
	// that 300 such clients share takes 8 s.
	defaultStallTime = 30 * time.Second
)

// Clients bounds what the connections of a server may take.
type Clients struct {
	mangoclients.Limits
	// StallTime is how long a write may make no progress.
	StallTime time.Duration
	// MaxHead returns the limit of a head, in bytes; zero means that none is configured.
	MaxHead func() mangomodel.Bytes
	// Memory is charged with what the connections take.
	Memory   Memory
	Observer ClientObserver
}

// WithClients bounds the connections of a server. What is left zero has its default.
func WithClients(c Clients) Option { return func(o *options) { o.clients = c } }

// DescriptorShare returns a share of the descriptors that the process may open, or at least
// min.
func DescriptorShare(share float64, least int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return least
	}
	// An unlimited number is more than any daemon needs.
	const most = 1 << 16
	return max(int(share*float64(min(limit.Cur, most))), least)
}

// frontShare is the share of the descriptors for the clients of a server without a limit
// of its own. The rest is for servers and other daemons.
const frontShare = 0.5

// Usage returns what the connections of the server take.
func (s *Server) Usage() mangoclients.Usage { return s.guard.table.Usage() }

// guard bounds the connections of one server.
type guard struct {
	name    string
	clients Clients
	table   *mangoclients.Table

	mu    sync.Mutex
	conns map[mangoclients.ID]*guardedConn
}

func newGuard(name string, c Clients) *guard {
	if c.Connections == 0 {
		c.Connections = DescriptorShare(frontShare, 64)
	}
	if c.HeadMemory == 0 {
		c.HeadMemory = defaultHeadMemory
	}
	if c.StallTime == 0 {
		c.StallTime = defaultStallTime
	}
	if c.MaxHead == nil {
		c.MaxHead = func() mangomodel.Bytes { return 0 }
	}
	if c.Memory == nil {
		c.Memory = nopMemory{}
	}
	if c.Observer == nil {
		c.Observer = nopClientObserver{}
	}
	return &guard{name: name, clients: c, table: mangoclients.New(c.Limits), conns: make(map[mangoclients.ID]*guardedConn)}
}

func (g *guard) newHead() mangohead.Head {
	if limit := g.clients.MaxHead(); limit > 0 {
		return mangohead.NewHead(limit)
	}
	return mangohead.NewHead(defaultMaxHead)
}

// open returns the guarded connection, or nil if it was refused.
func (g *guard) open(conn net.Conn) *guardedConn {
	name, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	id, victim, ok := g.table.Open(mangoclients.Host(name), time.Now())
	if !ok {
		g.closed(ReasonConnections)
		// The socket's buffer takes it; if not, the client sees the end only.
		_ = conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = conn.Write(g.response(ReasonConnections))
		_ = conn.Close()
		return nil
	}
	c := &guardedConn{Conn: conn, guard: g, id: id}
	g.mu.Lock()
	g.conns[id] = c
	other := g.conns[victim]
	g.mu.Unlock()
	g.clients.Memory.Charge(ConnectionCost)
	if other != nil {
		g.closed(ReasonConnections)
		_ = other.Close()
	}
	return c
}

// hold changes the memory that a connection holds for its head.
func (g *guard) hold(id mangoclients.ID, n mangomodel.Bytes) bool {
	before, ok := g.table.Hold(id, n)
	if ok {
		g.clients.Memory.Charge(n - before)
	}
	return ok
}

// remove forgets a connection and returns its memory.
func (g *guard) remove(c *guardedConn) {
	g.mu.Lock()
	delete(g.conns, c.id)
	g.mu.Unlock()
	g.clients.Memory.Charge(-ConnectionCost - g.table.Close(c.id))
}

func (g *guard) closed(r Reason) { g.clients.Observer.ClientClosed(g.name, r) }

// response returns the response to a request that has not run and never will.
func (g *guard) response(r Reason) []byte {
	code, status, retry := mangomodel.CodeOverloaded, http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	message := "the daemon has no memory for a further head"
	switch r {
	case ReasonHeadTooLarge:
		code, status, retry = mangomodel.CodeHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, ""
		message = "the head of the request exceeds its limit"
	case ReasonConnections:
		message = "the daemon has no room for a further connection"
	}
	f := mangomodel.Faultf(mangomodel.StepParse, "", code, mangomodel.RunNot, "%s", message)
	body, _ := json.Marshal(mangowire.FaultBodyOf(f))
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n%s",
		status, http.StatusText(status), len(body), retry, body)
	return text.Bytes()
}

// watchInterval is how often slow connections are looked for.
const watchInterval = time.Second

// watch closes connections that are too slow, until ctx ends and none is open.
func (g *guard) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for range ticker.C {
		if g.closeSlow(time.Now()) == 0 && ctx.Err() != nil {
			return
		}
	}
}

// closeSlow closes the connections that are too slow, and returns how many were open.
func (g *guard) closeSlow(now time.Time) int {
	type slow struct {
		c      *guardedConn
		reason Reason
	}
	var list []slow
	longer := func(since int64, d time.Duration) bool { return since != 0 && now.Sub(time.Unix(0, since)) > d }
	g.mu.Lock()
	open := len(g.conns)
	for _, c := range g.conns {
		switch {
		case longer(c.reading.Load(), headerTimeout):
			list = append(list, slow{c, ReasonHeadTooSlow})
		case longer(c.writing.Load(), g.clients.StallTime):
			list = append(list, slow{c, ReasonNotReading})
		}
	}
	g.mu.Unlock()
	for _, s := range list {
		g.closed(s.reason)
		_ = s.c.Close()
	}
	return open
}

// guardedListener accepts guarded connections.
type guardedListener struct {
	net.Listener
	guard *guard
}

// acceptPause is the pause after an Accept that failed, for example for a lack of
// descriptors.
const acceptPause = 20 * time.Millisecond

// Accept returns the next connection that is not refused.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			time.Sleep(acceptPause)
		case err != nil:
			return nil, err
		default:
			if c := l.guard.open(conn); c != nil {
				return c, nil
			}
		}
	}
}

type nopMemory struct{}

func (nopMemory) Charge(mangomodel.Bytes) {}

type nopClientObserver struct{}

func (nopClientObserver) ClientClosed(string, Reason) {}
