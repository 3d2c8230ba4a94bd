// Package mangorest builds HTTP servers and clients on go-zero. All go-zero
// features that could end or refuse a request on their own are disabled. A listener in
// front of net/http bounds what the connections of clients take (docs/design/clients.md).
//
// go-zero's timeout, breaker, load shedding and connection limit respond with
// statuses of their own, and its SIGTERM handling ends the process after some
// seconds. A refusal that says "not run" must be true, and a planned stop must
// not abort requests, so all of them are disabled. The exception is the limit of
// a body's size, which is set for each server.
//
// # Usage
//
//	s, err := mangorest.NewServer("front", "127.0.0.1:7000", routes, mangorest.WithMaxBody(1<<20))
//	go s.Serve()
//	...
//	err = s.Shutdown(ctx)
package mangorest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
)

const (
	// defaultMaxBody bounds the body of a request.
	defaultMaxBody mangomodel.Bytes = 4 << 20
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// forever exceeds the duration of any shutdown, so that go-zero never ends
	// the process.
	forever = 365 * 24 * time.Hour
)

// DisableFrameworkLog disables go-zero's own log lines, for programs without a
// logger.
func DisableFrameworkLog() { logx.Disable() }

// Server is an HTTP server.
type Server struct {
	rest      *rest.Server
	startOnce sync.Once
	limiter   *idleLimiter
	listening listening
	// started is closed once httpServer is set.
	started    chan struct{}
	httpServer *http.Server
	guard      *guard
}

// Option configures a Server.
type Option func(*options)

type options struct {
	maxBody mangomodel.Bytes
	bodies  *mangomemory.Budget
	clients Clients
}

// WithMaxBody bounds the body of a request.
func WithMaxBody(n mangomodel.Bytes) Option { return func(o *options) { o.maxBody = n } }

// NewServer returns a server for an IP address and port.
func NewServer(name string, addr mangomodel.Address, routes []rest.Route, opts ...Option) (*Server, error) {
	host, portText, err := net.SplitHostPort(string(addr))
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	o := options{maxBody: defaultMaxBody, bodies: mangomemory.New(0)}
	for _, opt := range opts {
		opt(&o)
	}
	cfg := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: name, Mode: service.ProMode,
			Log:       logx.LogConf{Mode: "console", Encoding: "json", Stat: false, Level: "severe"},
			Telemetry: trace.Config{Disabled: true},
			Shutdown:  proc.ShutdownConf{WrapUpTime: forever, WaitTime: 2 * forever},
		},
		Host: host, Port: port, MaxBytes: int64(o.maxBody),
		Middlewares: rest.MiddlewaresConf{Trace: true, Recover: true, MaxBytes: true, Gunzip: true},
	}
	server, err := rest.NewServer(cfg)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	server.AddRoutes(o.boundBodies(routes))
	return &Server{rest: server, started: make(chan struct{}), limiter: newIdleLimiter(unlimitedIdle, nil), guard: newGuard(name, o.clients)}, nil
}

// unlimitedIdle is the idle limit of servers without one.
func unlimitedIdle() time.Duration { return 0 }

// NewProxyServer returns a server that passes every request, whatever its method
// and path, unchanged to one handler: no middleware applies. It calls idleLimit
// whenever a connection is opened or becomes idle; zero means no limit.
func NewProxyServer(name string, addr mangomodel.Address, handler http.Handler, idleLimit func() time.Duration, opts ...Option) (*Server, error) {
	s, err := NewServer(name, addr, nil, opts...)
	if err != nil {
		return nil, err
	}
	s.limiter = newIdleLimiter(idleLimit, handler)
	rest.WithRouter(singleRoute{s.limiter})(s.rest)
	return s, nil
}

// singleRoute is a router that passes all requests to one handler.
type singleRoute struct{ http.Handler }

// Handle ignores routes, since a proxy server has none.
func (singleRoute) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler does nothing, since every path is found.
func (singleRoute) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing, since every method is allowed.
func (singleRoute) SetNotAllowedHandler(http.Handler) {}

// Serve serves until Shutdown. It must be called once, on a goroutine of its
// own, and does not return after a Shutdown.
func (s *Server) Serve() {
	defer func() {
		// go-zero panics if its listener fails, also after close.
		if v := recover(); v != nil && !s.listening.stopped() {
			panic(v)
		}
	}()
	s.rest.StartWithOpts(func(svr *http.Server) {
		svr.ReadHeaderTimeout = headerTimeout
		s.listening.install(svr)
		s.limiter.install(svr)
		s.startOnce.Do(func() {
			s.httpServer = svr
			close(s.started)
		})
		s.listen(svr)
	})
}

// listen serves the connections of a listener of its own until the end of svr, since
// go-zero listens itself and takes no listener. It returns only if svr was shut down, and
// go-zero then finds that it was.
func (s *Server) listen(svr *http.Server) {
	listener, err := net.Listen("tcp", svr.Addr)
	if err != nil {
		panic(err)
	}
	clientReceiveBuffer.limit(listener)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.guard.watch(ctx)
	if err := svr.Serve(&guardedListener{listener, s.guard}); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// ShutdownOption configures a Shutdown.
type ShutdownOption func(*idleLimiter)

// WithFirstRequest sets how long a connection may take to send its first request.
func WithFirstRequest(d time.Duration) ShutdownOption {
	return func(l *idleLimiter) { l.firstRequest = d }
}

// Shutdown stops listening and waits until every request has completed or ctx
// ends. http.Server drops every request that it reads after the start of its own
// shutdown, also the first one of a connection that was accepted before. The server
// therefore closes its connections itself first.
func (s *Server) Shutdown(ctx context.Context, opts ...ShutdownOption) error {
	select {
	case <-s.started:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	s.limiter.drain(opts...)
	s.listening.close()
	s.limiter.waitUntilClosed(ctx)
	err := s.httpServer.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		// The listener was closed above.
		err = nil
	}
	return mangomodel.Errors.Wrap(err)
}

// listening holds the listener of a server. The goroutines that serve and that shut
// down share it, so a lock guards it.
type listening struct {
	mu       sync.Mutex
	listener net.Listener
	closed   bool
}

// install records the listener once the server listens.
func (l *listening) install(s *http.Server) {
	s.BaseContext = func(listener net.Listener) context.Context {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.listener = listener
		l.closeIfStopped()
		return context.Background()
	}
}

// close closes the listener, or the one that the server opens later.
func (l *listening) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIfStopped()
}

func (l *listening) closeIfStopped() {
	if l.closed && l.listener != nil {
		// The listener is not used again in any case.
		_ = l.listener.Close()
	}
}

// stopped reports whether close was called.
func (l *listening) stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
