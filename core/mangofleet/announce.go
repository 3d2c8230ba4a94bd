package mangofleet

import (
	"context"
	"slices"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// Announced records what a server has announced in an answer to this daemon. It
// returns once the published view has it.
func (f *Fleet) Announced(a mangolease.Announcement) {
	w, ok := f.View().withdrawn[a.Server.ID]
	if ok && w.Own && w.Server.Same(a.Server) && a.Backoff == 0 && a.Invalid == nil {
		return
	}
	// This fails only after the loop has ended.
	_ = f.Do(context.Background(), Announce{a})
}

// Announce records what a server has announced in an answer to this daemon.
type Announce struct{ Announcement mangolease.Announcement }

// Apply implements [Command].
func (c Announce) Apply(s *state, now time.Time) error {
	a := c.Announcement
	if a.Leaving {
		s.withdrawServer(a.Server, a.Request, "", now)
	}
	if a.Backoff > 0 || a.Invalid != nil {
		s.observer.BackoffAsked(a)
	}
	if a.Backoff > 0 {
		s.changed.backoffs = true
		if s.pool.BackOff(a.Server, a.Backoff, now) {
			s.announced++
		}
	}
	return nil
}

// Withdraw records that servers have announced to other daemons that they leave.
type Withdraw struct {
	Servers []mangotraffic.ServerRef
	// From is the daemon that reported it.
	From mangomodel.PeerName
}

// Apply implements [Command].
func (c Withdraw) Apply(s *state, now time.Time) error {
	for _, ref := range c.Servers {
		s.withdrawServer(ref, "", c.From, now)
	}
	return nil
}

// withdrawServer records that a server has announced to this daemon, or to the daemon from,
// that it leaves.
func (s *state) withdrawServer(ref mangotraffic.ServerRef, request mangomodel.RequestID, from mangomodel.PeerName, now time.Time) {
	own := from == ""
	if !s.pool.Withdraw(ref, own, now) {
		return
	}
	if own {
		s.announced++
	}
	s.observer.ServerWithdrawn(ref, request, from)
}

// prospects holds the prospects of demands that do not differ in what they need.
type prospects map[prospectKey]mangopool.Prospect

type prospectKey struct {
	service    mangotraffic.ServiceName
	generation bool
	prefilled  bool
	// holder is empty for all daemons that no server has asked for time.
	holder mangomodel.Holder
}

// prospect returns the prospect of a demand.
func (s *state) prospect(w *waiter, known prospects, now time.Time) mangopool.Prospect {
	if len(w.Demand.Avoid) > 0 || w.Demand.Bound {
		return s.pool.Prospect(w.PendingDemand, now)
	}
	key := prospectKey{service: w.Demand.Service, generation: w.Demand.Generation != nil, prefilled: w.Demand.Prefilled}
	if s.pool.BacksOff(w.Lease.Holder, now) {
		key.holder = w.Lease.Holder
	}
	x, ok := known[key]
	if !ok {
		x = s.pool.Prospect(w.PendingDemand, now)
		known[key] = x
	}
	return x
}

// futile returns the fault of a demand for servers that all leave or have asked for more
// time than the demand may wait, or nil. A stream that has begun is held, since its
// client cannot return, unless its build has no server: the end of that wait is not known.
func (s *state) futile(w *waiter, known prospects, now time.Time) error {
	if s.pool.LacksBuild(&w.Demand) {
		return refused(mangomodel.CodeCannotResume, "no server of %s has the build %q that began the stream: %s",
			w.Demand.Service, w.Demand.Build, s.pool.Explain(w.PendingDemand, now))
	}
	if w.Demand.Begun {
		return nil
	}
	x := s.prospect(w, known, now)
	if x.Leaving {
		return refused(mangomodel.CodeOverloaded, "all servers of %s are leaving: %s", w.Demand.Service, s.pool.Explain(w.PendingDemand, now))
	}
	if !x.BackoffEnds.After(w.Deadline) {
		return nil
	}
	f := refused(mangomodel.CodeOverloaded, "all servers of %s have asked for time: %s", w.Demand.Service, s.pool.Explain(w.PendingDemand, now))
	f.RetryAfter = mangobackoff.ReturnAfter(x.BackoffEnds.Sub(now), w.Lease.Number)
	return f
}

// Withdrawals returns the servers that have announced that they leave and that the
// list still names as ready: all known ones, or only those that announced it to this
// daemon.
func (v *View) Withdrawals(own bool) []mangotraffic.ServerRef {
	var list []mangotraffic.ServerRef
	for _, w := range v.unconfirmed {
		if w.Own || !own {
			list = append(list, w.Server)
		}
	}
	return list
}

// HasWithdrawn reports whether this daemon has recorded the withdrawal of all servers
// of a list, or a later incarnation of them.
func (v *View) HasWithdrawn(list []mangotraffic.ServerRef) bool {
	return !slices.ContainsFunc(list, func(ref mangotraffic.ServerRef) bool {
		if server, ok := v.Listed[ref.ID]; ok && server.Ref().After(ref) {
			return false
		}
		w, ok := v.withdrawn[ref.ID]
		return !ok || ref.After(w.Server)
	})
}

// Backoff returns for how much longer a server wants nothing from this daemon; zero if it
// has not asked for that.
func (v *View) Backoff(id mangomodel.ServerID, now time.Time) time.Duration {
	return max(v.backoffs[id].Until.Sub(now), 0)
}

// Backoffs returns the servers that want nothing from this daemon for some time.
func (v *View) Backoffs(now time.Time) []mangobackoff.Entry {
	var list []mangobackoff.Entry
	for _, end := range v.backoffs {
		if now.Before(end.Until) {
			list = append(list, mangobackoff.Entry{Server: end.Server, For: end.Until.Sub(now)})
		}
	}
	return list
}
