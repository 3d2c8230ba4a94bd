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

// memory is how long notes of failures, refusals and retries are kept.
const memory = time.Minute

// state is the control state. Only the control goroutine touches it.
type state struct {
	catalog *mangoconfig.Catalog
	// recent are the last applied changes, without a gap up to the catalog.
	recent      []mangoconfig.AcceptedChange
	members     *mangomember.Table
	scheduler   *mangosched.Scheduler
	grants      mangoquery.Index[mangomodel.GrantID, mangomodel.Grant]
	holdings    mangoquery.Index[mangomodel.GrantID, mangoquery.Holding]
	reading     mangoquery.HostReading
	failing     map[mangomodel.ServerID]time.Time
	busy        map[mangomodel.ShardID]time.Time
	unreachable map[mangomodel.DaemonID]time.Time
	retries     map[mangomodel.WorkspaceID]*retryBudget
	calls       *callLimits
	stopping    bool
	// waiting holds the replies to demands that are not decided yet.
	waiting map[mangomodel.GrantID][]mangoloop.Reply
	cancels chan<- mangosched.Cancel
	// changed says which parts differ from the published snapshot.
	changed parts
}

// parts marks parts of the state, so that publishing copies no more than
// what has changed.
type parts struct {
	shards, failing, members bool
}

func newState(self mangomember.Member, cancels chan<- mangosched.Cancel) *state {
	return &state{
		catalog:     &mangoconfig.Catalog{},
		members:     mangomember.New(self),
		scheduler:   mangosched.New(self.Holder()),
		failing:     make(map[mangomodel.ServerID]time.Time),
		busy:        make(map[mangomodel.ShardID]time.Time),
		unreachable: make(map[mangomodel.DaemonID]time.Time),
		retries:     make(map[mangomodel.WorkspaceID]*retryBudget),
		calls:       newCallLimits(),
		waiting:     make(map[mangomodel.GrantID][]mangoloop.Reply),
		cancels:     cancels,
		changed:     parts{shards: true, failing: true, members: true},
	}
}

// configure hands the shards of the data centre to the scheduler. It gets all
// of them, since a daemon that believes itself owner may be asked for any.
func (s *state) configure(now time.Time) {
	// The catalog's list is shared with queries, so it is copied.
	shards := slices.Clone(s.catalog.Shards(s.members.Self().DataCentre))
	for i := range shards {
		shards[i].Servers = slices.Clone(shards[i].Servers)
		for j, host := range shards[i].Servers {
			if s.reading.IsLeaving(mangomodel.ServerID(host.ID)) {
				shards[i].Servers[j].State = mangomodel.ServerLeaving
			}
		}
	}
	s.scheduler.Configure(now, shards)
	s.changed.shards = true
}

// lose ends the grants of daemon lives that are over.
func (s *state) lose(now time.Time, lost []mangomodel.Holder) {
	for _, holder := range lost {
		s.scheduler.HolderLost(now, holder)
	}
	s.changed.shards = s.changed.shards || len(lost) > 0
}

// Tick does what has become due.
func (s *state) Tick(now time.Time) {
	lost := s.members.Tick(now)
	s.changed.members = true
	s.lose(now, lost)
	s.scheduler.Tick(now)
	s.changed.shards = true
	s.forget(now)
}

// forget drops what no longer matters to any decision.
func (s *state) forget(now time.Time) {
	maps.DeleteFunc(s.failing, func(_ mangomodel.ServerID, at time.Time) bool { return now.Sub(at) > memory })
	maps.DeleteFunc(s.unreachable, func(_ mangomodel.DaemonID, at time.Time) bool { return now.Sub(at) > memory })
	maps.DeleteFunc(s.busy, func(_ mangomodel.ShardID, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.retries, func(_ mangomodel.WorkspaceID, b *retryBudget) bool { return b.idle(now) })
	s.changed.failing = true
}

// NextDue returns when Tick next has something to do.
func (s *state) NextDue() (time.Time, bool) {
	due, ok := s.scheduler.NextDue()
	other, otherOK := s.members.NextDue()
	if otherOK && (!ok || other.Before(due)) {
		return other, true
	}
	return due, ok
}

// takeEffects carries out what the scheduler has decided.
func (s *state) takeEffects() {
	for _, effect := range s.scheduler.TakeEffects() {
		switch e := effect.(type) {
		case mangosched.Granted:
			s.grants = s.grants.With(e.Grant.ID, e.Grant)
		case mangosched.GrantEnded:
			s.grants = s.grants.Without(e.Grant)
		case mangosched.Decision:
			s.decide(e)
		case mangosched.Cancel:
			s.cancel(e)
		}
	}
}

func (s *state) decide(d mangosched.Decision) {
	for _, reply := range s.waiting[d.Grant] {
		reply.Send(d.Err)
	}
	delete(s.waiting, d.Grant)
}

func (s *state) cancel(c mangosched.Cancel) {
	select {
	case s.cancels <- c:
	default:
	}
}

// View carries out what the scheduler has decided and returns the state as an
// immutable value that shares with the last one what has not changed.
func (s *state) View(last *mangoquery.Snapshot, now time.Time) *mangoquery.Snapshot {
	s.takeEffects()
	next := &mangoquery.Snapshot{}
	if last != nil {
		*next = *last
	}
	next.Self = s.members.Self()
	next.Catalog = s.catalog
	next.RecentChanges = s.recent
	next.Grants = s.grants
	next.Holdings = s.holdings
	next.Stopping = s.stopping
	next.HostList = s.reading
	if s.changed.members {
		next.Members = s.members.Members()
		next.Rendezvous = mangoquery.NewRendezvous(next.Self, next.Members)
		next.PendingUpdates = s.members.PendingUpdates()
	}
	if s.changed.shards {
		next.Shards = s.scheduler.Status()
		next.Suspicions = s.scheduler.Suspicions(now)
	}
	if s.changed.failing {
		next.LastFailure = maps.Clone(s.failing)
		next.BusyUntil = maps.Clone(s.busy)
		next.LastUnreachable = maps.Clone(s.unreachable)
	}
	s.changed = parts{}
	return next
}
