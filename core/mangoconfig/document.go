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
	// Service is the pool of plain services that answers the call.
	Service mangomodel.ModelID
	// Path is the path of the call on the service, such as "/retire".
	Path string
	// NonIdempotent must be given. A non-idempotent call runs at most once
	// for each idempotency key.
	NonIdempotent *bool
	// Timeout bounds the call; zero means DefaultCallTimeout.
	Timeout mangomodel.Duration `json:",omitzero"`
}

// Settings are the parameters of a workspace. A template gives some of them
// and a workspace the others; what the workspace gives takes precedence.
type Settings struct {
	Models []mangomodel.ModelID `json:",omitzero"`
	Urgent *Targets             `json:",omitzero"`
	Basic  *Targets             `json:",omitzero"`
	Calls  []Call               `json:",omitzero"`
	// KeyHash is the hexadecimal SHA-256 of the workspace's key.
	KeyHash string `json:",omitzero"`
	// Weight is the workspace's share among those of its rank; zero means 1.
	Weight int `json:",omitzero"`
}

// Template is a set of parameters that several workspaces start from.
type Template struct {
	ID       mangomodel.TemplateID
	Settings Settings
}

// Workspace is one customer's use of the system.
type Workspace struct {
	ID       mangomodel.WorkspaceID
	Template mangomodel.TemplateID
	Settings Settings
}

// Host announces a host that runs one backend server.
type Host struct {
	ID         mangomodel.HostID
	Region     mangomodel.RegionID
	DataCentre mangomodel.DataCentreID
	Address    mangomodel.Address
	Role       mangomodel.Role
	// Model is the model, or the plain service, that the server offers.
	Model mangomodel.ModelID
	// Slots is how many requests the server can hold at once.
	Slots mangomodel.Slots
	// Pieces is the KV memory of a decode server, in pieces.
	Pieces mangomodel.Pieces `json:",omitzero"`
	// PrefillRate is the expected speed of a prefill server before any
	// measurement.
	PrefillRate mangomodel.TokensPerSecond `json:",omitzero"`
	State       mangomodel.ServerState
}

// Pool holds the scheduling parameters of one model's servers.
type Pool struct {
	Model mangomodel.ModelID
	// BasicFloor is the share of decode slots that urgent work leaves to
	// basic work while basic work waits.
	BasicFloor mangomodel.Share
	// UrgentReserve is the largest share of decode slots that basic work
	// leaves free for urgent work to come.
	UrgentReserve mangomodel.Share
	// Preempt lets urgent work that finds no slot take one from basic work
	// above its floor. The basic request goes on when a slot is free. It
	// serves more urgent work in bursts and finishes less basic work in time.
	Preempt bool `json:",omitzero"`
	// ShardServers is how many decode servers one scheduler looks after; zero
	// means 8. Fewer spread the scheduling over more daemons, more let a
	// burst use more slots.
	ShardServers int `json:",omitzero"`
	// PieceTokens is how many tokens one piece of KV memory holds.
	PieceTokens mangomodel.Tokens
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken mangomodel.Bytes
	// LinkRate is the rate at which a KV cache moves between two servers.
	LinkRate mangomodel.BytesPerSecond
}

// Change proposes a new version of exactly one document.
type Change struct {
	// ID identifies the proposal across retries. An empty ID is filled in.
	ID mangomodel.ChangeID
	// Expect is the revision of the document that the change replaces, or
	// zero when the document must not exist.
	Expect mangomodel.Revision
	// Remove removes the document that is named instead of replacing it.
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
