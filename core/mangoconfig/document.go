package mangoconfig

import (
	"mangolane/core/mangomodel"
)

// Targets are the latency targets of one rank.
type Targets struct {
	// TTFT is the longest acceptable time to the first token.
	TTFT mangomodel.Duration
	// TPOT is the longest acceptable mean time between tokens.
	TPOT mangomodel.Duration
}

// Call is an application call that a workspace offers.
type Call struct {
	Name mangomodel.CallName
	// Service is the plain service that serves the call.
	Service mangomodel.ModelID
	// Path is the path of the call on the service, such as "/retire".
	Path string
	// NonIdempotent is required. A non-idempotent call runs at most once for
	// each idempotency key.
	NonIdempotent *bool
	// Timeout bounds the call; zero means DefaultCallTimeout.
	Timeout mangomodel.Duration `json:",omitzero"`
}

// Settings are the parameters of a workspace. A parameter set by the workspace
// overrides the one set by its template.
type Settings struct {
	Models []mangomodel.ModelID `json:",omitzero"`
	Urgent *Targets             `json:",omitzero"`
	Basic  *Targets             `json:",omitzero"`
	Calls  []Call               `json:",omitzero"`
	// KeyHash is the hexadecimal SHA-256 of the workspace's key.
	KeyHash string `json:",omitzero"`
	// Weight is the workspace's fair-share weight within a rank; zero means 1.
	Weight int `json:",omitzero"`
}

// Template is a set of parameters that several workspaces start from.
type Template struct {
	ID       mangomodel.TemplateID
	Settings Settings
}

// Workspace is the configuration of one customer.
type Workspace struct {
	ID       mangomodel.WorkspaceID
	Template mangomodel.TemplateID
	Settings Settings
}

// Host describes a host that runs one backend server.
type Host struct {
	ID         mangomodel.HostID
	Region     mangomodel.RegionID
	DataCentre mangomodel.DataCentreID
	Address    mangomodel.Address
	Role       mangomodel.Role
	// Model is the model or the plain service that the server provides.
	Model mangomodel.ModelID
	// Slots is how many requests the server can process concurrently.
	Slots mangomodel.Slots
	// Pieces is the KV cache memory of a decode server, in pieces.
	Pieces mangomodel.Pieces `json:",omitzero"`
	// PrefillRate is the assumed rate of a prefill server, in tokens per
	// second, until the first measurement.
	PrefillRate mangomodel.TokensPerSecond `json:",omitzero"`
	State       mangomodel.ServerState
}

// Pool holds the scheduling parameters of one model's servers.
type Pool struct {
	Model mangomodel.ModelID
	// BasicFloor is the share of decode slots reserved for basic work while
	// basic work waits or has arrived in the last five seconds.
	BasicFloor mangomodel.Share
	// UrgentReserve is the largest share of decode slots kept free of basic
	// work for future urgent work.
	UrgentReserve mangomodel.Share
	// Preempt lets urgent work without a free slot preempt basic work above its
	// floor. The preempted request resumes when a slot is free. Preemption
	// serves more urgent work in bursts, and less basic work finishes in time.
	Preempt bool `json:",omitzero"`
	// ShardServers is the intended number of decode servers of one shard; zero
	// means 8. A shard has more if there are too few prefill servers for one in
	// each shard.
	// A smaller number spreads scheduling over more daemons, a larger one lets
	// a burst use more slots.
	ShardServers int `json:",omitzero"`
	// PieceTokens is how many tokens one piece of KV cache memory holds.
	PieceTokens mangomodel.Tokens
	// KVBytesPerToken is the size of one token's KV cache entry.
	KVBytesPerToken mangomodel.Bytes
	// LinkRate is the transfer rate of a KV cache between two servers.
	LinkRate mangomodel.BytesPerSecond
}

// Change proposes a new version of exactly one document.
type Change struct {
	// ID identifies the proposal across retries. If it is empty, the daemon that
	// receives the proposal generates one.
	ID mangomodel.ChangeID
	// Expect is the revision of the document that the change replaces; zero
	// means that the document must not exist.
	Expect mangomodel.Revision
	// Remove deletes the document instead of replacing it.
	Remove bool `json:",omitzero"`

	Template  *Template  `json:",omitzero"`
	Workspace *Workspace `json:",omitzero"`
	Host      *Host      `json:",omitzero"`
	Pool      *Pool      `json:",omitzero"`
}

// AcceptedChange is an accepted change with its revision.
type AcceptedChange struct {
	Revision mangomodel.Revision
	Change   Change
}
