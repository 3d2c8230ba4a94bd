package mangofleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangobound"
	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangodeparture"
	"mangolane/core/mangohealth"
	"mangolane/core/mangojournal"
	"mangolane/core/mangolease"
	"mangolane/core/mangoleaving"
	"mangolane/core/mangoload"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutage"
	"mangolane/core/mangooutlier"
	"mangolane/core/mangopanic"
	"mangolane/core/mangopool"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// Self describes the daemon that owns a fleet.
type Self struct {
	mangoroster.Member
	// Regions maps each data centre to its region.
	Regions map[mangomodel.DataCentreID]mangomodel.RegionID
	// MinDaemons is a lower bound on the number of daemons, this one included.
	MinDaemons int
	// Seeds are the addresses of daemons that the deployment names.
	Seeds []mangomodel.Address
}

// Command is a change of the fleet's state.
type Command = mangoloop.Command[*state]

// Fleet owns the control state and the goroutine that changes it.
type Fleet struct {
	loop        *mangoloop.Loop[*state, View]
	quotaWanted <-chan struct{}
}

// Observer is notified of state changes. Its methods run on the control
// goroutine and must not block.
type Observer interface {
	mangopanic.Observer
	// RoutingChanged is called when a new configuration becomes active.
	RoutingChanged(rev mangomodel.Revision, from mangomodel.PeerName)
	// ServersChanged is called with changes of the server list.
	ServersChanged(cmd ChangeServers)
	// ListIgnored is called with changes that are not applied, since they end before the
	// position reached or begin after it.
	ListIgnored(cmd ChangeServers, reached mangotraffic.Cursor)
	// StoreRestored is called with the first list of an era, after one of an earlier era.
	StoreRestored(from, to mangotraffic.Cursor)
	// EntryDeferred is called for an entry that is not used for some time, since that list
	// has it although it had been removed before, or a later incarnation is in use.
	EntryDeferred(server mangotraffic.ServerRef, d time.Duration)
	// HealthChanged is called when a server is ejected or becomes usable again.
	HealthChanged(server mangotraffic.Server, r mangohealth.Record, now time.Time)
	// ServerWithdrawn is called when a server has announced that it leaves: in the
	// answer to a request of this daemon, or to the daemon from.
	ServerWithdrawn(server mangotraffic.ServerRef, request mangomodel.RequestID, from mangomodel.PeerName)
	// BackoffAsked is called when a server has asked this daemon for time, or with a
	// figure that is no time.
	BackoffAsked(a mangolease.Announcement)
	// PartChanged is called when a part of prompts is quarantined, or no longer recorded.
	PartChanged(change mangoquarantine.Change, now time.Time)
	QuotaObserver
}

// Option configures a Fleet.
type Option func(*state)

// WithObserver sets the observer of state changes.
func WithObserver(o Observer) Option { return func(s *state) { s.observer = o } }

// WithTimes sets how old the records may be; the default holds the standard bound.
func WithTimes(t mangobound.Times) Option {
	return func(s *state) { s.times, s.outages = t, mangooutage.New(s.self.Holder.Daemon, t.Outage()) }
}

// New returns a fleet without servers. Its view can be read at once; commands
// are applied only while Run is running.
func New(self Self, limits RetryLimits, opts ...Option) *Fleet {
	s := newState(self, limits)
	for _, opt := range opts {
		opt(s)
	}
	loop := mangoloop.New[*state, View](s)
	loop.ObservePanics(s.observer)
	return &Fleet{loop: loop, quotaWanted: s.quota.wanted}
}

type nopObserver struct{ mangopanic.Nop }

func (nopObserver) RoutingChanged(mangomodel.Revision, mangomodel.PeerName)          {}
func (nopObserver) ServersChanged(ChangeServers)                                     {}
func (nopObserver) ListIgnored(ChangeServers, mangotraffic.Cursor)                   {}
func (nopObserver) StoreRestored(from, to mangotraffic.Cursor)                       {}
func (nopObserver) EntryDeferred(mangotraffic.ServerRef, time.Duration)              {}
func (nopObserver) HealthChanged(mangotraffic.Server, mangohealth.Record, time.Time) {}
func (nopObserver) ServerWithdrawn(mangotraffic.ServerRef, mangomodel.RequestID, mangomodel.PeerName) {
}
func (nopObserver) BackoffAsked(mangolease.Announcement)          {}
func (nopObserver) PartChanged(mangoquarantine.Change, time.Time) {}
func (nopObserver) QuotaRefused(*mangoquota.Refusal)              {}
func (nopObserver) QuotaAsked(int)                                {}
func (nopObserver) QuotaWaited(time.Duration)                     {}

