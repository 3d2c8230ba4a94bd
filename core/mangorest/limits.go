package mangorest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimiter closes connections that are idle for longer than a limit, or at once
// while the server drains. The limit may change at any time, while that of
// http.Server is fixed at its start. A request that arrives while its connection is
// being closed is not served, since no response could be sent.
type idleLimiter struct {
	// limit returns the current limit; zero means no limit.
	limit   func() time.Duration
	handler http.Handler

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
	// draining is set once idle connections are no longer kept.
	draining bool
}

// trackedConn is the recorded state of a connection.
type trackedConn struct {
	timer *time.Timer
	state http.ConnState
	// closed is set when the limiter has closed the connection.
	closed bool
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

func newIdleLimiter(limit func() time.Duration, handler http.Handler) *idleLimiter {
	return &idleLimiter{limit: limit, handler: handler, conns: make(map[net.Conn]*trackedConn)}
}

// install sets the connection hooks of a server.
func (l *idleLimiter) install(s *http.Server) {
	s.ConnState = l.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// ServeHTTP serves a request. It aborts one whose connection the limiter has
// closed, since no response could be sent.
func (l *idleLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !l.isOpen(c) {
		panic(http.ErrAbortHandler)
	}
	l.handler.ServeHTTP(w, r)
}

// isOpen reports whether the limiter has not closed a connection.
func (l *idleLimiter) isOpen(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	tc, ok := l.conns[c]
	return !ok || !tc.closed
}

func (l *idleLimiter) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tc, ok := l.conns[c]
	if !ok {
		tc = &trackedConn{}
		l.conns[c] = tc
	}
	tc.stop()
	tc.state = state
	switch state {
	case http.StateNew, http.StateIdle:
		l.arm(c, tc, l.idleTime(state))
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// firstRequestTime is how long a new connection may take to send its first request
// while the server drains.
const firstRequestTime = time.Second

// unlimited is the idle time of a connection without a limit.
const unlimited time.Duration = -1

// idleTime returns how long a connection may stay in an idle state.
func (l *idleLimiter) idleTime(state http.ConnState) time.Duration {
	limit := l.limit()
	switch {
	case l.draining && state == http.StateNew:
		return firstRequestTime
	case l.draining:
		return 0
	case limit <= 0:
		return unlimited
	default:
		return limit
	}
}

// drain closes the idle connections, and from now on every one that becomes idle.
func (l *idleLimiter) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c, tc := range l.conns {
		if tc.state == http.StateNew || tc.state == http.StateIdle {
			tc.stop()
			l.arm(c, tc, l.idleTime(tc.state))
		}
	}
}

// drainInterval is how often waitUntilClosed looks for open connections.
const drainInterval = 5 * time.Millisecond

// waitUntilClosed waits until no connection is open or ctx ends.
func (l *idleLimiter) waitUntilClosed(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for l.open() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// open returns how many connections are open.
func (l *idleLimiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, tc := range l.conns {
		if !tc.closed {
			n++
		}
	}
	return n
}

// arm closes a connection after d, unless stop is called before. It is a no-op if d
// is unlimited or the connection is closed.
func (l *idleLimiter) arm(c net.Conn, tc *trackedConn, d time.Duration) {
	if d < 0 || tc.closed {
		return
	}
	if d == 0 {
		tc.close(c)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if tc.timer == timer {
			tc.close(c)
		}
	})
	tc.timer = timer
}

// close closes a connection, which is abandoned in any case.
func (tc *trackedConn) close(c net.Conn) {
	tc.closed = true
	_ = c.Close()
}

func (tc *trackedConn) stop() {
	if tc.timer != nil {
		tc.timer.Stop()
		tc.timer = nil
	}
}
