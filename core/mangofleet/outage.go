package mangofleet

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// reportTime is how long other daemons are told that the store has returned: as long as
// one that does not respond stays recorded.
const reportTime = 10 * time.Second

// ReadFailed records that this daemon has failed to read the list of servers.
type ReadFailed struct{}

// Apply implements [Command].
func (ReadFailed) Apply(s *state, now time.Time) error {
	s.readFailed = now
	s.outages.Failed(s.self.Holder.Daemon, now)
	return nil
}

// Reads says how long ago the list of servers was read. Zero means never.
type Reads struct {
	// Read is the time since the last read by any daemon that the sender knows of.
	Read time.Duration
	// Failed is the time since the sender last failed to read the list, if it has not
	// been read since.
	Failed time.Duration
	// Returned is the time since the store returned from its last outage.
	Returned time.Duration
}

// Delayed returns the reads as they are some time later.
func (r Reads) Delayed(by time.Duration) Reads {
	for _, age := range []*time.Duration{&r.Read, &r.Failed, &r.Returned} {
		if *age > 0 {
			*age += by
		}
	}
	return r
}

// RecordReads records what another daemon reports about reads.
type RecordReads struct {
	Daemon mangomodel.DaemonID
	Reads  Reads
}

// Apply implements [Command].
func (c RecordReads) Apply(s *state, now time.Time) error {
	if c.Reads.Failed > 0 {
		s.outages.Failed(c.Daemon, now.Add(-c.Reads.Failed))
	}
	// In the order of time, so that the first one ends a gap.
	if c.Reads.Returned > 0 {
		s.readAt(now.Add(-c.Reads.Returned), now)
	}
	if c.Reads.Read > 0 {
		s.readAt(now.Add(-c.Reads.Read), now)
	}
	return nil
}

// readAt records that some daemon read the list at a time. Graces that began too late, or
// because of an outage that was none, end earlier then.
func (s *state) readAt(at, now time.Time) {
	before := s.outages.Grace(now)
	s.outages.Read(at, s.roster.Len())
	if s.outages.Grace(now) < before {
		s.pool.EndGraces(func(server *mangotraffic.Server) time.Time { return now.Add(s.grace(server, now)) })
		s.removeExpired(now)
	}
}

// Reads returns what this daemon knows about reads of the list.
func (v *View) Reads(now time.Time) Reads {
	var r Reads
	if !v.ListRead.IsZero() {
		r.Read = max(now.Sub(v.ListRead), 1)
	}
	if v.readFailed.After(v.ListRead) {
		r.Failed = max(now.Sub(v.readFailed), 1)
	}
	if returned := now.Sub(v.returned); returned < reportTime {
		r.Returned = max(returned, 1)
	}
	return r
}

// Informs reports whether another daemon's reads may say something about an outage.
func (v *View) Informs(r Reads, now time.Time) bool {
	return r.Failed > 0 || r.Returned > 0 || v.Stale(now)
}
