package mangofleet

import (
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangotraffic"
)

type waiter struct {
	lease  LeaseID
	demand Demand
	// since, onTimeUntil and patience are the demand's durations as times.
	since, onTimeUntil, patience time.Time
	reply                        mangoloop.Reply
}

// state is the control state. Only the control goroutine touches it.
type state struct {
	self     Self
	routing  *mangotraffic.Routing
	draining bool
	backends map[mangomodel.ServerID]*backend
	leases   map[LeaseID]*lease
	granted  mangoquery.Index[LeaseID, Lease]
	queue    []*waiter
	retries  Retries
	work     map[mangotraffic.ServiceName]*meanWork
	budgets  map[mangotraffic.ServiceName]*mangobudget.Budget
	// usages is what the other daemon lives have used of the budgets.
	usages map[mangomodel.Holder]peerUsage
	// allowances is what each daemon life may use; it is copied when changed.
	allowances map[mangomodel.Holder]Allowances
	peers      map[mangomodel.DaemonID]*peer
	suspects   suspects
	listRead   time.Time
	// listCursor and routingCursor are the positions that were read, and
	// journal the last changes of the list; it is copied when changed.
	listCursor, routingCursor mangotraffic.Cursor
	journal                   []ListChange
	// journalBase is the position before the first change of the journal.
	journalBase mangotraffic.Cursor
	changed     parts
	// actedAt is when a renewal last came, and actingSince when the first came
	// after a time without: this daemon became a scheduler then.
	actedAt, actingSince time.Time
	// membersAt is when the members were published.
	membersAt time.Time
}

// parts marks parts of the published view that are out of date.
type parts struct{ list, members, crashes, usage bool }

// membersInterval is how often it is looked at who is alive: often against
// aliveTime, seldom against the exchanges of a large fleet.
const membersInterval = 100 * time.Millisecond

func newState(self Self, retries Retries) *state {
	return &state{
		self:       self,
		backends:   make(map[mangomodel.ServerID]*backend),
		leases:     make(map[LeaseID]*lease),
		retries:    retries,
		work:       make(map[mangotraffic.ServiceName]*meanWork),
		budgets:    make(map[mangotraffic.ServiceName]*mangobudget.Budget),
		usages:     make(map[mangomodel.Holder]peerUsage),
		allowances: make(map[mangomodel.Holder]Allowances),
		peers:      make(map[mangomodel.DaemonID]*peer),
		suspects:   newSuspects(),
		changed:    parts{list: true, members: true},
	}
}

// Tick does what is due.
func (s *state) Tick(now time.Time) {
	s.expireEntries(now)
	s.expireHolders(now)
	s.serveQueue(now)
}

// NextDue returns when Tick has to be called again.
func (s *state) NextDue() (time.Time, bool) {
	var due time.Time
	for _, b := range s.backends {
		due = earliest(due, b.goneAt)
	}
	for _, w := range s.queue {
		due = earliest(due, w.patience)
	}
	if len(s.queue) > 0 {
		due = earliest(due, time.Now().Add(queueInterval))
	}
	if len(s.leases) > 0 {
		due = earliest(due, time.Now().Add(holderTimeout))
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
		Routing: s.routing, Draining: s.draining, Waiting: len(s.queue), Leases: len(s.leases),
		ListRead: s.listRead, granted: s.granted, allowances: s.allowances,
		ListCursor: s.listCursor, RoutingCursor: s.routingCursor, journal: s.journal, journalBase: s.journalBase, self: s.self.Holder.Daemon,
	}
	if last != nil {
		v.Listed, v.Members, v.schedulers, v.crashes = last.Listed, last.Members, last.schedulers, last.crashes
		v.moves = last.moves
		v.Usages = last.Usages
	}
	if s.changed.list {
		v.Listed = s.listed()
		s.changed.members = true
	}
	if s.changed.crashes {
		v.crashes = s.suspects.list(now)
	}
	if s.changed.usage {
		v.Usages = s.usage(now)
	}
	s.changed.list, s.changed.crashes, s.changed.usage = false, false, false
	if s.changed.members || now.Sub(s.membersAt) >= membersInterval {
		v.Members, v.schedulers, v.moves = s.members(now), s.schedulers(now), s.movesOf(now)
		s.changed.members, s.membersAt = false, now
	}
	return v
}

func (s *state) listed() map[mangomodel.ServerID]mangotraffic.Server {
	list := make(map[mangomodel.ServerID]mangotraffic.Server, len(s.backends))
	for id, b := range s.backends {
		list[id] = b.server
	}
	return list
}

func (s *state) service(name mangotraffic.ServiceName) (*mangotraffic.Service, bool) {
	if s.routing == nil {
		return nil, false
	}
	return s.routing.Service(name)
}
