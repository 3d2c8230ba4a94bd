package mangocommand

import (
	"context"
	"errors"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangosched"
)

// cancelQueue is how many cancellations may wait to be sent. One that finds
// no room is dropped: the sweep of orphaned sequences repeats it.
const cancelQueue = 1024

// Command is a change of the control state.
type Command = mangoloop.Command[*state]

// Control owns the control state and its goroutine.
type Control struct {
	loop    *mangoloop.Loop[*state, mangoquery.Snapshot]
	cancels chan mangosched.Cancel
}

// New returns a Control for a daemon. Its snapshot can be read at once;
// commands are applied while Run runs.
func New(self mangomember.Member) *Control {
	cancels := make(chan mangosched.Cancel, cancelQueue)
	return &Control{
		loop:    mangoloop.New[*state, mangoquery.Snapshot](newState(self, cancels)),
		cancels: cancels,
	}
}

// Run applies commands until ctx ends.
func (c *Control) Run(ctx context.Context) { c.loop.Run(ctx) }

// Snapshot returns the newest published state.
func (c *Control) Snapshot() *mangoquery.Snapshot { return c.loop.View() }

// Cancels delivers the sequences to cancel on backend servers.
func (c *Control) Cancels() <-chan mangosched.Cancel { return c.cancels }

// Do applies a command and waits for its answer. When ctx ends first the
// command may still be applied; an Acquire is then withdrawn.
func (c *Control) Do(ctx context.Context, cmd Command) error {
	err := c.loop.Do(ctx, cmd)
	if errors.Is(err, mangoloop.ErrStopped) {
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
	}
	if a, ok := cmd.(Acquire); ok && err != nil && ctx.Err() != nil {
		// Only the loop's end makes this fail.
		_ = c.loop.Do(context.WithoutCancel(ctx), Withdraw{Grant: a.Demand.Grant})
	}
	return err
}
