package mangofleet

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// queueInterval is how often waiting demands are tried again when nothing
	// else happens: generations end and grow meanwhile.
	queueInterval = 20 * time.Millisecond
	// maxQueue bounds the waiting demands of one daemon. At a few hundred
	// bytes each they take under a megabyte.
	maxQueue = 2000
)

// Acquire asks for servers. It is answered with nil once they are granted,
// and with a fault that says "not run" when the demand's patience ends.
type Acquire struct {
	Lease  LeaseID
	Demand Demand
}

// Await keeps the reply until the demand is decided.
func (c Acquire) Await(s *state, r mangoloop.Reply) {
	now := time.Now()
	s.queue = append(s.queue, &waiter{
		lease: c.Lease, demand: c.Demand, reply: r, since: now.Add(-c.Demand.Age),
		onTimeUntil: now.Add(c.Demand.OnTimeFor), patience: now.Add(c.Demand.Patience),
	})
}

// Apply queues the demand and serves it if possible.
func (c Acquire) Apply(s *state, now time.Time) error {
	if _, ok := s.service(c.Demand.Service); !ok {
		s.withdraw(c.Lease)
		return refused(mangomodel.CodeUnavailable, "service %s is not configured", c.Demand.Service)
	}
	if len(s.queue) > maxQueue {
		s.withdraw(c.Lease)
		return refused(mangomodel.CodeOverloaded, "%d demands wait already", maxQueue)
	}
	if c.Demand.Generation != nil {
		s.workOf(c.Demand.Service).learn(c.Demand.Generation)
	}
	s.serveQueue(now)
	return nil
}

// Release gives a lease back, or withdraws its demand.
type Release struct {
	Lease LeaseID
	// Seen is what the holder's exchanges have shown.
	Seen []Observe
}

// Apply applies the command.
func (c Release) Apply(s *state, now time.Time) error {
	s.withdraw(c.Lease)
	s.release(c.Lease, now)
	for _, o := range c.Seen {
		s.observe(o, now)
	}
	s.serveQueue(now)
	return nil
}

func (s *state) withdraw(id LeaseID) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool { return w.lease == id })
}

func (s *state) release(id LeaseID, now time.Time) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	s.releasePrefill(id, l)
	if b, ok := s.backends[l.server]; ok {
		delete(b.runs, id)
		b.remember(l, now)
	}
	delete(s.leases, id)
	s.granted = s.granted.Without(id)
}

func (s *state) releasePrefill(id LeaseID, l *lease) {
	if b, ok := s.backends[l.prefill]; ok {
		delete(b.prefills, id)
	}
	l.prefill = ""
}

// serveQueue grants what can be granted, in order, and refuses what has
// waited too long. A service that has no room for one demand is not tried for
// those behind it.
func (s *state) serveQueue(now time.Time) {
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, func(a, b *waiter) int { return compareWaiters(a, b, now) })
	blocked := make(map[mangotraffic.ServiceName]bool)
	kept := s.queue[:0]
	for _, w := range s.queue {
		switch {
		case !blocked[w.demand.Service] && s.grant(w, now):
			w.reply.Answer(nil)
		case !now.Before(w.patience):
			w.reply.Answer(refused(mangomodel.CodeOverloaded, "no server of %s had room for %v: %s",
				w.demand.Service, now.Sub(w.since).Round(time.Millisecond), s.explain(w, now)))
		default:
			s.workOf(w.demand.Service).waitedAt = now
			blocked[w.demand.Service] = blocked[w.demand.Service] || len(w.demand.Avoid) == 0
			kept = append(kept, w)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// compareWaiters orders demands that can still be on time before those that
// cannot, then by priority, then by age.
func compareWaiters(a, b *waiter, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.lateness(now), b.lateness(now)),
		cmp.Compare(a.demand.Priority, b.demand.Priority),
		a.since.Compare(b.since),
	)
}

// lateness is 0 for a demand that can still meet its target and 1 for others.
func (w *waiter) lateness(now time.Time) int {
	if now.After(w.onTimeUntil) {
		return 1
	}
	return 0
}

// grant leases the best servers for a demand, if there are any.
func (s *state) grant(w *waiter, now time.Time) bool {
	place, ok := s.place(w, now)
	if !ok {
		return false
	}
	l := &lease{demand: w.demand, server: place.server.server.ID, since: now, seen: now}
	granted := Lease{
		Server: place.server.server, Waited: now.Sub(w.since),
		Scheduler: s.self.Holder.Daemon, Running: len(place.server.runs), Free: place.server.free(now), Peak: place.peak,
	}
	place.server.runs[w.lease] = l
	if place.prefill != nil {
		l.prefill = place.prefill.server.ID
		place.prefill.prefills[w.lease] = l
		server := place.prefill.server
		granted.Prefill = &server
	}
	s.leases[w.lease] = l
	s.granted = s.granted.With(w.lease, granted)
	return true
}

func refused(code mangomodel.Code, format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, "", code, mangomodel.RunNot, format, args...)
}
