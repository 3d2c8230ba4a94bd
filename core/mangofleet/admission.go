package mangofleet

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoqueue"
	"mangolane/core/mangoshare"
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
	w := &waiter{PendingDemand: mangolease.NewPendingDemand(c.Lease, c.Demand, time.Now()), reply: r}
	s.share(w, time.Now())
	s.queue = append(s.queue, w)
}

// Apply serves the queue, which Await has added the demand to. It removes and
// refuses a demand for an unconfigured service, beyond the queue's limit, or with a part
// that another call probes.
func (c Acquire) Apply(s *state, now time.Time) error {
	if _, ok := s.service(c.Demand.Service); !ok {
		s.withdraw(c.Lease)
		return refused(mangomodel.CodeUnavailable, "service %s is not configured", c.Demand.Service)
	}
	if err := s.admitProbe(&c.Demand, now); err != nil {
		s.withdraw(c.Lease)
		return err
	}
	if len(s.queue) > maxQueue {
		s.withdraw(c.Lease)
		return refused(mangomodel.CodeOverloaded, "queue full: %d demands are waiting", maxQueue)
	}
	if !c.Demand.Standby {
		s.pool.RecordDemand(&c.Demand)
		s.flow(c.Demand.Service).Arrived(now)
		s.shares.Arrived(s.ranked(c.Demand), now)
	}
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

// serveQueue grants queued demands in order. It refuses those whose deadline has
// passed, that no server takes in time or that must not be sent any more, and new ones
// that are predicted to wait beyond theirs. Once a demand that excludes no server remains
// queued, later demands for the same service are not tried, or only those that are bound to
// a build, if servers are held for these.
func (s *state) serveQueue(now time.Time) {
	mangoshare.Sort(s.shares, s.queue, now)
	blocked, onlyBound := make(map[mangotraffic.ServiceName]bool), make(map[mangotraffic.ServiceName]bool)
	waiting := make(map[mangotraffic.ServiceName]int)
	known := make(prospects)
	kept := s.queue[:0]
	for _, w := range s.queue {
		name := w.Demand.Service
		if err := cmp.Or(s.admitCall(&w.Demand, now), s.admitParts(w.Demand.Parts, now)); err != nil {
			w.reply.Send(err)
			continue
		}
		tried := !blocked[name] && (w.Demand.Bound || !onlyBound[name])
		if tried && s.grant(w, now) {
			s.flow(name).Granted(now)
			s.shares.Granted(w.PendingDemand, now)
			w.reply.Send(nil)
			continue
		}
		s.pool.RecordBoundWait(w.PendingDemand, now)
		if err := s.refusal(w, known, waiting[name], now); err != nil {
			s.told(w, err, now)
			w.reply.Send(err)
			continue
		}
		s.pool.RecordWait(name, now)
		switch {
		case !tried || s.pool.Excludes(w.PendingDemand, now):
		case s.pool.Yields(w.PendingDemand, now):
			onlyBound[name] = true
		default:
			blocked[name] = true
		}
		waiting[name]++
		kept = append(kept, w)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	for name, flow := range s.flows {
		flow.SetWaiting(waiting[name] > 0, now)
	}
}

// refusal returns the fault of a demand that is not to wait, with others before it,
// or nil. Waits are predicted for new demands only, and not for one that is bound to one of
// several builds: most of those before it wait for other servers.
func (s *state) refusal(w *waiter, known prospects, ahead int, now time.Time) error {
	flow, arrived := s.flow(w.Demand.Service), !w.queued
	w.queued = true
	if err := s.futile(w, known, now); err != nil {
		return err
	}
	limit := w.Deadline.Sub(now)
	var f *mangomodel.Fault
	if limit <= 0 {
		f = refused(mangomodel.CodeOverloaded, "no server of %s had room for %v%s: %s",
			w.Demand.Service, now.Sub(w.ArrivedAt).Round(time.Millisecond), explainShare(w), s.pool.Explain(w.PendingDemand, now))
	} else if wait, ok := flow.Hopeless(ahead, limit, now); ok && arrived && !s.pool.HasOtherBuild(&w.Demand) {
		f = refused(mangomodel.CodeOverloaded, "%d demands before it wait for servers of %s, predicted wait %v, limit %v%s: %s",
			ahead, w.Demand.Service, wait.Round(time.Millisecond), limit.Round(time.Millisecond), explainShare(w), s.pool.Explain(w.PendingDemand, now))
	} else {
		return nil
	}
	if !w.Demand.Standby {
		f.RetryAfter = flow.ReturnAfter(ahead, now)
	}
	return f
}

// flow returns the measured flow of a service's demands.
func (s *state) flow(name mangotraffic.ServiceName) *mangoqueue.Flow {
	f, ok := s.flows[name]
	if !ok {
		f = &mangoqueue.Flow{}
		s.flows[name] = f
	}
	return f
}

// grant leases servers for a demand. Engines are leased only while renewals
// report which leases the other daemons hold, or if no other daemon is recorded.
func (s *state) grant(w *waiter, now time.Time) bool {
	if w.Demand.Generation != nil && !s.canGrant(now) {
		return false
	}
	if !s.pool.Grant(w.PendingDemand, now) {
		return false
	}
	s.grantedProbe(w, now)
	return true
}

func refused(code mangomodel.Code, format string, args ...any) *mangomodel.Fault {
	return mangomodel.Faultf(mangomodel.StepAdmission, "", code, mangomodel.RunNot, format, args...)
}
