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
	Member
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
func New(self Self, retries Retries) *Fleet {
	return &Fleet{loop: mangoloop.New[*state, View](newState(self, retries))}
}

// Retries returns the retry budget of a service at one of n daemons.
type Retries func(daemons int) mangobudget.Limits

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
	// Waiting counts the queued demands and Leases the granted ones.
	Waiting, Leases int
	// ListRead is when the list of servers was last known to be current; zero
	// if it never was.
	ListRead time.Time
	// Listed are the servers of the list.
	Listed []mangotraffic.Server
	// Members are the daemons that are believed alive, this one included.
	Members []Sighting

	schedulers map[mangotraffic.ServiceName][]Member
	granted    mangoquery.Index[LeaseID, Lease]
	crashes    []Crash
}

// Lease returns a granted lease.
func (v *View) Lease(id LeaseID) (Lease, bool) { return v.granted.Get(id) }

// Ready reports whether the daemon can route calls and wants more of them.
func (v *View) Ready() bool { return v.Routing != nil && !v.ListRead.IsZero() && !v.Draining }

// Scheduler returns the daemon that grants the slots of a service's engines.
func (v *View) Scheduler(name mangotraffic.ServiceName) (Member, bool) {
	list := v.schedulers[name]
	if len(list) == 0 {
		return Member{}, false
	}
	return list[0], true
}

// EngineServices returns the services that need a scheduler.
func (v *View) EngineServices() []mangotraffic.ServiceName {
	names := make([]mangotraffic.ServiceName, 0, len(v.schedulers))
	for name := range v.schedulers {
		names = append(names, name)
	}
	return names
}

// Crashes returns the calls that broke off at servers lately.
func (v *View) Crashes() []Crash { return v.crashes }
