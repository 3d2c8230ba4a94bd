package mangofleet

import (
	"context"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Announced records what a server has announced in an answer to this daemon. It
// returns once the published view has it.
func (f *Fleet) Announced(a mangolease.Announcement) {
	if w, ok := f.View().withdrawn[a.Server.ID]; ok && w.Own && w.Server.Same(a.Server) {
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
		s.announced++
		s.withdrawServer(a.Server, a.Request, "", now)
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
	if s.pool.Withdraw(ref, from == "", now) {
		s.observer.ServerWithdrawn(ref, request, from)
	}
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
