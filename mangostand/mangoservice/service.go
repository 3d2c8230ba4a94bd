// Package mangoservice emulates a plain service that responds to application
// calls. It counts the runs of each operation, so that tests can check that a
// non-idempotent call runs at most once.
//
// # Usage
//
//	recorder := mangoservice.NewRecorder()
//	response, err := recorder.Call(ctx, "/retire", []byte("hat 7"))
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

// Faults selects the failures that a service emulates.
type Faults struct {
	// LoseAnswers makes calls run and their responses get lost.
	LoseAnswers bool
	// Down makes the service refuse connections. The caller of the recorder
	// applies it; mangohttp ignores it.
	Down bool
	// Delay is the time between the run of a call and its response.
	Delay mangomodel.Duration
}

// Operation identifies the operation of a call: its path and body, separated by
// a space.
type Operation string

// Counts is an immutable snapshot of a recorder: the runs of each operation and
// the active faults.
type Counts struct {
	runs   map[Operation]int
	faults Faults
}

// Runs returns how often an operation ran.
func (c *Counts) Runs(op Operation) int { return c.runs[op] }

// All returns how often each operation ran.
func (c *Counts) All() map[Operation]int { return maps.Clone(c.runs) }

// Faults returns the active faults.
func (c *Counts) Faults() Faults { return c.faults }

// Recorder counts the runs of operations.
type Recorder struct {
	loop *mangoloop.Loop[*state, Counts]
}

// NewRecorder returns a recorder. It processes calls only while Run runs.
func NewRecorder() *Recorder {
	return &Recorder{loop: mangoloop.New[*state, Counts](&state{runs: make(map[Operation]int)})}
}

// Run processes calls until ctx ends.
func (r *Recorder) Run(ctx context.Context) { r.loop.Run(ctx) }

// Counts returns the newest snapshot of the recorder.
func (r *Recorder) Counts() *Counts { return r.loop.View() }

// Inject replaces the service's active faults.
func (r *Recorder) Inject(ctx context.Context, f Faults) error {
	return r.loop.Do(ctx, injectCommand{f})
}

// Call runs an operation and returns its response. The run is counted even if
// ctx ends before the response.
func (r *Recorder) Call(ctx context.Context, path string, body []byte) ([]byte, error) {
	op := Operation(path + " " + string(body))
	if err := r.loop.Do(context.WithoutCancel(ctx), runCommand{op}); err != nil {
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

// Tick does nothing: a recorder has no timed work.
func (s *state) Tick(time.Time) {}

// NextDue reports that no work is due.
func (s *state) NextDue() (time.Time, bool) { return time.Time{}, false }

// View returns a copy of the counts.
func (s *state) View(*Counts, time.Time) *Counts {
	return &Counts{runs: maps.Clone(s.runs), faults: s.faults}
}

type runCommand struct{ op Operation }

// Apply implements [mangoloop.Command].
func (c runCommand) Apply(s *state, _ time.Time) error {
	s.runs[c.op]++
	return nil
}

type injectCommand struct{ faults Faults }

// Apply implements [mangoloop.Command].
func (c injectCommand) Apply(s *state, _ time.Time) error {
	s.faults = c.faults
	return nil
}
