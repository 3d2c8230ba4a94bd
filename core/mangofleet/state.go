package mangofleet

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangohealth"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangotraffic"
)

// member is one backend server as this daemon believes it to be.
type member struct {
	server mangotraffic.Server
	// running, memory and prefills are what this daemon uses.
	running  int
	memory   mangomodel.Tokens
	prefills mangomodel.Tokens
	// peers is what the other daemons use.
	peers map[mangomodel.DaemonID]peerLoad
	// fullUntil is set when the server had no room although the counts said
	// so.
	fullUntil time.Time
	health    mangohealth.Record
	// goneAt is when an entry that vanished during an outage of the list
	// counts as gone.
	goneAt time.Time
}

type peerLoad struct {
	load ServerLoad
	at   time.Time
}

type lease struct {
	demand  Demand
	server  mangomodel.ServerID
	prefill mangomodel.ServerID
}

type waiter struct {
	lease  LeaseID
	demand Demand
	reply  mangoloop.Reply
}

// state is the control state. Only the control goroutine touches it.
type state struct {
	self     Self
	routing  *mangotraffic.Routing
	draining bool
	servers  map[mangomodel.ServerID]*member
	leases   map[LeaseID]*lease
	granted  mangoquery.Index[LeaseID, Lease]
	queue    []*waiter
	limits   mangobudget.Limits
	daemons  map[mangomodel.DaemonID]time.Time
	budgets  map[mangotraffic.ServiceName]*mangobudget.Budget
	suspects suspects
	listRead time.Time
	// loadChanged says that the published load is out of date.
	loadChanged bool
}

func newState(self Self, limits mangobudget.Limits) *state {
	return &state{
		self:     self,
		servers:  make(map[mangomodel.ServerID]*member),
		leases:   make(map[LeaseID]*lease),
		limits:   limits,
		daemons:  make(map[mangomodel.DaemonID]time.Time),
		budgets:  make(map[mangotraffic.ServiceName]*mangobudget.Budget),
		suspects: newSuspects(),
	}
}

// Tick refuses demands whose patience has ended and serves those that became
// possible.
func (s *state) Tick(now time.Time) {
	s.expireEntries(now)
	s.serveQueue(now)
}

// NextDue returns when the queue has to be looked at again.
func (s *state) NextDue() (time.Time, bool) {
	var due time.Time
	for _, w := range s.queue {
		due = earliest(due, w.demand.Patience)
	}
	for _, m := range s.servers {
		due = earliest(due, m.goneAt)
		if len(s.queue) > 0 {
			due = earliest(due, m.fullUntil)
		}
	}
	if len(s.queue) > 0 {
		due = earliest(due, time.Now().Add(queueInterval))
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
func (s *state) View(last *View, _ time.Time) *View {
	v := &View{
		Routing: s.routing, Draining: s.draining, Servers: len(s.servers),
		Waiting: len(s.queue), Leases: len(s.leases), ListRead: s.listRead, leases: s.granted,
	}
	if last != nil && !s.loadChanged {
		v.load = last.load
		return v
	}
	s.loadChanged = false
	v.load = s.load()
	return v
}

func (s *state) load() []ServerLoad {
	var list []ServerLoad
	for id, m := range s.servers {
		if m.running > 0 || m.prefills > 0 {
			list = append(list, ServerLoad{Server: id, Running: m.running, Memory: m.memory, PrefillBacklog: m.prefills})
		}
	}
	slices.SortFunc(list, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

func (s *state) service(name mangotraffic.ServiceName) (*mangotraffic.Service, bool) {
	if s.routing == nil {
		return nil, false
	}
	return s.routing.Service(name)
}

// budget returns the retry budget of a service at this daemon.
func (s *state) budget(name mangotraffic.ServiceName) *mangobudget.Budget {
	b, ok := s.budgets[name]
	if !ok {
		b = mangobudget.New(s.limits)
		s.budgets[name] = b
	}
	return b
}
