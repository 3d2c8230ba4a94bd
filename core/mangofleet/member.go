package mangofleet

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
)

const (
	// freshTime is how old the list of a scheduler may be: a read that found
	// nothing, and the time for one that failed.
	freshTime = 1200 * time.Millisecond
	// informedTime is how old the list of another daemon may be: a fresh list
	// and a renewal.
	informedTime = freshTime + mangopool.RenewInterval
	// newsMembers is how many daemons a message names: those that may become
	// scheduler next. The scheduler itself hears all of them.
	newsMembers = 6
)

// UpdateMembers takes in what is known of daemons.
type UpdateMembers struct{ Sightings []mangoroster.Sighting }

// Apply applies the command.
func (c UpdateMembers) Apply(s *state, now time.Time) error {
	for _, x := range c.Sightings {
		if s.roster.Update(x, now) {
			s.changed.members = true
		}
	}
	return nil
}

// PeerFailed says that a daemon did not answer.
type PeerFailed struct{ Daemon mangomodel.DaemonID }

// Apply applies the command.
func (c PeerFailed) Apply(s *state, now time.Time) error {
	s.roster.MarkFailed(c.Daemon, now)
	s.changed.members = true
	return nil
}

// me returns this daemon as the others see it.
func (s *state) me(now time.Time) mangoroster.Member {
	m := s.self.Member
	m.Draining, m.Stale = s.draining, now.Sub(s.listRead) > freshTime
	return m
}
