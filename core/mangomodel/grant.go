package mangomodel

import "time"

// Demand is a request's demand for a grant, addressed to a shard's scheduler.
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
	// Patience is the longest acceptable time from the demand's arrival at the
	// scheduler to the first token.
	Patience time.Duration
	// TPOT is the target of the time between tokens.
	TPOT time.Duration
	// Immediate requests a refusal instead of a wait if no slot is free.
	Immediate bool
	// Resumed marks the remainder of a request that was granted before. Its
	// workspace is served first within its rank, and admission does not refuse it
	// for load.
	Resumed bool
	// Weight is the workspace's fair-share weight within its rank.
	Weight int
	// Avoid lists servers that failed earlier attempts of the request. They
	// are used only if no other server of the role accepts new requests.
	Avoid []ServerID
	// Build is the only build of a decode server at which the request may continue, if
	// Bound is set: that of the tokens that its caller has received.
	Build Build
	Bound bool
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
	// Fingerprint identifies the request's content across retries by the caller.
	Fingerprint Fingerprint
	// TPOT is the target of the time between tokens.
	TPOT time.Duration
	// Expected is the predicted time to the first token.
	Expected time.Duration
}

// ShardGrants lists the numbers of the grants of one shard that a holder holds.
type ShardGrants struct {
	Shard   ShardID
	Numbers []uint64
}

// Usage holds a holder's measurements of the use of a grant.
type Usage struct {
	// PrefillTime is the duration of the prefill; zero if none completed.
	PrefillTime time.Duration
	// PrefillTokens is the number of prompt tokens that were prefilled.
	PrefillTokens Tokens
	// StepTime is the mean time between tokens; zero if unknown.
	StepTime time.Duration
	// Failed is the server whose lost connection ended the attempt, if any. It
	// may have crashed.
	Failed ServerID
	// Refused is the server that refused the attempt and asked for time, if any, and
	// Backoff is for how long it wants nothing from the holder.
	Refused ServerID
	Backoff time.Duration
}

// Load is a backend server's load report.
type Load struct {
	Server ServerID
	// Boot identifies the incarnation of the server's process.
	Boot string
	// Build is the server's software; empty if it states none.
	Build Build
	// At is when the report arrived.
	At time.Time
	// Draining is set if the server accepts no new work.
	Draining bool
	// Running lists the sequences that occupy engine memory.
	Running []Sequence
	// FreePieces is the unallocated KV cache memory, in pieces.
	FreePieces Pieces
}
