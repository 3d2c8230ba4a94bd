package mangofleet

import (
	"slices"
	"time"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutage"
	"mangolane/core/mangotraffic"
)

// withoutDeparted returns the entries of a whole list that are used at once. In the first
// list of an era the store has come back from an older copy, which may name servers that
// have left since.
func (s *state) withoutDeparted(c ChangeServers, now time.Time) []mangotraffic.ServerChange {
	if c.Cursor.Era > s.listCursor.Era && !s.listCursor.IsZero() {
		s.observer.StoreRestored(s.listCursor, c.Cursor)
		return s.judged(c.Changes, now)
	}
	listed := make(map[mangomodel.ServerID]*mangotraffic.Server, len(c.Changes))
	for _, change := range c.Changes {
		listed[change.ID] = change.Server
	}
	deferred := s.departures.Keep(listed, now)
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

// graceOfMissing returns how long a server is still used that a whole list lacks. A copy of
// the store lacks the entries that were written after it: such an entry is as one that was
// lost in an outage. One that the copy has was removed since.
func (s *state) graceOfMissing(id mangomodel.ServerID, c ChangeServers, now time.Time) time.Duration {
	grace := s.outages.Grace(now)
	if server, ok := s.pool.Server(id); ok && c.Cursor.Era > s.listCursor.Era && server.Written.Position > c.Cursor.Position {
		grace = max(grace, mangooutage.RelistTime-c.Age)
	}
	return grace
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
