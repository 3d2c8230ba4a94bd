package mangoworker

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is the share of requests to which a fault applies. A request's id decides
// whether it is one of them.
type Share float64

// Faults are the faults of a server's responses. They can be combined.
type Faults struct {
	// Unframed sends responses with neither a length nor chunks. They end with
	// their connection.
	Unframed bool
	// Hang is the share of prefills, plain calls and streams that are accepted and
	// never answered.
	Hang Share
	// CutWithin and CutBetween are the shares of streams that a reset breaks off
	// within an event and between two events.
	CutWithin, CutBetween Share
	// Deadly is the path of the plain calls that crash the server when it begins to run
	// them. Empty means none.
	Deadly string
}

// includes reports whether a request at a server belongs to a share.
func (s Share) includes(server, id, fault string) bool {
	const steps = 1 << 20
	return xxhash.Sum64String(fault+"/"+server+"/"+id)%steps < uint64(s*steps)
}

// conduct is the current behaviour of a server. Its mutex guards it because tests
// change it while the server handles requests.
type conduct struct {
	mu      sync.Mutex
	faults  Faults
	leaving bool
	// refuseUntil is the end of the time that the server asked for.
	refuseUntil time.Time
}

// SetFaults replaces the faults of a server.
func (w *Worker) SetFaults(f Faults) {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	w.conduct.faults = f
}

// AnnounceLeaving makes the server announce in every response that it leaves, until
// it is started again.
func (w *Worker) AnnounceLeaving() {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	w.conduct.leaving = true
}

// RefuseFor makes the server refuse every request for a while and ask callers to
// stay away for the rest of that time.
func (w *Worker) RefuseFor(d time.Duration) {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	w.conduct.refuseUntil = time.Now().Add(d)
}

// Silence makes the server send nothing for a while on any connection. It loses
// nothing, and sends what is due afterwards.
func (w *Worker) Silence(d time.Duration) {
	w.silence.begin()
	time.AfterFunc(d, w.silence.end)
}

// Freeze makes the server neither read nor send for a while, nor accept connections,
// as SIGSTOP does to a process. It loses nothing.
func (w *Worker) Freeze(d time.Duration) {
	w.silence.begin()
	w.deafness.begin()
	time.AfterFunc(d, func() {
		w.deafness.end()
		w.silence.end()
	})
}

func (w *Worker) currentFaults() Faults {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	return w.conduct.faults
}

func (w *Worker) isLeaving() bool {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	return w.conduct.leaving
}

// refusalLeft returns how much longer the server refuses requests.
func (w *Worker) refusalLeft() time.Duration {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	return max(time.Until(w.conduct.refuseUntil), 0)
}

// resetConduct ends what a restart ends: the announcement and the refusals.
func (w *Worker) resetConduct() {
	w.conduct.mu.Lock()
	defer w.conduct.mu.Unlock()
	w.conduct.leaving, w.conduct.refuseUntil = false, time.Time{}
}

// refuseForTime refuses a request because the server asked for time.
func refuseForTime(rw http.ResponseWriter, left time.Duration) {
	rw.Header().Set(fieldRetryAfter, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	refuse(rw)
}

// hang holds a request until its caller disconnects.
func (w *Worker) hang(r *http.Request, id string) {
	w.recorder.recordHang(Arrival{Server: w.ID, Request: id, Daemon: r.Header.Get(FieldDaemon), At: time.Now()})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a request and ends its handler.
func reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.discard()
	}
	panic(http.ErrAbortHandler)
}

// silence blocks its waiters during periods that may overlap.
type silence struct {
	mu      sync.Mutex
	periods int
	// over is closed when no period is left.
	over chan struct{}
}

func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.periods++; s.periods == 1 {
		s.over = make(chan struct{})
	}
}

func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.periods--; s.periods == 0 {
		close(s.over)
		s.over = nil
	}
}

// wait waits until the server is not silent.
func (s *silence) wait() {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over != nil {
		<-over
	}
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// listener wraps the connections of one start of a server.
type listener struct {
	net.Listener
	silence, deafness *silence
	// crashed makes connections end with a reset.
	crashed *atomic.Bool
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.deafness.wait()
	return &conn{Conn: c, listener: l}, nil
}

type conn struct {
	net.Conn
	listener *listener
}

// Read waits until the server reads again.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.deafness.wait()
	return n, err
}

// Write waits until the server is not silent.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.silence.wait()
	return c.Conn.Write(p)
}

// Close resets the connection if the server has crashed.
func (c *conn) Close() error {
	if c.listener.crashed.Load() {
		c.discard()
	}
	return c.Conn.Close()
}

// discard makes Close reset the connection.
func (c *conn) discard() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}
