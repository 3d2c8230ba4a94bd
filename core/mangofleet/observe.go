package mangofleet

import (
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Observation is what an exchange with a server showed.
type Observation int

const (
	// ObservedSuccess is a complete answer.
	ObservedSuccess Observation = iota
	// ObservedFailure is a broken, wrong or missing answer.
	ObservedFailure
	// ObservedUnreachable is a connection that could not be made.
	ObservedUnreachable
	// ObservedFull is a refusal for want of room.
	ObservedFull
	// ObservedMoved is another server at the address.
	ObservedMoved
)

// fullPause is how long a server that had no room is left alone. A slot of a
// busy engine comes free about this often.
const fullPause = 50 * time.Millisecond

// Observe tells what an exchange with a server showed.
type Observe struct {
	Server mangomodel.ServerID
	Saw    Observation
}

// Apply applies the command.
func (c Observe) Apply(s *state, now time.Time) error {
	m, ok := s.servers[c.Server]
	if !ok {
		return nil
	}
	switch c.Saw {
	case ObservedSuccess:
		m.health = m.health.Succeeded()
	case ObservedFailure:
		m.health = m.health.Failed(now)
	case ObservedUnreachable, ObservedMoved:
		m.health = m.health.Unreachable(now)
	case ObservedFull:
		m.fullUntil = now.Add(fullPause)
	}
	return nil
}

// TakeRetry takes one repeat from a service's budget, or fails.
type TakeRetry struct{ Service mangotraffic.ServiceName }

// Apply applies the command.
func (c TakeRetry) Apply(s *state, now time.Time) error {
	if !s.budget(c.Service).Take(now) {
		return refused(mangomodel.CodeOverloaded, "the retry budget of %s is used up", c.Service)
	}
	return nil
}

// PeerNews is what another daemon has running.
type PeerNews struct {
	Daemon mangomodel.DaemonID
	Load   []ServerLoad
	// Crashes are the fingerprints of calls that broke off at their servers.
	Crashes []Crash
}

// Apply applies the command.
func (c PeerNews) Apply(s *state, now time.Time) error {
	s.daemons[c.Daemon] = now
	for _, m := range s.servers {
		delete(m.peers, c.Daemon)
	}
	for _, l := range c.Load {
		if m, ok := s.servers[l.Server]; ok {
			m.peers[c.Daemon] = peerLoad{load: l, at: now}
		}
	}
	for _, crash := range c.Crashes {
		s.suspects.learn(c.Daemon, crash, now)
	}
	s.serveQueue(now)
	return nil
}

// LimitRetries sets the retry budget of each service at this daemon.
type LimitRetries struct{ Limits mangobudget.Limits }

// Apply applies the command.
func (c LimitRetries) Apply(s *state, _ time.Time) error {
	s.limits = c.Limits
	for _, b := range s.budgets {
		b.Limit(c.Limits)
	}
	return nil
}
