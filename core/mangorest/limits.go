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
// http.Server is fixed at its start.
//
// A connection that is idle is closed by means of its read deadline, so that a
// request that has been read is served. One whose response ends while the server drains
// is closed at once, since its client might begin a request that the drain cuts off.
type idleLimiter struct {
	// limit returns the current limit; zero means no limit.
	limit   func() time.Duration
	handler http.Handler

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
	// draining is set once idle connections are no longer kept. New ones may then take
	// for firstRequest until their first request.
	draining     bool
	firstRequest time.Duration
}

// trackedConn is the recorded state of a connection.
type trackedConn struct {
	timer *time.Timer
	state http.ConnState
	// since is when the connection entered its state.
	since time.Time
	// expired is set while the read deadline of an idle connection is set.
	expired bool
	// closed is set when the limiter has closed the connection.
	closed bool
	// answered is set if its last response was complete before the server drained.
	answered bool
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

func newIdleLimiter(limit func() time.Duration, handler http.Handler) *idleLimiter {
	return &idleLimiter{limit: limit, handler: handler, conns: make(map[net.Conn]*trackedConn), firstRequest: defaultFirstRequest}
}

// install sets the connection hooks of a server, and serves the server's own handler
// if the limiter has none.
func (l *idleLimiter) install(s *http.Server) {
	s.ConnState = l.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	if l.handler == nil {
		l.handler, s.Handler = s.Handler, l
	}
}

// ServeHTTP serves a request, the last one of its connection while the server drains.
// It aborts one that was read ahead on a closed connection.
func (l *idleLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	closed, draining := l.status(c)
	if closed {
		panic(http.ErrAbortHandler)
	}
	if draining {
		w.Header().Set("Connection", "close")
	}
	if guarded, ok := c.(*guardedConn); ok {
		guarded.begin(r)
	}
	l.handler.ServeHTTP(w, r)
	l.answered(c)
}

// answered records that the response to the connection's request is complete. A panic of
// the handler ends the connection.
func (l *idleLimiter) answered(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tc, ok := l.conns[c]; ok {
		tc.answered = !l.draining
	}
}

// status reports whether the limiter has closed a connection, and whether the server
// drains.
func (l *idleLimiter) status(c net.Conn) (closed, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tc, ok := l.conns[c]
	return ok && tc.closed, l.draining
}

func (l *idleLimiter) connState(c net.Conn, state http.ConnState) {
	if guarded, ok := c.(*guardedConn); ok {
		guarded.changed(state)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tc, ok := l.conns[c]
	if !ok {
		tc = &trackedConn{}
		l.conns[c] = tc
	}
	tc.stop()
	tc.state, tc.since = state, time.Now()
	switch state {
	case http.StateIdle:
		if l.draining && !tc.answered {
			tc.closed = true
			// The connection is abandoned in any case.
			_ = c.Close()
			return
		}
		l.arm(c, tc)
	case http.StateNew:
		l.arm(c, tc)
	case http.StateActive:
		if tc.expired {
			tc.expired = false
			// An error shows in the reads.
			_ = c.SetReadDeadline(time.Time{})
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// defaultFirstRequest is how long a new connection may take to send its first request
// while the server drains.
const defaultFirstRequest = time.Second

// unlimited is the idle time of a connection without a limit.
const unlimited time.Duration = -1

// idleTime returns how long a connection may stay in an idle state.
func (l *idleLimiter) idleTime(state http.ConnState) time.Duration {
	limit := l.limit()
	switch {
	case l.draining && state == http.StateNew:
		return max(l.firstRequest-lastRequestTime, 0)
	case l.draining:
		return 0
	case limit <= 0:
		return unlimited
	default:
		return limit
	}
}

// drain closes the idle connections, and from now on every one that becomes idle.
func (l *idleLimiter) drain(opts ...ShutdownOption) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, opt := range opts {
		opt(l)
	}
	l.draining = true
	now := time.Now()
	for c, tc := range l.conns {
		if tc.state == http.StateNew || tc.state == http.StateIdle {
			tc.stop()
			tc.since = now
			l.arm(c, tc)
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
	return len(l.conns)
}

// arm closes an idle connection once its idle time has passed, unless stop is
// called before.
func (l *idleLimiter) arm(c net.Conn, tc *trackedConn) {
	limit := l.idleTime(tc.state)
	if limit < 0 {
		return
	}
	left := limit - time.Since(tc.since)
	if left <= 0 {
		l.expire(c, tc)
		return
	}
	// The limit may have been raised when the timer fires.
	l.schedule(tc, left, func() { l.arm(c, tc) })
}

// lastRequestTime is how long a connection beyond its idle time may take to
// complete a request that is on its way.
const lastRequestTime = 250 * time.Millisecond

// expire lets the server's read of the next request fail after lastRequestTime.
// http.Server sets a read deadline of its own after it has announced the idle
// state, so expire is repeated until the state changes.
func (l *idleLimiter) expire(c net.Conn, tc *trackedConn) {
	tc.expired = true
	_ = c.SetReadDeadline(time.Now().Add(lastRequestTime))
	l.schedule(tc, 2*lastRequestTime, func() { l.expire(c, tc) })
}

// schedule calls f with the lock held after d, unless stop is called before.
func (l *idleLimiter) schedule(tc *trackedConn, d time.Duration, f func()) {
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if tc.timer == timer {
			f()
		}
	})
	tc.timer = timer
}

func (tc *trackedConn) stop() {
	if tc.timer != nil {
		tc.timer.Stop()
		tc.timer = nil
	}
}