// RetryLimits returns the limits that hold for the retry budget of each service.
type RetryLimits func() mangobudget.Limits

// Run applies commands until ctx ends.
func (f *Fleet) Run(ctx context.Context) { f.loop.Run(ctx) }

// View returns the newest published state.
func (f *Fleet) View() *View { return f.loop.View() }

// Do applies a command and waits for its result. If ctx ends first, the command
// may still be applied; the lease of an Acquire is then released.
func (f *Fleet) Do(ctx context.Context, cmd Command) error {
	err := f.loop.Do(ctx, cmd)
	if errors.Is(err, mangoloop.ErrStopped) {
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunNot, err)
	}
	if a, ok := cmd.(Acquire); ok && err != nil && ctx.Err() != nil {
		// This fails only after the loop has ended.
		_ = f.loop.Do(context.WithoutCancel(ctx), Release{Lease: a.Lease})
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeCancelled, mangomodel.RunNot, err)
	}
	return err
}

// View is an immutable snapshot of the fleet's state.
type View struct {
	// Routing is nil until the first configuration is received.
	Routing *mangotraffic.Routing
	// Draining is set once a graceful shutdown has begun.
	Draining bool
	// Waiting counts the queued demands and Leases the granted ones.
	Waiting, Leases int
	// ListRead is when the server list was last known to be current; zero if
	// no list was received yet.
	ListRead time.Time
	// RoutingRead is when the configuration was last known to be current.
	RoutingRead time.Time
	// ListCursor and RoutingCursor are the positions reached in the platform's
	// records.
	ListCursor, RoutingCursor mangotraffic.Cursor
	// Listed holds the servers of the list.
	Listed map[mangomodel.ServerID]mangotraffic.Server
	// Members are this daemon, which is the first, and the other recorded daemons.
	Members []mangoroster.Entry
	// Usages is this daemon's use of the retry budgets.
	Usages mangobudget.Usages
	// Outcomes are the recent outcomes of this daemon's calls to plain servers, and
	// Ejections the servers that it has found to be outliers among those of all
	// daemons.
	Outcomes  map[mangomodel.ServerID]mangooutlier.Counts
	Ejections []Ejection
	// Announced counts the announcements of servers in answers to this daemon that
	// schedulers do not know yet.
	Announced uint64

	// loads and sharedLoads are the load records of this daemon and of all, at loadsAt.
	loads, sharedLoads mangoload.Records
	loadsAt            time.Time

	schedulers map[mangotraffic.ServiceName][]mangoroster.Member
	// expired marks the servers of Listed whose entries have vanished and whose
	// grace period runs.
	expired map[mangomodel.ServerID]bool
	// deferred are the entries that are not used yet, since they had been removed before the
	// store came back from an older copy.
	deferred []mangotraffic.Server
	// left are the servers that have left lately.
	left     []mangodeparture.Departure
	restored restoration
	// withdrawn holds the servers that have announced that they leave. unconfirmed are
	// those that the list still names as ready.
	withdrawn   map[mangomodel.ServerID]mangoleaving.Withdrawal
	unconfirmed []mangoleaving.Withdrawal
	// backoffs are the ends of the times for which servers want nothing from this daemon.
	backoffs     map[mangomodel.ServerID]mangobackoff.End
	stageChanges map[mangotraffic.ServiceName]mangopool.StageChange
	granted      mangoquery.Index[mangolease.ID, mangolease.Lease]
	refusedCalls mangocrash.Verdicts
	// unsavedCrashes are the records to be saved, and probesUnsaved is set if a probe could
	// not be. ownsCrashes is set if this daemon has changed a record, and knowsCrashes if
	// it has any.
	unsavedCrashes                           []mangocrash.Unsaved
	probesUnsaved, ownsCrashes, knowsCrashes bool
	// crashRequest and crashResponse are computed now and then, since others merge them
	// repeatedly.
	crashRequest, crashResponse mangocrash.Message
	quarantine                  mangoquarantine.Records
	// quarantineMessage is computed now and then, since others merge it repeatedly.
	quarantineMessage mangoquarantine.Message
	allowances        map[mangomodel.Holder]mangobudget.Allowances
	journal           mangojournal.Journal
	// readFailed is when this daemon last failed to read the list, and returned when the
	// store returned from its last outage.
	readFailed, returned time.Time
	times                mangobound.Times
	self                 mangomodel.DaemonID
	quotaAsk             *QuotaAsk
	quotaReport          *mangoquota.Report
	quotaReplies         mangoquery.Index[quotaHolder, QuotaReply]
	// defaultScheduler is the daemon that does the initial sync for the others.
	defaultScheduler mangoroster.Member
	// accountant counts what the workspaces use; zero without limits.
	accountant mangoroster.Member
}

