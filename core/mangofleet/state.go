package mangofleet

import (
	"maps"
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
	budgets  map[mangotraffic.ServiceName]*mangobudget.Budget
	peers    map[mangomodel.DaemonID]*peer
	suspects suspects
	listRead time.Time
	changed  parts
}

// parts marks parts of the published view that are out of date.
type parts struct{ list, members, crashes bool }

func newState(self Self, retries Retries) *state {
	return &state{
		self:     self,
		backends: make(map[mangomodel.ServerID]*backend),
		leases:   make(map[LeaseID]*lease),
		retries:  retries,
		budgets:  make(map[mangotraffic.ServiceName]*mangobudget.Budget),
		peers:    make(map[mangomodel.DaemonID]*peer),
		suspects: newSuspects(),
		changed:  parts{list: true, members: true},
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
		ListRead: s.listRead, granted: s.granted,
	}
	if last != nil {
		v.Listed, v.Members, v.schedulers, v.crashes = last.Listed, last.Members, last.schedulers, last.crashes
	}
	if s.changed.list {
		v.Listed = s.listed()
	}
	if s.changed.members || s.changed.list {
		v.Members = s.sightings(now)
		v.schedulers = s.schedulers(now)
	}
	if s.changed.crashes {
		v.crashes = s.suspects.list(now)
	}
	s.changed = parts{}
	return v
}

func (s *state) listed() []mangotraffic.Server {
	list := make([]mangotraffic.Server, 0, len(s.backends))
	for b := range maps.Values(s.backends) {
		list = append(list, b.server)
	}
	return list
}

func (s *state) service(name mangotraffic.ServiceName) (*mangotraffic.Service, bool) {
	if s.routing == nil {
		return nil, false
	}
	return s.routing.Service(name)
}

// budget returns the retry budget of a service at this daemon.
func (s *state) budget(name mangotraffic.ServiceName, now time.Time) *mangobudget.Budget {
	limits := s.retries(s.alive(now))
	b, ok := s.budgets[name]
	if !ok {
		b = mangobudget.New(limits)
		s.budgets[name] = b
	}
	b.Limit(limits)
	return b
}
