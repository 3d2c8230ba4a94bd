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
	// Do applies a command.
	Do(ctx context.Context, cmd mangocommand.Command) error
	// Snapshot returns the newest published state.
	Snapshot() *mangoquery.Snapshot
}

// Schedulers reaches the schedulers of other daemons.
type Schedulers interface {
	// Acquire asks a daemon for a grant. A fault with StepAdmission is the
	// scheduler's refusal; any other means that it could not be asked.
	Acquire(ctx context.Context, owner mangomember.Member, shard mangomodel.ShardID, d mangomodel.Demand) (mangomodel.Grant, error)
	// Release gives a grant back to the daemon that gave it.
	Release(ctx context.Context, owner mangomember.Member, grant mangomodel.Grant, u mangomodel.Usage) error
}

// Engines reaches model engines.
type Engines interface {
	// Prefill computes the KV cache of a prompt and returns when it is done.
	Prefill(ctx context.Context, server mangoconfig.Host, req PrefillRequest) error
	// Import moves the KV cache of a sequence from its prefill server.
	Import(ctx context.Context, server mangoconfig.Host, req ImportRequest) error
	// Decode starts or resumes the stream of a sequence.
	Decode(ctx context.Context, server mangoconfig.Host, req DecodeRequest) (Stream, error)
	// Cancel frees whatever the engine holds for a sequence.
	Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error
}

// Stream delivers the chunks of a sequence.
type Stream interface {
	// Next returns the next chunk. It fails when none arrived within the
	// given time; io.EOF is not used, the last chunk has Last set.
	Next(timeout time.Duration) (Chunk, error)
	// Close ends the stream; it does not cancel the sequence.
	Close() error
}

// Sink takes the tokens of an answer.
type Sink interface {
	// Token passes one token on. An error means that the caller is gone.
	Token(offset mangomodel.Tokens, text string) error
}

// Tracer records a span for each hop.
type Tracer interface {
	// Start begins a span. The returned function ends it.
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Observer counts what the users measure.
type Observer interface {
	// Finished is called once for each request.
	Finished(r Result)
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

// PrefillRequest asks an engine to prefill.
type PrefillRequest struct {
	Sequence mangomodel.Sequence
	Rank     mangomodel.Rank
	Prompt   string
	// Generated is the part of the answer that earlier attempts delivered.
	Generated string
	// MaxTokens is the length of the whole answer.
	MaxTokens mangomodel.Tokens
}

// ImportRequest asks a decode engine to fetch a KV cache.
type ImportRequest struct {
	Sequence mangomodel.Sequence
	// From is the address of the prefill server.
	From mangomodel.Address
}

// DecodeRequest asks an engine to stream a sequence.
type DecodeRequest struct {
	Sequence  mangomodel.Sequence
	Rank      mangomodel.Rank
	MaxTokens mangomodel.Tokens
	// Offset is the first token wanted.
	Offset mangomodel.Tokens
}

// Chunk is one token of a stream.
type Chunk struct {
	Request mangomodel.RequestID
	Attempt mangomodel.Attempt
	Offset  mangomodel.Tokens
	Text    string
	// Last is set on the chunk that ends the answer.
	Last bool
}

// Result sums up a request for an Observer.
type Result struct {
	Request Request
	// TTFT is the time to the first token; zero when there was none.
	TTFT time.Duration
	// TPOT is the mean time between tokens; zero below two tokens.
	TPOT   time.Duration
	Tokens mangomodel.Tokens
	// Err is nil when the whole answer was passed on.
	Err error
}

// OnTime reports whether a request met both latency targets.
func (r Result) OnTime() bool {
	t := r.Request.Workspace.Targets[r.Request.Rank]
	return r.Err == nil && r.TTFT <= t.TTFT.Std() && r.TPOT <= t.TPOT.Std()
}
