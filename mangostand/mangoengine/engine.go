package mangoengine

import (
	"context"
	"fmt"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// View is an immutable snapshot of an engine.
type View struct {
	Down   bool
	Faults Faults
	Load   mangowire.Load
	Stats  Stats
}

// Exporter is an engine from which a KV cache can be fetched.
type Exporter interface {
	Export(ctx context.Context, seq mangomodel.Sequence) (mangowire.Exported, error)
}

// Engine is an emulated model engine.
type Engine struct {
	id      mangomodel.ServerID
	profile Profile
	loop    *mangoloop.Loop[*state, View]
}

// New returns an engine. It processes requests only while Run runs.
func New(id mangomodel.ServerID, p Profile) *Engine {
	return &Engine{id: id, profile: p, loop: mangoloop.New[*state, View](newState(id, p))}
}

// Run processes requests until ctx ends.
func (e *Engine) Run(ctx context.Context) { e.loop.Run(ctx) }

// View returns the newest snapshot of the engine.
func (e *Engine) View() *View { return e.loop.View() }

// Load returns the engine's load report, or a fault while the engine is down.
func (e *Engine) Load() (mangowire.Load, error) {
	v := e.View()
	if v.Down {
		return mangowire.Load{}, unreachableFault(e.id)
	}
	return v.Load, nil
}

// Prefill computes a prompt's KV cache and returns when it is complete.
func (e *Engine) Prefill(ctx context.Context, p mangowire.Prefill) error {
	return e.loop.Do(ctx, prefillCommand{job: &job{prefill: p}})
}

// Export returns the KV cache of a completed prefill and removes it from the
// engine, so a result can be exported once.
func (e *Engine) Export(ctx context.Context, seq mangomodel.Sequence) (mangowire.Exported, error) {
	var x mangowire.Exported
	err := e.loop.Do(ctx, exportCommand{sequence: seq, exported: &x})
	if err == nil && e.View().Faults.StallTransfers {
		<-ctx.Done()
		return x, context.Cause(ctx)
	}
	return x, err
}

// Import fetches a KV cache from another engine and starts to decode its
// sequence.
func (e *Engine) Import(ctx context.Context, seq mangomodel.Sequence, from Exporter) error {
	x, err := from.Export(ctx, seq)
	if err != nil {
		return err
	}
	transfer := time.Duration(float64(x.Bytes) / float64(e.profile.LinkRate) * float64(time.Second))
	timer := time.NewTimer(transfer)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return e.loop.Do(ctx, installCommand{prefill: x.Prefill})
}

// Decode opens a stream of a sequence that starts at an offset.
func (e *Engine) Decode(ctx context.Context, d mangowire.Decode) (*Stream, error) {
	r := &reader{}
	if err := e.loop.Do(ctx, openStreamCommand{decode: d, reader: r}); err != nil {
		return nil, err
	}
	return &Stream{ctx: ctx, id: e.id, chunks: r.chunks}, nil
}

// Cancel discards the result, the decoding and the queued prefill of a
// sequence and ends its streams. A prefill that is running continues.
func (e *Engine) Cancel(ctx context.Context, seq mangomodel.Sequence) error {
	return e.loop.Do(ctx, cancelCommand{sequence: seq})
}

// Inject replaces the engine's active faults.
func (e *Engine) Inject(ctx context.Context, f Faults) error {
	return e.loop.Do(ctx, injectCommand{faults: f})
}

// StallStreams stalls the open streams: they deliver no further chunk and stay
// open.
func (e *Engine) StallStreams(ctx context.Context) error { return e.loop.Do(ctx, stallCommand{}) }

// Crash emulates a crash of the engine's process, which restarts after the
// profile's RestartTime.
func (e *Engine) Crash(ctx context.Context) error { return e.loop.Do(ctx, crashCommand{}) }

// Stream delivers the chunks of a sequence.
type Stream struct {
	ctx    context.Context
	id     mangomodel.ServerID
	chunks <-chan mangowire.Chunk
}

// Next returns the next chunk. It fails with CodeUnavailable if the engine has
// closed the stream or no chunk arrives within the timeout, and with the cause of
// the context of Decode if that has ended.
func (s *Stream) Next(timeout time.Duration) (mangowire.Chunk, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c, ok := <-s.chunks:
		if !ok {
			return c, unreachableFault(s.id)
		}
		return c, nil
	case <-timer.C:
		return mangowire.Chunk{}, mangomodel.Faultf(mangomodel.StepDecode, mangomodel.PeerName(s.id),
			mangomodel.CodeUnavailable, mangomodel.RunUnknown, "no chunk received within %v: %w", timeout, context.DeadlineExceeded)
	case <-s.ctx.Done():
		return mangowire.Chunk{}, context.Cause(s.ctx)
	}
}

// Close does nothing. The stream ends with the context of Decode, or when the
// engine removes the sequence.
func (s *Stream) Close() error { return nil }

// reader is the engine's end of a Stream.
type reader struct {
	// chunks is buffered for every chunk that can be delivered, so that a slow
	// reader never blocks the engine.
	chunks  chan mangowire.Chunk
	stalled bool
}

// copiesPerChunk is the number of chunks that one generated chunk causes when
// all faults are active: a stray chunk, the chunk and its duplicate.
const copiesPerChunk = 3

func (r *reader) open(tokens mangomodel.Tokens) {
	r.chunks = make(chan mangowire.Chunk, copiesPerChunk*int(tokens)+1)
}

func (r *reader) deliver(f Faults, c mangowire.Chunk) {
	if r.stalled {
		return
	}
	if f.CrossChunks {
		stray := c
		stray.Request += "-stray"
		stray.Text = "STRAY"
		r.chunks <- stray
	}
	r.chunks <- c
	if f.RepeatChunks {
		r.chunks <- c
	}
}

func bootName(id mangomodel.ServerID, boots int) string {
	return fmt.Sprintf("%s#%d", id, boots)
}

func unreachableFault(id mangomodel.ServerID) error {
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(id),
		mangomodel.CodeUnavailable, mangomodel.RunUnknown, "connection refused or lost")
}

func sequenceNotFound(id mangomodel.ServerID, step mangomodel.Step) error {
	return mangomodel.Faultf(step, mangomodel.PeerName(id),
		mangomodel.CodeNotFound, mangomodel.RunNot, "the engine does not hold the sequence")
}
