package mangofleet

import (
	"slices"
	"time"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutage"
	"mangolane/core/mangotraffic"
)

// isRestored reports whether a position is of a later era than the one reached: the store has
// come back from an older copy since.
func (s *state) isRestored(cursor mangotraffic.Cursor) bool {
	return cursor.Era > s.listCursor.Era && !s.listCursor.IsZero()
}

// judgeCopy defers the entries of the first list of an era whose servers have left since the
// copy, or restarted, and withdraws those that had announced that they leave.
func (s *state) judgeCopy(changes []mangotraffic.ServerChange, now time.Time) {
	for _, ref := range s.pool.LeavingServers() {
		s.withdrawServer(ref, "", Platform, now)
	}
	for _, c := range changes {
		switch {
		case c.Server == nil:
		case s.isSuperseded(c.Server, now):
			s.supersede(c.Server, s.confirmTime(now), now)
		default:
			s.execute(s.departures.Judge(c.Server, now), c.Server, now)
		}
	}
}

// retainDeferred drops the deferred entries that a further list of the era does not have.
func (s *state) retainDeferred(changes []mangotraffic.ServerChange, now time.Time) {
	listed := make(map[mangomodel.ServerID]*mangotraffic.Server, len(changes))
	for _, c := range changes {
		listed[c.ID] = c.Server
	}
	s.departures.Retain(listed, now)
}

// withoutDeferred returns the entries of a whole list that are not deferred. In a list that is
// not the first of its era, an entry of an earlier incarnation shows that the later one is
// still listed.
func (s *state) withoutDeferred(changes []mangotraffic.ServerChange, first bool, now time.Time) []mangotraffic.ServerChange {
	return slices.DeleteFunc(slices.Clone(changes), func(c mangotraffic.ServerChange) bool {
		return c.Server != nil && s.departures.Defers(c.ID) && (first || !s.isSuperseded(c.Server, now))
	})
}

// execute carries out a verdict about an entry of an older copy.
func (s *state) execute(v mangodeparture.Verdict, server *mangotraffic.Server, now time.Time) {
	switch v {
	case mangodeparture.VerdictDefer:
		s.departures.Defer(server, now)
		s.observer.EntryDeferred(server.Ref(), s.confirmTime(now))
	case mangodeparture.VerdictWithdraw:
		s.withdrawServer(server.Ref(), "", Platform, now)
	}
}

// maxClockOffset is by how much the clocks of hosts may differ.
const maxClockOffset = time.Minute

// isSuperseded reports whether an entry is of an earlier incarnation than the one in use. A
// start that lies in the future is not that of a server, and does not keep others out.
func (s *state) isSuperseded(server *mangotraffic.Server, now time.Time) bool {
	last, ok := s.pool.Server(server.ID)
	return ok && last.Born.After(server.Born) && last.Born.Before(now.Add(maxClockOffset))
}

// supersede defers an entry of an earlier incarnation than the one in use. It is used if it
// is neither replaced nor removed in a time.
func (s *state) supersede(server *mangotraffic.Server, d time.Duration, now time.Time) {
	s.departures.Supersede(server, now.Add(d), now)
	s.observer.EntryDeferred(server.Ref(), d)
}

// restoration is the older copy from which the store came back last; zero if it never did.
type restoration struct {
	// copy is the position of the first list that was read of the era, and at the time when
	// some daemon read it.
	copy mangotraffic.Cursor
	at   time.Time
}

// age returns the time since some daemon read the copy.
func (r restoration) age(now time.Time) time.Duration {
	if r.copy.IsZero() {
		return 0
	}
	return now.Sub(r.at)
}

// recordCopy records which copy a list comes from. Graces that began later than at another
// daemon end earlier then.
func (s *state) recordCopy(c ChangeServers, now time.Time) {
	told := restoration{c.Copy, now.Add(-c.CopyAge)}
	switch {
	case told.copy.IsZero() || told.copy.Era != c.Cursor.Era:
		if s.isRestored(c.Cursor) {
			s.restored = restoration{c.Cursor, now.Add(-c.Age)}
			s.departures.Restored(s.restored.at)
		}
	case told.copy.Era != s.restored.copy.Era:
		s.restored = told
		s.departures.Restored(s.restored.at)
	case told.at.Before(s.restored.at):
		s.restored = restoration{mangotraffic.MinCursor(told.copy, s.restored.copy), told.at}
		s.pool.EndGraces(func(server *mangotraffic.Server) time.Time {
			if !s.isLost(server) {
				return time.Time{}
			}
			return now.Add(s.grace(server, now))
		})
		s.removeExpired(now)
	}
}

// isLost reports whether an entry was written after the copy from which the store came back
// last, so that its absence does not say that it was removed. It was if the copy has an
// earlier incarnation.
func (s *state) isLost(server *mangotraffic.Server) bool {
	return server.Written.Era < s.restored.copy.Era &&
		(server.Written.Position > s.restored.copy.Position || s.departures.Defers(server.ID))
}

// grace returns how long a server is still used that a whole list lacks: as long as live
// servers whose entries were lost, in an outage or since the copy, take to be listed again.
func (s *state) grace(server *mangotraffic.Server, now time.Time) time.Duration {
	grace := s.outages.Grace(now)
	if s.isLost(server) {
		grace = max(grace, s.restored.at.Add(mangooutage.RelistTime).Sub(now))
	}
	return grace
}

// Departure tells another daemon of a server that has left.
type Departure struct {
	Server mangotraffic.ServerRef
	// Leaving is set if the server had announced that it leaves.
	Leaving bool
	// Age is the time since the server left.
	Age time.Duration
}

// departures returns what other daemons are told of servers that have left.
func (v *View) departures(now time.Time) []Departure {
	var list []Departure
	for _, x := range v.left {
		if age := now.Sub(x.At); age < mangodeparture.Retention {
			list = append(list, Departure{x.Server, x.Leaving, age})
		}
	}
	return list
}

// recordLeft records which servers have left as far as another daemon knows. Those whose
// entries are of the older copy are not used, as if this daemon had known that when it read
// the copy.
func (s *state) recordLeft(left []Departure, now time.Time) {
	judged := s.confirmTime(now) > 0
	for _, x := range left {
		server, listed := s.pool.Server(x.Server.ID)
		if listed && (!judged || server.Ref().After(x.Server) || s.isWrittenSince(&server)) {
			continue
		}
		s.departures.Told(mangodeparture.Departure{Server: x.Server, Leaving: x.Leaving, At: now.Add(-x.Age)})
		if !listed {
			continue
		}
		verdict := mangodeparture.VerdictDefer
		if !s.pool.InGrace(server.ID) {
			verdict = s.departures.Judge(&server, now)
			s.execute(verdict, &server, now)
		}
		if verdict == mangodeparture.VerdictDefer {
			s.pool.RemoveServer(server.ID, 0, now)
		}
	}
}

// confirmTime returns for how much longer entries of the copy may be deferred.
func (s *state) confirmTime(now time.Time) time.Duration {
	if s.restored.copy.IsZero() {
		return 0
	}
	return max(mangodeparture.ConfirmTime-s.restored.age(now), 0)
}

// isWrittenSince reports whether an entry was written after the store came back.
func (s *state) isWrittenSince(server *mangotraffic.Server) bool {
	return server.Written.Era == s.restored.copy.Era && server.Written.Position > s.restored.copy.Position
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
		s.departures.Written(server.ID)
		s.pool.PutServer(server)
	}
}