// FollowsScheduler reports whether this daemon receives changes of the list of servers
// from a scheduler and need not read the list itself.
func (v *View) FollowsScheduler(now time.Time) bool {
	return v.Routing != nil && mangomodel.Elapsed(v.ListRead, now) <= v.times.Received() && !v.schedules()
}

// FollowsRouting reports whether this daemon receives the configuration from a scheduler
// and need not read it itself. A scheduler may be able to read only one of the records.
func (v *View) FollowsRouting(now time.Time) bool {
	return v.Routing != nil && mangomodel.Elapsed(v.RoutingRead, now) <= v.times.Received() && !v.schedules()
}

// RoutingAge returns the time since the configuration was known to be current, and the
// time up to which a daemon that reads it or receives it counts it as confirmed.
func (v *View) RoutingAge(now time.Time) (age, confirmed time.Duration) {
	return mangomodel.Elapsed(v.RoutingRead, now), v.times.Received()
}

// schedules reports whether this daemon is the scheduler of a service.
func (v *View) schedules() bool {
	for _, list := range v.schedulers {
		if len(list) > 0 && list[0].Holder.Daemon == v.self {
			return true
		}
	}
	return false
}

// Unsynced reports whether the configuration or the server list has not been
// received yet.
func (v *View) Unsynced() bool { return v.Routing == nil || v.ListRead.IsZero() }

// DefersInitialSync reports whether an unsynced daemon leaves the first read of
// the platform's records to other daemons. Daemons without the capacity to
// schedule are many, so they leave it to those with that capacity even before
// any of them is recorded.
func (v *View) DefersInitialSync() bool {
	return v.Unsynced() && (!v.defaultScheduler.Strong || v.defaultScheduler.Holder.Daemon != v.self)
}

// Sightings returns all members with the time since each was last seen.
func (v *View) Sightings(now time.Time) []mangoroster.Sighting {
	list := make([]mangoroster.Sighting, len(v.Members))
	for i, m := range v.Members {
		list[i] = mangoroster.Sighting{Member: m.Member, Age: now.Sub(m.At)}
	}
	return list
}

// SchedulerCandidates returns the sightings of the members that may become
// scheduler next.
func (v *View) SchedulerCandidates(now time.Time) []mangoroster.Sighting {
	candidates := make(map[mangomodel.DaemonID]bool)
	for _, list := range v.schedulers {
		for _, m := range list[:min(len(list), maxCandidates)] {
			candidates[m.Holder.Daemon] = true
		}
	}
	if m, ok := v.Accountant(); ok {
		candidates[m.Holder.Daemon] = true
	}
	return slices.DeleteFunc(v.Sightings(now), func(s mangoroster.Sighting) bool { return !candidates[s.Member.Holder.Daemon] })
}

// Allowances returns how many retries an incarnation of a daemon may make until
// its next renewal.
func (v *View) Allowances(h mangomodel.Holder) mangobudget.Allowances { return v.allowances[h] }

// Lease returns a granted lease that its holder has not renewed yet.
func (v *View) Lease(id mangolease.ID) (mangolease.Lease, bool) { return v.granted.Get(id) }

// Ready reports whether the daemon can route calls and accepts new ones.
func (v *View) Ready() bool { return !v.Unsynced() && !v.Draining }

// MayUse reports whether this daemon's own server list allows new work at a
// server, and the server has not announced that it leaves. The list of the scheduler
// that granted the lease may be older. Without a list every other server is allowed.
func (v *View) MayUse(id mangomodel.ServerID) bool {
	if server, ok := v.Listed[id]; ok {
		return server.State == mangotraffic.StateReady
	}
	_, withdrawn := v.withdrawn[id]
	return v.ListRead.IsZero() && !withdrawn
}

// Stale reports whether the server list may be out of date.
func (v *View) Stale(now time.Time) bool { return mangomodel.Elapsed(v.ListRead, now) > v.times.Age }

// Scheduler returns the daemon that grants the leases on a service's servers.
func (v *View) Scheduler(name mangotraffic.ServiceName) (mangoroster.Member, bool) {
	list := v.schedulers[name]
	if len(list) == 0 {
		return mangoroster.Member{}, false
	}
	return list[0], true
}

// StageChange returns the proposed stage change of a service, if any.
func (v *View) StageChange(name mangotraffic.ServiceName) (mangopool.StageChange, bool) {
	change, ok := v.stageChanges[name]
	return change, ok
}

// Services returns the services that have a scheduler.
func (v *View) Services() []mangotraffic.ServiceName {
	names := make([]mangotraffic.ServiceName, 0, len(v.schedulers))
	for name := range v.schedulers {
		names = append(names, name)
	}
	return names
}
