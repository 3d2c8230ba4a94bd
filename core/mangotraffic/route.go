package mangotraffic

import (
	"time"

	"mangolane/core/mangomodel"
)

// Identifiers of configured things.
type (
	// RouteName names a route.
	RouteName string
	// ServiceName names a pool of backend servers.
	ServiceName string
	// HostName is the host that a client names in its request.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
)

// Priority is the rank of a route: 0 goes first.
type Priority int

// Kind says what may be repeated.
type Kind int

const (
	// KindIdempotent calls may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent calls run at most once.
	KindNonIdempotent
	// KindStreaming calls are answered by a stream of numbered events and run
	// at most once, unless the route is resumable.
	KindStreaming
)

// Target is one service behind a route.
type Target struct {
	Service ServiceName
	// Weight is the share of the calls relative to the other targets.
	Weight int
}

// Route says how calls to a host and path are handled.
type Route struct {
	Name   RouteName
	Host   HostName
	Prefix PathPrefix
	Kind   Kind
	// Timeout is the longest time until a call's final answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream that
	// meets its target.
	MaxPause time.Duration
	Priority Priority
	// Targets has at least one entry.
	Targets []Target
	// MaxAttempts is how many servers may run one call.
	MaxAttempts int
	// Resumable streams may continue at another server.
	Resumable bool
}

// Retryable reports whether a call may run at a second server.
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
	// TokensPerEvent is how many generated tokens one event carries.
	TokensPerEvent mangomodel.Tokens
	// HandleLifetime is how long a prefilled KV cache is kept.
	HandleLifetime time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   mangomodel.Bytes
	BodyBytes     mangomodel.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
