package mangofleet

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquarantine"
)

// CallStarted records that a server has begun to generate for a call with these parts.
type CallStarted struct{ Parts []mangomodel.PartID }

// Apply implements [Command].
func (c CallStarted) Apply(s *state, now time.Time) error {
	s.quarantine.RecordStart(c.Parts, now)
	s.judgeParts(now)
	return nil
}

// ServerCrashed records that a call with these parts ended with its server before its
// first event.
type ServerCrashed struct {
	Crash mangoquarantine.Crash
	Parts []mangomodel.PartID
}

// Apply implements [Command].
func (c ServerCrashed) Apply(s *state, now time.Time) error {
	s.quarantine.RecordCrash(c.Crash, c.Parts, now)
	s.changed.parts = true
	s.judgeParts(now)
	return nil
}

// MergeQuarantine merges what another daemon knows about parts that crash servers.
type MergeQuarantine struct{ Message mangoquarantine.Message }

// Apply implements [Command].
func (c MergeQuarantine) Apply(s *state, now time.Time) error {
	s.quarantine.Merge(c.Message, now)
	s.judgeParts(now)
	return nil
}

// judgeParts judges the evidence if this daemon receives that of all others, and notifies
// the observer of changed records.
func (s *state) judgeParts(now time.Time) {
	if s.canGrant(now) {
		s.quarantine.Judge(now)
	}
	for _, change := range s.quarantine.TakeChanges() {
		s.changed.parts = true
		s.observer.PartChanged(change, now)
	}
}

// admitParts refuses a call with a quarantined part.
func (s *state) admitParts(parts []mangomodel.PartID, now time.Time) error {
	return partFault(s.quarantine.Records(), parts, now)
}

// admitProbe refuses a demand whose call has a quarantined part, or one on probation that
// another call probes.
func (s *state) admitProbe(d *mangolease.Demand, now time.Time) error {
	if err := s.admitParts(d.Parts, now); err != nil {
		return err
	}
	parts := s.quarantine.Probe(d.Parts, now)
	if len(parts) == 0 {
		return nil
	}
	f := refused(mangomodel.CodeQuarantined, "prompt with parts %q on probation: they may crash servers, and another call probes them", parts)
	f.RetryAfter = mangoquarantine.ProbeInterval
	return f
}

// AdmitParts returns a fault if one of the parts is quarantined.
func (v *View) AdmitParts(parts []mangomodel.PartID, now time.Time) error {
	return partFault(v.quarantine, parts, now)
}

// Quarantine returns what this daemon tells others about parts that crash servers.
func (v *View) Quarantine() mangoquarantine.Message { return v.quarantineMessage }

func partFault(records mangoquarantine.Records, parts []mangomodel.PartID, now time.Time) error {
	culprits, record, ok := records.Refuses(parts, now)
	if !ok {
		return nil
	}
	f := refused(mangomodel.CodeQuarantined, "prompt with quarantined parts %q: %d servers crashed as they began to answer such calls", culprits, record.Crashes)
	f.RetryAfter = record.Until().Sub(now)
	return f
}
