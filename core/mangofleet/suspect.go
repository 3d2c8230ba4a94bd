package mangofleet

import (
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// MergeCrashes merges the crash counts of another daemon.
type MergeCrashes struct {
	From    mangomodel.DaemonID
	Crashes []mangocrash.Crash
}

// Apply implements [Command].
func (c MergeCrashes) Apply(s *state, now time.Time) error {
	for _, crash := range c.Crashes {
		s.suspects.Merge(c.From, crash, now)
	}
	return nil
}

// CallAborted records that a server ended a call before completion.
type CallAborted struct{ Call mangomodel.Fingerprint }

// Apply implements [Command].
func (c CallAborted) Apply(s *state, now time.Time) error {
	s.suspects.RecordCrash(c.Call, now)
	s.changed.crashes = true
	return nil
}

// AdmitCall counts a client's call towards the retry budget of its service. It
// fails for a call that has crashed too many servers, and for one with a part that has.
type AdmitCall struct {
	Service mangotraffic.ServiceName
	Call    mangomodel.Fingerprint
	Parts   []mangomodel.PartID
}

// Apply implements [Command].
func (c AdmitCall) Apply(s *state, now time.Time) error {
	s.retries.Budget(c.Service).AddCall(now)
	s.changed.usage = true
	if n := s.suspects.Crashes(c.Call, now); n >= mangocrash.MaxCrashes {
		return refused(mangomodel.CodeQuarantined, "call quarantined: it crashed %d servers", n)
	}
	return s.admitParts(c.Parts, now)
}
