package mangofleet

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// queueInterval is how often queued demands are tried again without another
	// event, since running generations end and grow in the meantime.
	queueInterval = 20 * time.Millisecond
	// maxQueue limits the queued demands of one daemon. At a few hundred bytes
	// each they take less than a megabyte.
	maxQueue = 2000
)

// Acquire requests servers. [Fleet.Do] returns nil once they are granted, and a
// fault with [mangomodel.RunNot] if the demand's deadline passes first.
type Acquire struct {
	Lease  mangolease.ID
	Demand mangolease.Demand
}

// Await queues the demand with its reply, which is sent once the demand is granted
// or refused.
func (c Acquire) Await(s *state, r mangoloop.Reply) {
	s.queue = append(s.queue, &waiter{PendingDemand: mangolease.NewPendingDemand(c.Lease, c.Demand, time.Now()), reply: r})
}

// Apply serves the queue, which Await has added the demand to. It removes and
// refuses a demand for an unconfigured service or beyond the queue's limit.
func (c Acquire) Apply(s *state, now time.Time) error {
	if _, ok := s.service(c.Demand.Service); !ok {
		s.withdraw(c.Lease)
		return refused(mangomodel.CodeUnavailable, "service %s is not configured", c.Demand.Service)
	}
	if len(s.queue) > maxQueue {
		s.withdraw(c.Lease)
		return refused(mangomodel.CodeOverloaded, "queue full: %d demands are waiting", maxQueue)
	}
	s.pool.RecordDemand(&c.Demand)
	s.serveQueue(now)
	return nil
}

// Release returns a lease, or withdraws its queued demand.
type Release struct {
	Lease mangolease.ID
	// Seen holds the observations of the holder's exchanges with servers.
	Seen []mangolease.Observation
}

// Apply implements [Command].
func (c Release) Apply(s *state, now time.Time) error {
	s.withdraw(c.Lease)
	s.pool.Release(c.Lease, now)
	for _, o := range c.Seen {
		s.observe(o, now)
	}
	s.serveQueue(now)
	return nil
}

func (s *state) withdraw(id mangolease.ID) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool { return w.Lease == id })
}

// serveQueue grants queued demands in order and refuses those whose deadline has
// passed. Once a demand that excludes no server remains queued, later demands for
// the same service are not tried.
func (s *state) serveQueue(now time.Time) {
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, func(a, b *waiter) int { return compareWaiters(a, b, now) })
	blocked := make(map[mangotraffic.ServiceName]bool)
	kept := s.queue[:0]
	for _, w := range s.queue {
		switch {
		case !blocked[w.Demand.Service] && s.grant(w, now):
			w.reply.Send(nil)
		case !now.Before(w.Deadline):
			w.reply.Send(refused(mangomodel.CodeOverloaded, "no server of %s had room for %v: %s",
				w.Demand.Service, now.Sub(w.ArrivedAt).Round(time.Millisecond), s.pool.Explain(w.PendingDemand, now)))
		default:
			s.pool.RecordWait(w.Demand.Service, now)
			blocked[w.Demand.Service] = blocked[w.Demand.Service] || len(w.Demand.Avoid) == 0
			kept = append(kept, w)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// compareWaiters orders demands with a computed KV cache first, since the cache
// expires soon; then demands that can still meet their target; then by priority
// and by age.
func compareWaiters(a, b *waiter, now time.Time) int {
	return cmp.Or(
		cmp.Compare(unprefilled(a), unprefilled(b)),
		cmp.Compare(lateness(a, now), lateness(b, now)),
		cmp.Compare(a.Demand.Priority, b.Demand.Priority),
		a.ArrivedAt.Compare(b.ArrivedAt),
	)
}

func unprefilled(w *waiter) int {
	if w.Demand.Prefilled {
		return 0
	}
	return 1
}

func lateness(w *waiter, now time.Time) int {
	if w.Late(now) {
		return 1
	}
	return 0
}

// grant leases servers for a demand. Engines are leased only while renewals
// report which leases the other daemons hold, or if no other daemon is recorded.
func (s *state) grant(w *waiter, now time.Time) bool {
	if w.Demand.Generation != nil && !s.canGrant(now) {
		return false
	}
	return s.pool.Grant(w.PendingDemand, now)
}

func refused(code mangomodel.Code, format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, "", code, mangomodel.RunNot, format, args...)
}
