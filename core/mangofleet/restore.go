package mangofleet

import (
	"slices"
	"time"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// withoutDeparted returns the entries of a whole list that are used at once. In the first
// list of an era, which was read at a time, the store has come back from an older copy: it
// may name servers that have left since, and lack live ones.
func (s *state) withoutDeparted(c ChangeServers, read, now time.Time) []mangotraffic.ServerChange {
	if c.Cursor.Era > s.listCursor.Era && !s.listCursor.IsZero() {
		s.observer.StoreRestored(s.listCursor, c.Cursor)
		s.outages.Restored(read)
		return s.judged(c.Changes, now)
	}
	listed := make(map[mangomodel.ServerID]*mangotraffic.Server, len(c.Changes))
	for _, change := range c.Changes {
		listed[change.ID] = change.Server
	}
	deferred := s.departures.Keep(listed)
	if len(deferred) == 0 {
		return c.Changes
	}
	return slices.DeleteFunc(slices.Clone(c.Changes), func(c mangotraffic.ServerChange) bool { return deferred[c.ID] })
}

// judged returns the entries of an older copy that are used at once.
func (s *state) judged(changes []mangotraffic.ServerChange, now time.Time) []mangotraffic.ServerChange {
	s.departures.Restored()
	for _, ref := range s.pool.LeavingServers() {
		s.withdrawServer(ref, "", Platform, now)
	}
	return slices.DeleteFunc(slices.Clone(changes), func(c mangotraffic.ServerChange) bool {
		if c.Server == nil {
			return false
		}
		switch s.departures.Judge(c.Server, now) {
		case mangodeparture.VerdictDefer:
			s.observer.EntryDeferred(c.Server.Ref(), mangodeparture.ConfirmTime)
			return true
		case mangodeparture.VerdictWithdraw:
			s.withdrawServer(c.Server.Ref(), "", Platform, now)
		}
		return false
	})
}

// removing records that a server is removed, unless it is in use for a grace first.
func (s *state) removing(id mangomodel.ServerID, grace time.Duration, now time.Time) {
	if server, ok := s.pool.Server(id); ok && (grace <= 0 || server.State == mangotraffic.StateLeaving) {
		s.departures.Left(&server, now)
	}
}

// removeExpired removes the servers whose grace has ended, and lists those whose deferred
// entries the store has not removed.
func (s *state) removeExpired(now time.Time) {
	for _, server := range s.pool.RemoveExpired(now) {
		s.departures.Left(&server, now)
	}
	for _, server := range s.departures.Confirmed(now) {
		s.pool.PutServer(server)
	}
}
