package mangocommand

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangosched"
)

// recordRetention is how long records of failures, unreachable daemons and idle
// retry budgets are kept.
const recordRetention = time.Minute

// state is the control state. It is confined to the control goroutine.
type state struct {
	catalog *mangoconfig.Catalog
	// recentChanges are the last applied changes, consecutive and ending at
	// the catalog's revision.
	recentChanges []mangoconfig.AcceptedChange
	members       *mangomember.Table
	scheduler     *mangosched.Scheduler
	grants        mangoquery.Index[mangomodel.GrantID, mangomodel.Grant]
	holdings      mangoquery.Index[mangomodel.GrantID, mangoquery.Holding]
	hostList      mangoquery.HostListReading
	lastFailure   map[mangomodel.ServerID]time.Time
	// backoffs are the ends of the times for which engines want nothing from this daemon.
	backoffs        map[mangomodel.ServerID]time.Time
	busyUntil       map[mangomodel.ShardID]time.Time
	lastUnreachable map[mangomodel.DaemonID]time.Time
	retries         map[mangomodel.WorkspaceID]*retryBudget
	calls           *callLimits
	stopping        bool
	// pendingReplies holds the replies to demands that are not yet decided.
	pendingReplies map[mangomodel.GrantID][]mangoloop.Reply
	cancels        chan<- mangosched.Cancel
	// changed marks the parts that differ from the published snapshot.
	changed parts
}

// parts marks parts of the state, so that publishing copies only the changed
// ones.
type parts struct {
	shards, failures, members bool
}

func newState(self mangomember.Member, cancels chan<- mangosched.Cancel) *state {
	return &state{
		catalog:         &mangoconfig.Catalog{},
		members:         mangomember.New(self),
		scheduler:       mangosched.New(self.Holder()),
		lastFailure:     make(map[mangomodel.ServerID]time.Time),
		backoffs:        make(map[mangomodel.ServerID]time.Time),
		busyUntil:       make(map[mangomodel.ShardID]time.Time),
		lastUnreachable: make(map[mangomodel.DaemonID]time.Time),
		retries:         make(map[mangomodel.WorkspaceID]*retryBudget),
		calls:           newCallLimits(),
		pendingReplies:  make(map[mangomodel.GrantID][]mangoloop.Reply),
		cancels:         cancels,
		changed:         parts{shards: true, failures: true, members: true},
	}
}

// configure passes the shards of the local data centre to the scheduler. It
// passes all of them, because daemons whose membership views differ may request
// any of them from this daemon.
func (s *state) configure(now time.Time) {
	// Queries share the catalog's list, so it is copied before it is changed.
	shards := slices.Clone(s.catalog.Shards(s.members.Self().DataCentre))
	for i := range shards {
		shards[i].Servers = slices.Clone(shards[i].Servers)
		for j, host := range shards[i].Servers {
			if s.hostList.IsLeaving(mangomodel.ServerID(host.ID)) {
				shards[i].Servers[j].State = mangomodel.ServerLeaving
			}
		}
	}
	s.scheduler.Configure(now, shards)
	s.changed.shards = true
}

// endLostGrants ends the grants of daemon incarnations that have ended.
func (s *state) endLostGrants(now time.Time, lost []mangomodel.Holder) {
	for _, holder := range lost {
		s.scheduler.EndHolder(now, holder)
	}
	s.changed.shards = s.changed.shards || len(lost) > 0
}

// Tick runs the timers that have become due.
func (s *state) Tick(now time.Time) {
	lost := s.members.Tick(now)
	s.changed.members = true
	s.endLostGrants(now, lost)
	s.scheduler.Tick(now)
	s.changed.shards = true
	s.evictExpired(now)
}

// evictExpired evicts records that no longer affect any decision.
func (s *state) evictExpired(now time.Time) {
	maps.DeleteFunc(s.lastFailure, func(_ mangomodel.ServerID, at time.Time) bool { return now.Sub(at) > recordRetention })
	maps.DeleteFunc(s.lastUnreachable, func(_ mangomodel.DaemonID, at time.Time) bool { return now.Sub(at) > recordRetention })
	maps.DeleteFunc(s.backoffs, func(_ mangomodel.ServerID, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.busyUntil, func(_ mangomodel.ShardID, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.retries, func(_ mangomodel.WorkspaceID, b *retryBudget) bool { return b.idle(now) })
	s.changed.failures = true
}

// NextDue returns when the next timer is due, if there is one.
func (s *state) NextDue() (time.Time, bool) {
	due, ok := s.scheduler.NextDue()
	other, otherOK := s.members.NextDue()
	if otherOK && (!ok || other.Before(due)) {
		return other, true
	}
	return due, ok
}

// applyEffects applies the pending effects of the scheduler.
func (s *state) applyEffects() {
	for _, effect := range s.scheduler.TakeEffects() {
		switch e := effect.(type) {
		case mangosched.Granted:
			s.grants = s.grants.With(e.Grant.ID, e.Grant)
		case mangosched.GrantEnded:
			s.grants = s.grants.Without(e.Grant)
		case mangosched.Decision:
			s.replyDecision(e)
		case mangosched.Cancel:
			s.enqueueCancel(e)
		}
	}
}

func (s *state) replyDecision(d mangosched.Decision) {
	for _, reply := range s.pendingReplies[d.Grant] {
		reply.Send(d.Err)
	}
	delete(s.pendingReplies, d.Grant)
}

func (s *state) enqueueCancel(c mangosched.Cancel) {
	select {
	case s.cancels <- c:
	default:
	}
}

// View applies the pending effects of the scheduler and returns the state as an
// immutable snapshot. Parts that have not changed are shared with last.
func (s *state) View(last *mangoquery.Snapshot, now time.Time) *mangoquery.Snapshot {
	s.applyEffects()
	next := &mangoquery.Snapshot{}
	if last != nil {
		*next = *last
	}
	next.Self = s.members.Self()
	next.Catalog = s.catalog
	next.RecentChanges = s.recentChanges
	next.Grants = s.grants
	next.Holdings = s.holdings
	next.Stopping = s.stopping
	next.HostList = s.hostList
	if s.changed.members {
		next.Members = s.members.Members()
		next.Rendezvous = mangoquery.NewRendezvous(next.Self, next.Members)
		next.PendingUpdates = s.members.PendingUpdates()
	}
	if s.changed.shards {
		next.Shards = s.scheduler.Status()
		next.Suspicions = s.scheduler.Suspicions(now)
	}
	if s.changed.failures {
		next.LastFailure = maps.Clone(s.lastFailure)
		next.Backoffs = maps.Clone(s.backoffs)
		next.BusyUntil = maps.Clone(s.busyUntil)
		next.LastUnreachable = maps.Clone(s.lastUnreachable)
	}
	s.changed = parts{}
	return next
}
