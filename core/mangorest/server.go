// Package mangorest builds HTTP servers and clients on go-zero with every
// feature off that could end or refuse a request behind the caller's back.
//
// go-zero's time-out, breaker, load shedding and connection limit answer with
// statuses of their own, and its SIGTERM handling ends the process after some
// seconds. A refusal that says "not run" has to be true and a planned stop
// must cut off no request, so all of them are off here, except for the limit
// of a body's size, which is set for each server.
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

	"mangolane/core/mangomodel"
)

const (
	// defaultMaxBody bounds the body of a request.
	defaultMaxBody mangomodel.Bytes = 4 << 20
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// forever is longer than any stop, so that go-zero never ends the process.
	forever = 365 * 24 * time.Hour
)

// DisableFrameworkLog turns go-zero's own log lines off, for programs without a logger.
func DisableFrameworkLog() { logx.Disable() }

// Server is an HTTP server.
type Server struct {
	rest *rest.Server
	once sync.Once
	// limiter is nil for servers whose callers are not bounded.
	limiter *limiter
	// started is closed when http holds the server.
	started chan struct{}
	http    *http.Server
}

// Option configures a Server.
type Option func(*rest.RestConf)

// WithMaxBody bounds the body of a request.
func WithMaxBody(n mangomodel.Bytes) Option {
	return func(c *rest.RestConf) { c.MaxBytes = int64(n) }
}

// NewServer returns a server for an IP number and port.
func NewServer(name string, addr mangomodel.Address, routes []rest.Route, opts ...Option) (*Server, error) {
	host, portText, err := net.SplitHostPort(string(addr))
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	cfg := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: name, Mode: service.ProMode,
			Log:       logx.LogConf{Mode: "console", Encoding: "json", Stat: false, Level: "severe"},
			Telemetry: trace.Config{Disabled: true},
			Shutdown:  proc.ShutdownConf{WrapUpTime: forever, WaitTime: 2 * forever},
		},
		Host: host, Port: port, MaxBytes: int64(defaultMaxBody),
		Middlewares: rest.MiddlewaresConf{Trace: true, Recover: true, MaxBytes: true, Gunzip: true},
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	server, err := rest.NewServer(cfg)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	server.AddRoutes(routes)
	return &Server{rest: server, started: make(chan struct{})}, nil
}

// NewProxyServer returns a server that hands every request to one handler as
// it came: no middleware touches it, whatever its method and path. The limit of
// idle connections is asked for whenever one becomes idle; zero sets none.
func NewProxyServer(name string, addr mangomodel.Address, handler http.Handler, idle func() time.Duration) (*Server, error) {
	s, err := NewServer(name, addr, nil)
	if err != nil {
		return nil, err
	}
	s.limiter = newLimiter(idle, handler)
	rest.WithRouter(everything{s.limiter})(s.rest)
	return s, nil
}

// everything is a router with a single destination.
type everything struct{ http.Handler }

// Handle ignores routes, of which a proxy server has none.
func (everything) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler does nothing: every path is found.
func (everything) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing: every method is allowed.
func (everything) SetNotAllowedHandler(http.Handler) {}

// Serve serves until Shutdown. It must be called once, on a goroutine of its
// own, which does not return after a Shutdown.
func (s *Server) Serve() {
	s.rest.StartWithOpts(func(svr *http.Server) {
		svr.ReadHeaderTimeout = headerTimeout
		if s.limiter != nil {
			s.limiter.install(svr)
		}
		s.once.Do(func() {
			s.http = svr
			close(s.started)
		})
	})
}

// Shutdown stops listening and waits until every request was answered or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	select {
	case <-s.started:
		return mangomodel.Errors.Wrap(s.http.Shutdown(ctx))
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
