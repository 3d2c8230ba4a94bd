package mangoroute

import (
	"context"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// Control is the daemon's control state.
type Control interface {
	// Do runs a command on the control goroutine.
	Do(ctx context.Context, cmd mangocommand.Command) error
	// Snapshot returns the newest published state.
	Snapshot() *mangoquery.Snapshot
}

// Schedulers sends requests to the schedulers of other daemons.
type Schedulers interface {
	// Acquire requests a grant from a daemon. A fault with StepAdmission is
	// the scheduler's refusal; any other fault means that the scheduler was
	// not reached.
	Acquire(ctx context.Context, owner mangomember.Member, shard mangomodel.ShardID, d mangomodel.Demand) (mangomodel.Grant, error)
	// Release releases a grant at the daemon from which it was acquired.
	Release(ctx context.Context, owner mangomember.Member, grant mangomodel.Grant, u mangomodel.Usage) error
}

// Engines sends requests to model engines.
type Engines interface {
	// Prefill computes the KV cache of a prompt and returns when it is done.
	Prefill(ctx context.Context, server mangoconfig.Host, req PrefillRequest) error
	// Import makes a decode server fetch the KV cache of a sequence from its
	// prefill server.
	Import(ctx context.Context, server mangoconfig.Host, req ImportRequest) error
	// Decode starts or resumes the stream of a sequence.
	Decode(ctx context.Context, server mangoconfig.Host, req DecodeRequest) (Stream, error)
	// Cancel frees all resources of the engine for a sequence.
	Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error
}

// Stream delivers the chunks of a sequence.
type Stream interface {
	// Next returns the next chunk. It fails if none arrives within timeout.
	// It does not return io.EOF; the last chunk has Last set.
	Next(timeout time.Duration) (Chunk, error)
	// Close ends the stream; it does not cancel the sequence.
	Close() error
}

// Sink receives the tokens of a response.
type Sink interface {
	// Token delivers one token. An error means that the client has
	// disconnected.
	Token(offset mangomodel.Tokens, text string) error
}

// Tracer records a span for each hop.
type Tracer interface {
	// Start begins a span. The returned function ends it.
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Observer receives the results of requests and prefills.
type Observer interface {
	// RequestFinished is called once for each request.
	RequestFinished(r Result)
	// PrefillDone is called for each prefill that completed.
	PrefillDone(tokens mangomodel.Tokens)
	// PrefillWasted is called for each completed prefill whose result was not
	// decoded.
	PrefillWasted(tokens mangomodel.Tokens)
}

// Request is a generation request.
type Request struct {
	ID        mangomodel.RequestID
	Workspace mangoconfig.EffectiveWorkspace
	Model     mangomodel.ModelID
	Rank      mangomodel.Rank
	Prompt    string
	MaxTokens mangomodel.Tokens
}

// PrefillRequest requests a prefill from an engine.
type PrefillRequest struct {
	Sequence mangomodel.Sequence
	Rank     mangomodel.Rank
	Prompt   string
	// Generated is the part of the response that earlier attempts delivered.
	Generated string
	// MaxTokens bounds the whole response, Generated included.
	MaxTokens mangomodel.Tokens
}

// ImportRequest requests that a decode engine fetch a KV cache.
type ImportRequest struct {
	Sequence mangomodel.Sequence
	// From is the address of the prefill server.
	From mangomodel.Address
}

// DecodeRequest requests the stream of a sequence from an engine.
type DecodeRequest struct {
	Sequence  mangomodel.Sequence
	Rank      mangomodel.Rank
	MaxTokens mangomodel.Tokens
	// Offset is the offset of the first token to send.
	Offset mangomodel.Tokens
}

// Chunk is one token of a stream.
type Chunk struct {
	Request mangomodel.RequestID
	Attempt mangomodel.Attempt
	Offset  mangomodel.Tokens
	Text    string
	// Last is set on the chunk that ends the response.
	Last bool
	// Build is the software of the engine that generated the token.
	Build mangomodel.Build
}

// Result is the summary of a request for an Observer.
type Result struct {
	Request Request
	// TTFT is the time to the first token; zero if there was none.
	TTFT time.Duration
	// TPOT is the mean time between tokens; zero below two tokens.
	TPOT   time.Duration
	Tokens mangomodel.Tokens
	// Err is nil if the whole response was delivered.
	Err error
}

// OnTime reports whether a request met both latency targets.
func (r Result) OnTime() bool {
	t := r.Request.Workspace.Targets[r.Request.Rank]
	return r.Err == nil && r.TTFT <= t.TTFT.Std() && r.TPOT <= t.TPOT.Std()
}
