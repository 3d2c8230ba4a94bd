package mangofleet

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
)

const (
	// maxListAge is how old a scheduler's list may be: the duration of a read
	// without changes plus that of a failed one.
	maxListAge = 1200 * time.Millisecond
	// maxReceivedListAge is how old a list or a configuration received from a scheduler
	// may be: the age of the scheduler's list plus a renewal interval.
	maxReceivedListAge = maxListAge + mangopool.RenewInterval
	// maxCandidates is how many scheduler candidates of a service an exchange
	// message names. The scheduler itself receives messages from all daemons.
	maxCandidates = 6
)

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
	m.Draining, m.Stale = s.draining, mangomodel.Elapsed(s.listRead, now) > maxListAge
	return m
}
