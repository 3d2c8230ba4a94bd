package mangofleet

import (
	"context"
	"errors"
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangotraffic"
)

// Self is the daemon that owns a fleet.
type Self struct {
	Daemon     mangomodel.DaemonID
	DataCentre mangomodel.DataCentreID
	// Regions says which region each data centre is in.
	Regions map[mangomodel.DataCentreID]mangomodel.RegionID
}

// Command is a change of the fleet.
type Command = mangoloop.Command[*state]

// Fleet owns the state and its goroutine.
type Fleet struct {
	loop *mangoloop.Loop[*state, View]
}

// New returns a fleet without servers. Its view can be read at once; commands
// are applied while Run runs.
func New(self Self, limits mangobudget.Limits) *Fleet {
	return &Fleet{loop: mangoloop.New[*state, View](newState(self, limits))}
}

// Run applies commands until ctx ends.
func (f *Fleet) Run(ctx context.Context) { f.loop.Run(ctx) }

// View returns the newest published state.
func (f *Fleet) View() *View { return f.loop.View() }

// Do applies a command and waits for its answer. When ctx ends first the
// command may still be applied; an Acquire is then released.
func (f *Fleet) Do(ctx context.Context, cmd Command) error {
	err := f.loop.Do(ctx, cmd)
	if errors.Is(err, mangoloop.ErrStopped) {
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunNot, err)
	}
	if a, ok := cmd.(Acquire); ok && err != nil && ctx.Err() != nil {
		// Only the loop's end makes this fail.
		_ = f.loop.Do(context.WithoutCancel(ctx), Release{Lease: a.Lease})
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeCancelled, mangomodel.RunNot, err)
	}
	return err
}

// View is an immutable picture of the fleet.
type View struct {
	// Routing is nil until the first configuration was read.
	Routing *mangotraffic.Routing
	// Draining is set once a graceful shutdown has begun.
	Draining bool
	// Servers counts the listed servers, Waiting the queued demands and
	// Leases the granted ones.
	Servers, Waiting, Leases int
	// ListRead is when the list of servers was last known to be current.
	ListRead time.Time

	leases mangoquery.Index[LeaseID, Lease]
	load   []ServerLoad
}

// Lease returns a granted lease.
func (v *View) Lease(id LeaseID) (Lease, bool) { return v.leases.Get(id) }

// Ready reports whether the daemon can route calls and wants more of them.
func (v *View) Ready() bool { return v.Routing != nil && !v.Draining }

// Load returns what this daemon has running at each server.
func (v *View) Load() []ServerLoad { return v.load }

// ServerLoad is what one daemon has running at a server.
type ServerLoad struct {
	Server  mangomodel.ServerID
	Running int
	// Memory is the KV memory that the running generations may take.
	Memory mangomodel.Tokens
	// PrefillBacklog is the prompt tokens that wait for the server.
	PrefillBacklog mangomodel.Tokens
}
