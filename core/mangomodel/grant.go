package mangomodel

import "time"

// Demand is what a request needs from a shard's scheduler.
type Demand struct {
	Grant       GrantID
	Sequence    Sequence
	Workspace   WorkspaceID
	Model       ModelID
	Rank        Rank
	Prompt      Tokens
	MaxTokens   Tokens
	Prefixes    []PrefixHash
	Fingerprint Fingerprint
	// Patience is how long the first token may take from now.
	Patience time.Duration
	// TPOT is the target of the time between tokens.
	TPOT time.Duration
	// Immediate asks for a slot that is free now, and for a refusal else.
	Immediate bool
	// Resumed marks what is left of a request that was granted before. It is
	// served before other demands of its rank and not refused for load.
	Resumed bool
	// Weight is the workspace's share within its rank.
	Weight int
	// Avoid lists servers that failed earlier attempts of the request. They
	// are used only if there are no others.
	Avoid []ServerID
}

// Grant is the right to use one prefill and one decode server.
type Grant struct {
	ID        GrantID
	Shard     ShardID
	Sequence  Sequence
	Workspace WorkspaceID
	Rank      Rank
	Prefill   ServerID
	Decode    ServerID
	Pieces    Pieces
	// Fingerprint identifies the request's content across resends.
	Fingerprint Fingerprint
	// TPOT is the target of the time between tokens.
	TPOT time.Duration
	// Expected is the predicted time to the first token.
	Expected time.Duration
}

// ShardGrants names the grants of one shard that a holder holds.
type ShardGrants struct {
	Shard   ShardID
	Numbers []uint64
}

// Usage is what a holder measured while it held a grant.
type Usage struct {
	// PrefillTime is the duration of the prefill; zero when none completed.
	PrefillTime time.Duration
	// PrefillTokens is the prompt length that was prefilled.
	PrefillTokens Tokens
	// StepTime is the mean time between tokens; zero when unknown.
	StepTime time.Duration
	// Failed is the server whose connection broke and ended the attempt, if
	// any. It may have crashed.
	Failed ServerID
}

// Load is a backend server's report of itself.
type Load struct {
	Server ServerID
	// Boot differs between the lives of a server's process.
	Boot string
	// At is when the report arrived.
	At time.Time
	// Draining is set when the server wants no new work.
	Draining bool
	// Running lists the sequences that hold engine memory.
	Running []Sequence
	// FreePieces is the KV memory that is not handed out.
	FreePieces Pieces
}
