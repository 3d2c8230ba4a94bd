package mangocommand

import (
	"context"
	"errors"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoquery"
	"mangolane/core/mangosched"
)

// cancelQueue is the capacity of the queue of cancellations to send. A
// cancellation that finds the queue full is dropped; the sweep of orphaned
// sequences issues it again.
const cancelQueue = 1024

// Command is a change of the control state.
type Command = mangoloop.Command[*state]

// Control owns the control state and its goroutine.
type Control struct {
	loop    *mangoloop.Loop[*state, mangoquery.Snapshot]
	cancels chan mangosched.Cancel
}

// New returns a Control for the daemon self. Its snapshot can be read
// immediately; commands are applied while Run runs.
func New(self mangomember.Member) *Control {
	cancels := make(chan mangosched.Cancel, cancelQueue)
	return &Control{
		loop:    mangoloop.New[*state, mangoquery.Snapshot](newState(self, cancels)),
		cancels: cancels,
	}
}

// ObservePanics sets the observer of panics. It must be called before Run.
func (c *Control) ObservePanics(o mangopanic.Observer) { c.loop.ObservePanics(o) }

// Run applies commands until ctx is done.
func (c *Control) Run(ctx context.Context) { c.loop.Run(ctx) }

// Snapshot returns the latest published state.
func (c *Control) Snapshot() *mangoquery.Snapshot { return c.loop.View() }

// Cancels returns the channel of sequences to cancel on backend servers.
func (c *Control) Cancels() <-chan mangosched.Cancel { return c.cancels }

// Do applies a command and waits for its result. If ctx is done first, the
// command may still be applied; an Acquire is then withdrawn. After the loop
// has stopped, Do fails with CodeUnavailable and RunUnknown.
func (c *Control) Do(ctx context.Context, cmd Command) error {
	err := c.loop.Do(ctx, cmd)
	if errors.Is(err, mangoloop.ErrStopped) {
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
	}
	if a, ok := cmd.(Acquire); ok && err != nil && ctx.Err() != nil {
		// This fails only after the loop has stopped.
		_ = c.loop.Do(context.WithoutCancel(ctx), Withdraw{Grant: a.Demand.Grant})
	}
	return err
}
