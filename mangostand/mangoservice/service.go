// Package mangoservice stands in for a plain service that answers application
// calls. It counts how often each operation ran, which is what tests of
// non-idempotent calls look at.
//
// # Usage
//
//	recorder := mangoservice.NewRecorder()
//	answer, err := recorder.Call(ctx, "/retire", []byte("hat 7"))
//	runs := recorder.Counts().Runs("/retire hat 7")
//
// All servers of one service share a [Recorder], as they would share a
// database.
package mangoservice

import (
	"context"
	"maps"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
)

// Faults are the failures that a service shows.
type Faults struct {
	// LoseAnswers makes calls run and their answers get lost.
	LoseAnswers bool
	// Down makes the service refuse connections.
	Down bool
	// Delay is the time of a call.
	Delay mangomodel.Duration
}

// Operation names what a call does: its path and body.
type Operation string

// Counts says how often operations ran.
type Counts struct {
	runs   map[Operation]int
	faults Faults
}

// Runs returns how often an operation ran.
func (c *Counts) Runs(op Operation) int { return c.runs[op] }

// All returns how often each operation ran.
func (c *Counts) All() map[Operation]int { return maps.Clone(c.runs) }

// Faults returns the faults in force.
func (c *Counts) Faults() Faults { return c.faults }

// Recorder counts the runs of operations.
type Recorder struct {
	loop *mangoloop.Loop[*state, Counts]
}

// NewRecorder returns a recorder. It works while Run runs.
func NewRecorder() *Recorder {
	return &Recorder{loop: mangoloop.New[*state, Counts](&state{runs: make(map[Operation]int)})}
}

// Run works until ctx ends.
func (r *Recorder) Run(ctx context.Context) { r.loop.Run(ctx) }

// Counts returns how often operations ran so far.
func (r *Recorder) Counts() *Counts { return r.loop.View() }

// Inject switches the faults of the service.
func (r *Recorder) Inject(ctx context.Context, f Faults) error {
	return r.loop.Do(ctx, inject{f})
}

// Call runs an operation and returns its answer.
func (r *Recorder) Call(ctx context.Context, path string, body []byte) ([]byte, error) {
	op := Operation(path + " " + string(body))
	if err := r.loop.Do(context.WithoutCancel(ctx), run{op}); err != nil {
		return nil, err
	}
	timer := time.NewTimer(r.Counts().faults.Delay.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	return []byte("ran " + string(op)), nil
}

type state struct {
	runs   map[Operation]int
	faults Faults
}

// Tick does nothing: nothing becomes due in a recorder.
func (s *state) Tick(time.Time) {}

// NextDue returns that nothing is due.
func (s *state) NextDue() (time.Time, bool) { return time.Time{}, false }

// View returns a copy of the counts.
func (s *state) View(*Counts, time.Time) *Counts {
	return &Counts{runs: maps.Clone(s.runs), faults: s.faults}
}

type run struct{ op Operation }

// Apply implements [mangoloop.Command].
func (c run) Apply(s *state, _ time.Time) error {
	s.runs[c.op]++
	return nil
}

type inject struct{ faults Faults }

// Apply implements [mangoloop.Command].
func (c inject) Apply(s *state, _ time.Time) error {
	s.faults = c.faults
	return nil
}
