package mangowire

import (
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// Paths and headers of the interface for callers and operators. Commands and
// queries have separate paths.
const (
	PathGenerate = "/v1/generate"
	PathCall     = "/v1/call/:Workspace/:Call"
	PathHealth   = "/healthz"

	PathPublish = "/admin/command/publish"
	PathStop    = "/admin/command/stop"

	PathConfiguration = "/admin/query/configuration"
	PathStatus        = "/admin/query/status"
	PathMetrics       = "/admin/query/metrics"
	PathTraces        = "/admin/query/traces"

	// HeaderKey carries the workspace's key as "Bearer KEY".
	HeaderKey = "Authorization"
	// HeaderIdempotency carries the idempotency key of a call.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderRetryAfter carries a delay in whole seconds.
	HeaderRetryAfter = "Retry-After"
)

// Generate is a caller's generation request.
type Generate struct {
	Workspace mangomodel.WorkspaceID
	Model     mangomodel.ModelID
	Rank      mangomodel.Rank
	Prompt    string
	MaxTokens mangomodel.Tokens
}

// Event is one line of the response to a Generate. The last line has either
// Done or Fault set.
type Event struct {
	Request mangomodel.RequestID `json:",omitempty"`
	Offset  mangomodel.Tokens
	Text    string     `json:",omitempty"`
	Done    bool       `json:",omitempty"`
	Fault   *FaultBody `json:",omitempty"`
}

// Published is the response to a configuration change that was accepted.
type Published struct {
	Revision mangomodel.Revision
	ID       mangomodel.ChangeID
}

// Configuration is the response to a query for the active configuration.
type Configuration struct{ Documents mangoconfig.Documents }
