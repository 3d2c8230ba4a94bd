package mangofleet

import (
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// LearnCrashes takes in what another daemon has seen.
type LearnCrashes struct {
	From    mangomodel.DaemonID
	Crashes []mangocrash.Crash
}

// Apply applies the command.
func (c LearnCrashes) Apply(s *state, now time.Time) error {
	for _, crash := range c.Crashes {
		s.suspects.Learn(c.From, crash, now)
	}
	return nil
}

// CallBroke says that a server broke off while it ran a call.
type CallBroke struct{ Call mangomodel.Fingerprint }

// Apply applies the command.
func (c CallBroke) Apply(s *state, now time.Time) error {
	s.suspects.Broke(c.Call, now)
	s.changed.crashes = true
	return nil
}

// Enter counts a client's call towards the retry budget of its service. It
// fails for a call that has broken too many servers.
type Enter struct {
	Service mangotraffic.ServiceName
	Call    mangomodel.Fingerprint
}

// Apply applies the command.
func (c Enter) Apply(s *state, now time.Time) error {
	s.retries.Budget(c.Service).Called(now)
	s.changed.usage = true
	if n := s.suspects.Crashes(c.Call, now); n >= mangocrash.Most {
		return refused(mangomodel.CodeQuarantined, "the call broke %d servers", n)
	}
	return nil
}
