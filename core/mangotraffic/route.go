package mangotraffic

import (
	"time"

	"mangolane/core/mangomodel"
)

// Names and paths in a configuration.
type (
	// RouteName identifies a route.
	RouteName string
	// ServiceName identifies a pool of backend servers.
	ServiceName string
	// HostName is the host of a client request, without its port.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
)

// Priority is the rank of a route; 0 is the highest.
type Priority int

// Kind determines, with Route.Resumable, which calls of a route may be retried after
// a server may have run them.
type Kind int

const (
	// KindIdempotent calls may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent calls run at most once.
	KindNonIdempotent
	// KindStreaming calls return a stream of numbered events and run at most
	// once unless the route is resumable.
	KindStreaming
)

// Target is one service behind a route.
type Target struct {
	Service ServiceName
	// Weight is the share of the calls relative to the other targets.
	Weight int
}

// Route defines how calls to a host and path prefix are handled.
type Route struct {
	Name   RouteName
	Host   HostName
	Prefix PathPrefix
	Kind   Kind
	// Timeout bounds the time to the end of a call's response. Zero means none.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to a stream's
	// first event.
	TargetLatency time.Duration
	// MaxPause is the target for the longest time between two events of a
	// stream. Zero means none.
	MaxPause time.Duration
	Priority Priority
	// Targets has at least one entry.
	Targets []Target
	// MaxAttempts bounds the number of servers that may run one call.
	MaxAttempts int
	// Resumable routes allow a stream to continue at another server.
	Resumable bool
	// Public routes need no key.
	Public bool
}

// Retryable reports whether a call that may have run may be sent to a second
// server.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Service is a pool of backend servers.
type Service struct {
	Name ServiceName
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    mangomodel.Slots
	KVTokens mangomodel.Tokens
	// TokensPerEvent is the number of generated tokens in one event.
	TokensPerEvent mangomodel.Tokens
	// HandleLifetime is how long an engine keeps a prefilled KV cache.
	HandleLifetime time.Duration
}

// Limits bound the requests and connections of clients.
type Limits struct {
	HeaderBytes   mangomodel.Bytes
	BodyBytes     mangomodel.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
