package mangoengine

import (
	"context"
	"fmt"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// View is what can be asked of an engine without changing it.
type View struct {
	Down   bool
	Faults Faults
	Load   mangowire.Load
	Stats  Stats
}

// Exporter is an engine that a KV cache can be fetched from.
type Exporter interface {
	Export(ctx context.Context, seq mangomodel.Sequence) (mangowire.Exported, error)
}

// Engine is an emulated model engine.
type Engine struct {
	id      mangomodel.ServerID
	profile Profile
	loop    *mangoloop.Loop[*state, View]
}

// New returns an engine. It works while Run runs.
func New(id mangomodel.ServerID, p Profile) *Engine {
	return &Engine{id: id, profile: p, loop: mangoloop.New[*state, View](newState(id, p))}
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) { e.loop.Run(ctx) }

// View returns the engine's state.
func (e *Engine) View() *View { return e.loop.View() }

// Load returns the engine's report of itself.
func (e *Engine) Load() (mangowire.Load, error) {
	v := e.View()
	if v.Down {
		return mangowire.Load{}, unreachable(e.id)
	}
	return v.Load, nil
}

// Prefill computes a prompt's KV cache.
func (e *Engine) Prefill(ctx context.Context, p mangowire.Prefill) error {
	return e.loop.Do(ctx, prefillCommand{job: &job{prefill: p}})
}

// Export hands out a KV cache once.
func (e *Engine) Export(ctx context.Context, seq mangomodel.Sequence) (mangowire.Exported, error) {
	var x mangowire.Exported
	err := e.loop.Do(ctx, exportCommand{sequence: seq, exported: &x})
	if err == nil && e.View().Faults.StallTransfers {
		<-ctx.Done()
		return x, context.Cause(ctx)
	}
	return x, err
}

// Import fetches a KV cache from another engine and starts its sequence.
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

// Decode opens the stream of a sequence from an offset.
func (e *Engine) Decode(ctx context.Context, d mangowire.Decode) (*Stream, error) {
	r := &reader{}
	if err := e.loop.Do(ctx, readCommand{decode: d, reader: r}); err != nil {
		return nil, err
	}
	return &Stream{ctx: ctx, id: e.id, chunks: r.chunks}, nil
}

// Cancel frees whatever the engine holds for a sequence.
func (e *Engine) Cancel(ctx context.Context, seq mangomodel.Sequence) error {
	return e.loop.Do(ctx, cancelCommand{sequence: seq})
}

// Inject switches the engine's faults.
func (e *Engine) Inject(ctx context.Context, f Faults) error {
	return e.loop.Do(ctx, injectCommand{faults: f})
}

// StallStreams makes the open streams deliver nothing more.
func (e *Engine) StallStreams(ctx context.Context) error { return e.loop.Do(ctx, silenceCommand{}) }

// Crash ends the engine's process; it restarts after RestartTime.
func (e *Engine) Crash(ctx context.Context) error { return e.loop.Do(ctx, crashCommand{}) }

// Stream delivers the chunks of a sequence.
type Stream struct {
	ctx    context.Context
	id     mangomodel.ServerID
	chunks <-chan mangowire.Chunk
}

// Next returns the next chunk. It fails when the stream broke, and with
// CodeUnavailable when none arrived in time.
func (s *Stream) Next(timeout time.Duration) (mangowire.Chunk, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c, ok := <-s.chunks:
		if !ok {
			return c, unreachable(s.id)
		}
		return c, nil
	case <-timer.C:
		return mangowire.Chunk{}, mangomodel.Faultf(mangomodel.StepDecode, mangomodel.PeerName(s.id),
			mangomodel.CodeUnavailable, mangomodel.RunUnknown, "no chunk within %v: %w", timeout, context.DeadlineExceeded)
	case <-s.ctx.Done():
		return mangowire.Chunk{}, context.Cause(s.ctx)
	}
}

// Close ends the stream.
func (s *Stream) Close() error { return nil }

// reader is the engine's end of a Stream.
type reader struct {
	// chunks has room for everything that can be delivered, so that a slow
	// reader never blocks the engine.
	chunks chan mangowire.Chunk
	silent bool
}

// copiesPerChunk is how often a chunk can be delivered under all faults.
const copiesPerChunk = 3

func (r *reader) open(tokens mangomodel.Tokens) {
	r.chunks = make(chan mangowire.Chunk, copiesPerChunk*int(tokens)+1)
}

func (r *reader) deliver(f Faults, c mangowire.Chunk) {
	if r.silent {
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

func unreachable(id mangomodel.ServerID) error {
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(id),
		mangomodel.CodeUnavailable, mangomodel.RunUnknown, "connection refused or broken")
}

func notHere(id mangomodel.ServerID, step mangomodel.Step) error {
	return mangomodel.Faultf(step, mangomodel.PeerName(id),
		mangomodel.CodeNotFound, mangomodel.RunNot, "the engine does not hold the sequence")
}
