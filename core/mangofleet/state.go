package mangofleet

import (
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangojournal"
	"mangolane/core/mangolease"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// waiter is a demand that waits for its answer.
type waiter struct {
	*mangolease.PendingDemand
	reply mangoloop.Reply
}

// state is the control state. Only the control goroutine touches it.
type state struct {
	self     Self
	observer Observer
	routing  *mangotraffic.Routing
	draining bool
	pool     *mangopool.Pool
	queue    []*waiter
	retries  *mangobudget.Ledger
	// allowances is what each daemon life may use; it is copied when changed.
	allowances map[mangomodel.Holder]mangobudget.Allowances
	roster     *mangoroster.Roster
	suspects   *mangocrash.Suspects
	listRead   time.Time
	// listCursor and routingCursor are the positions that were read, and
	// journal the last changes of the list.
	listCursor, routingCursor mangotraffic.Cursor
	journal                   mangojournal.Journal
	changed                   parts
	// actedAt is when a renewal last came, and actingSince when the first came
	// after a time without: this daemon became a scheduler then.
	actedAt, actingSince time.Time
	// membersAt is when the members were published.
	membersAt time.Time
}

// parts marks parts of the published view that are out of date.
type parts struct{ members, crashes, usage bool }

// membersInterval is how often it is looked at who is alive: often against
// aliveTime, seldom against the exchanges of a large fleet.
const membersInterval = 100 * time.Millisecond

func newState(self Self, retries Retries) *state {
	return &state{
		self:       self,
		observer:   silent{},
		pool:       mangopool.New(self.Holder, self.Regions),
		retries:    mangobudget.NewLedger(self.Holder, retries),
		allowances: make(map[mangomodel.Holder]mangobudget.Allowances),
		roster:     mangoroster.New(self.Holder.Daemon, self.Regions),
		suspects:   mangocrash.New(),
		changed:    parts{members: true},
	}
}

// Tick does what is due.
func (s *state) Tick(now time.Time) {
	s.pool.ExpireEntries(now)
	s.pool.ExpireHolders(now)
	s.serveQueue(now)
}

// NextDue returns when Tick has to be called again.
func (s *state) NextDue() (time.Time, bool) {
	due := s.pool.NextDue()
	for _, w := range s.queue {
		due = earliest(due, w.Deadline)
	}
	if len(s.queue) > 0 {
		due = earliest(due, time.Now().Add(queueInterval))
	}
	if s.pool.Leases() > 0 {
		due = earliest(due, time.Now().Add(mangopool.HolderTimeout))
	}
	return due, !due.IsZero()
}

// earliest returns the earlier of two times; the zero time is none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// View publishes the state.
func (s *state) View(last *View, now time.Time) *View {
	v := &View{
		Routing: s.routing, Draining: s.draining, Waiting: len(s.queue), Leases: s.pool.Leases(),
		ListRead: s.listRead, granted: s.pool.Granted(), allowances: s.allowances,
		ListCursor: s.listCursor, RoutingCursor: s.routingCursor, journal: s.journal, self: s.self.Holder.Daemon,
	}
	if last != nil {
		v.Listed, v.Members, v.schedulers, v.crashes = last.Listed, last.Members, last.schedulers, last.crashes
		v.expired = last.expired
		v.stageChanges, v.reader = last.stageChanges, last.reader
		v.Usages = last.Usages
	}
	if list, ok := s.pool.Listed(); ok {
		v.Listed, v.expired = list.Servers, list.Expired
		s.changed.members = true
	}
	if s.changed.crashes {
		v.crashes = s.suspects.Recent(now)
	}
	if s.changed.usage {
		v.Usages = s.retries.Usage(now)
	}
	s.changed.crashes, s.changed.usage = false, false
	if s.changed.members || now.Sub(s.membersAt) >= membersInterval {
		me := s.me(now)
		v.Members, v.stageChanges = s.roster.Members(me, now), s.pool.StageChanges(now)
		v.schedulers = s.roster.Schedulers(me, s.pool.PerRegion(), now)
		v.reader = s.roster.DefaultScheduler(me, now)
		s.changed.members, s.membersAt = false, now
	}
	return v
}

func (s *state) service(name mangotraffic.ServiceName) (*mangotraffic.Service, bool) {
	if s.routing == nil {
		return nil, false
	}
	return s.routing.Service(name)
}
