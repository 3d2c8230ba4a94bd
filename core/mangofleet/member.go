package mangofleet

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
)

// maxCandidates is how many scheduler candidates of a service an exchange message names.
// The scheduler itself receives messages from all daemons.
const maxCandidates = 6

// UpdateMembers records sightings of daemons.
type UpdateMembers struct{ Sightings []mangoroster.Sighting }

// Apply implements [Command].
func (c UpdateMembers) Apply(s *state, now time.Time) error {
	for _, x := range c.Sightings {
		if s.roster.Update(x, now) {
			s.changed.members = true
		}
	}
	return nil
}

// PeerFailed records that a daemon did not respond.
type PeerFailed struct{ Daemon mangomodel.DaemonID }

// Apply implements [Command].
func (c PeerFailed) Apply(s *state, now time.Time) error {
	s.roster.MarkFailed(c.Daemon, now)
	s.changed.members = true
	return nil
}

// selfMember returns this daemon as it appears to the others.
func (s *state) selfMember(now time.Time) mangoroster.Member {
	m := s.self.Member
	m.Draining, m.Stale = s.draining, mangomodel.Elapsed(s.listRead, now) > s.times.Age
	return m
}
