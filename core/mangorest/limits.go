package mangorest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimiter closes connections that are idle for longer than a limit. The
// limit may change at any time, while that of http.Server is fixed at its start.
type idleLimiter struct {
	// limit returns the current limit; zero means no limit.
	limit   func() time.Duration
	handler http.Handler

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
}

// trackedConn is the recorded state of a connection.
type trackedConn struct {
	timer *time.Timer
	// closed is set when the limit was exceeded.
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
	switch state {
	case http.StateNew, http.StateIdle:
		l.arm(c, tc, l.limit())
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// arm starts the timer that closes a connection after d, unless stop is called
// before. It is a no-op if d is not positive or the connection is closed.
func (l *idleLimiter) arm(c net.Conn, tc *trackedConn, d time.Duration) {
	if d <= 0 || tc.closed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if tc.timer != timer {
			return
		}
		tc.closed = true
		// The connection is abandoned in any case.
		_ = c.Close()
	})
	tc.timer = timer
}

func (tc *trackedConn) stop() {
	if tc.timer != nil {
		tc.timer.Stop()
		tc.timer = nil
	}
}
