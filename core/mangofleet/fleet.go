package mangofleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangohealth"
	"mangolane/core/mangojournal"
	"mangolane/core/mangolease"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// Self is the daemon that owns a fleet.
type Self struct {
	mangoroster.Member
	// Regions says which region each data centre is in.
	Regions map[mangomodel.DataCentreID]mangomodel.RegionID
	// MinDaemons is how many daemons there are at least.
	MinDaemons int
}

// Command is a change of the fleet.
type Command = mangoloop.Command[*state]

// Fleet owns the state and its goroutine.
type Fleet struct {
	loop *mangoloop.Loop[*state, View]
}

// Observer is told what the fleet comes to believe, on the control goroutine:
// it must not block.
type Observer interface {
	// RoutingChanged tells of a configuration that is put in force.
	RoutingChanged(rev mangomodel.Revision, from mangomodel.PeerName)
	// ServersChanged tells of changes of the list of servers.
	ServersChanged(cmd ChangeServers)
	// HealthChanged tells that a server is set aside, or used again.
	HealthChanged(server mangotraffic.Server, r mangohealth.Record, now time.Time)
}

// Option configures a Fleet.
type Option func(*state)

// WithObserver sets who is told what the fleet comes to believe.
func WithObserver(o Observer) Option { return func(s *state) { s.observer = o } }

// New returns a fleet without servers. Its view can be read at once; commands
// are applied while Run runs.
func New(self Self, retries Retries, opts ...Option) *Fleet {
	s := newState(self, retries)
	for _, opt := range opts {
		opt(s)
	}
	return &Fleet{loop: mangoloop.New[*state, View](s)}
}

type silent struct{}

func (silent) RoutingChanged(mangomodel.Revision, mangomodel.PeerName)          {}
func (silent) ServersChanged(ChangeServers)                                     {}
func (silent) HealthChanged(mangotraffic.Server, mangohealth.Record, time.Time) {}

// Retries returns the retry budget of a service.
type Retries func() mangobudget.Limits

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
	// ListCursor and RoutingCursor are the positions of the platform's records
	// that were read.
	ListCursor, RoutingCursor mangotraffic.Cursor
	// Listed are the servers of the list.
	Listed map[mangomodel.ServerID]mangotraffic.Server
	// Members are the daemons that are believed alive, this one included.
	Members []mangoroster.Entry
	// Usages is what this daemon has used of the retry budgets.
	Usages mangobudget.Usages

	schedulers map[mangotraffic.ServiceName][]mangoroster.Member
	// expired are those of Listed whose entries have vanished.
	expired      map[mangomodel.ServerID]bool
	stageChanges map[mangotraffic.ServiceName]mangopool.StageChange
	granted      mangoquery.Index[mangolease.ID, mangolease.Lease]
	crashes      []mangocrash.Crash
	allowances   map[mangomodel.Holder]mangobudget.Allowances
	journal      mangojournal.Journal
	self         mangomodel.DaemonID
	// reader is who reads the platform's records first.
	reader mangoroster.Member
}

// FollowsScheduler reports whether this daemon learns of changes from a scheduler, so
// that it does not have to read the platform's records.
func (v *View) FollowsScheduler(now time.Time) bool {
	if v.Routing == nil || now.Sub(v.ListRead) > informedTime {
		return false
	}
	for _, list := range v.schedulers {
		if len(list) > 0 && list[0].Holder.Daemon == v.self {
			return false
		}
	}
	return true
}

// Unsynced reports whether the daemon has yet to learn the configuration or
// the list of servers.
func (v *View) Unsynced() bool { return v.Routing == nil || v.ListRead.IsZero() }

// DefersInitialSync reports whether others read the platform's records first while this
// daemon is unsynced: weak ones are many, and leave it to the strong ones even
// before they have heard of any.
func (v *View) DefersInitialSync() bool {
	return v.Unsynced() && (!v.reader.Strong || v.reader.Holder.Daemon != v.self)
}

// Sightings returns all members with the time since they were heard.
func (v *View) Sightings(now time.Time) []mangoroster.Sighting {
	list := make([]mangoroster.Sighting, len(v.Members))
	for i, m := range v.Members {
		list[i] = mangoroster.Sighting{Member: m.Member, Age: now.Sub(m.At)}
	}
	return list
}

// SchedulerCandidates returns the sightings of the members that may be scheduler next.
func (v *View) SchedulerCandidates(now time.Time) []mangoroster.Sighting {
	next := make(map[mangomodel.DaemonID]bool)
	for _, list := range v.schedulers {
		for _, m := range list[:min(len(list), newsMembers)] {
			next[m.Holder.Daemon] = true
		}
	}
	return slices.DeleteFunc(v.Sightings(now), func(s mangoroster.Sighting) bool { return !next[s.Member.Holder.Daemon] })
}

// Allowances returns what a daemon life may use of the retry budgets until it
// renews again.
func (v *View) Allowances(h mangomodel.Holder) mangobudget.Allowances { return v.allowances[h] }

// Lease returns a lease that was granted and not renewed yet.
func (v *View) Lease(id mangolease.ID) (mangolease.Lease, bool) { return v.granted.Get(id) }

// Ready reports whether the daemon can route calls and wants more of them.
func (v *View) Ready() bool { return !v.Unsynced() && !v.Draining }

// MayUse reports whether this daemon's own list allows new work at a server.
// A scheduler's list may be older. Without a list every server is allowed.
func (v *View) MayUse(id mangomodel.ServerID) bool {
	if v.ListRead.IsZero() {
		return true
	}
	server, ok := v.Listed[id]
	return ok && server.State == mangotraffic.StateReady
}

// Stale reports whether the list of servers may be out of date.
func (v *View) Stale(now time.Time) bool { return now.Sub(v.ListRead) > freshTime }

// Scheduler returns the daemon that grants the slots of a service's engines.
func (v *View) Scheduler(name mangotraffic.ServiceName) (mangoroster.Member, bool) {
	list := v.schedulers[name]
	if len(list) == 0 {
		return mangoroster.Member{}, false
	}
	return list[0], true
}

// StageChange returns the engine of a service that should change its stage, if any.
func (v *View) StageChange(name mangotraffic.ServiceName) (mangopool.StageChange, bool) {
	m, ok := v.stageChanges[name]
	return m, ok
}

// Services returns the services that have a scheduler.
func (v *View) Services() []mangotraffic.ServiceName {
	names := make([]mangotraffic.ServiceName, 0, len(v.schedulers))
	for name := range v.schedulers {
		names = append(names, name)
	}
	return names
}

// Crashes returns the calls that broke off at servers lately.
func (v *View) Crashes() []mangocrash.Crash { return v.crashes }
