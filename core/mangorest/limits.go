package mangorest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// limiter closes connections that are idle for longer than a limit which may
// change at any time; that of http.Server is fixed at its start.
type limiter struct {
	// idle returns the limit; zero sets none.
	idle    func() time.Duration
	handler http.Handler

	mu    sync.Mutex
	conns map[net.Conn]*limitedConn
}

// limitedConn is what is known of a connection.
type limitedConn struct {
	timer *time.Timer
	// closed is set when the limit was exceeded.
	closed bool
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

func newLimiter(idle func() time.Duration, handler http.Handler) *limiter {
	return &limiter{idle: idle, handler: handler, conns: make(map[net.Conn]*limitedConn)}
}

// install makes a server report its connections.
func (l *limiter) install(s *http.Server) {
	s.ConnState = l.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// ServeHTTP serves a request. One that came as its connection was closed is not
// served, since it could not be answered.
func (l *limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !l.open(c) {
		panic(http.ErrAbortHandler)
	}
	l.handler.ServeHTTP(w, r)
}

// open reports whether a connection was not closed by the limiter.
func (l *limiter) open(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.conns[c]
	return !ok || !x.closed
}

func (l *limiter) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.conns[c]
	if !ok {
		x = &limitedConn{}
		l.conns[c] = x
	}
	x.stop()
	switch state {
	case http.StateNew, http.StateIdle:
		l.arm(c, x, l.idle())
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// arm closes a connection after d, unless it is stopped before.
func (l *limiter) arm(c net.Conn, x *limitedConn, d time.Duration) {
	if d <= 0 || x.closed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if x.timer != timer {
			return
		}
		x.closed = true
		// The connection is given up in any case.
		_ = c.Close()
	})
	x.timer = timer
}

func (x *limitedConn) stop() {
	if x.timer != nil {
		x.timer.Stop()
		x.timer = nil
	}
}
