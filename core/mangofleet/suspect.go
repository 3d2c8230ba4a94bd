package mangofleet

import (
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// probeDelay is when a probe may be asked for again that the scheduler refused because it
// has no record of the call, or that could not be saved: the daemons exchange their records
// meanwhile, or the store returns.
const probeDelay = 3 * time.Second

// MergeCrashes merges what another daemon knows about calls that crash servers.
type MergeCrashes struct{ Message mangocrash.Message }

// Apply implements [Command].
func (c MergeCrashes) Apply(s *state, now time.Time) error {
	s.suspects.Merge(c.Message, now)
	s.changed.crashes = true
	return nil
}

// CallAborted records that a server ended a call before completion.
type CallAborted struct {
	Call   mangomodel.Fingerprint
	Server mangocrash.Incarnation
}

// Apply implements [Command].
func (c CallAborted) Apply(s *state, now time.Time) error {
	s.suspects.RecordCrash(c.Call, c.Server, now)
	s.changed.crashes = true
	return nil
}

// CallProbed records that a call that crashed too many servers is sent to another one with
// a lease that its scheduler granted for that. The call must not be sent before
// [AwaitCrashesSaved] has returned.
type CallProbed struct {
	Call  mangomodel.Fingerprint
	Lease mangolease.ID
}

// Apply implements [Command].
func (c CallProbed) Apply(s *state, now time.Time) error {
	s.suspects.RecordProbe(c.Call, mangocrash.ProbeOf(c.Lease), now)
	s.changed.crashes = true
	return nil
}

// CallNotProbed records that a probe has reached no server.
type CallNotProbed struct {
	Call  mangomodel.Fingerprint
	Lease mangolease.ID
}

// Apply implements [Command].
func (c CallNotProbed) Apply(s *state, now time.Time) error {
	s.suspects.CancelProbe(c.Call, mangocrash.ProbeOf(c.Lease), now)
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
	s.suspects.RecordArrival(c.Call, now)
	if _, err := callFault(s.suspects.Verdicts(), c.Call, now); err != nil {
		return err
	}
	return s.admitParts(c.Parts, now)
}

// AdmitCall returns a fault if a call has crashed too many servers. Otherwise probe is set
// if the call may only be sent as a probe. A probe that cannot be saved is refused, since
// daemons that start anew would count it for none.
func (v *View) AdmitCall(call mangomodel.Fingerprint, now time.Time) (probe bool, err error) {
	probe, err = callFault(v.refusedCalls, call, now)
	if probe && err == nil && v.probesUnsaved {
		return false, ProbeNotSaved()
	}
	return probe, err
}

// ProbeNotSaved returns the fault of a call that may only be sent as a probe that is saved.
func ProbeNotSaved() error {
	f := refused(mangomodel.CodeQuarantined, "call quarantined: it crashed servers, and a probe cannot be saved at present")
	f.RetryAfter = probeDelay
	return f
}

// Crashes returns what this daemon tells others about calls that crash servers: in a
// request only what it has seen itself, since the receiver hears of the rest from others.
func (v *View) Crashes(isRequest bool) mangocrash.Message {
	if isRequest {
		return v.crashRequest
	}
	return v.crashResponse
}

// admitCall refuses a demand whose call has crashed too many servers, unless it is a probe
// that is due.
func (s *state) admitCall(d *mangolease.Demand, now time.Time) error {
	probe, err := callFault(s.suspects.Verdicts(), d.Call, now)
	if err != nil || probe == d.Probe {
		return err
	}
	f := refused(mangomodel.CodeQuarantined, "call quarantined: it crashes servers, and the scheduler has no probe for it")
	f.RetryAfter = probeDelay
	return f
}

// grantedProbe records a granted probe.
func (s *state) grantedProbe(w *waiter, now time.Time) {
	if w.Demand.Probe {
		s.suspects.RecordProbe(w.Demand.Call, mangocrash.ProbeOf(w.Lease), now)
		s.changed.crashes = true
	}
}

func callFault(verdicts mangocrash.Verdicts, call mangomodel.Fingerprint, now time.Time) (probe bool, err error) {
	v, ok := verdicts[call]
	if !ok || !v.Refuses(now) {
		return ok, nil
	}
	f := refused(mangomodel.CodeQuarantined, "call quarantined: it crashed %d servers", v.Crashes)
	f.RetryAfter = max(v.Probe.Sub(now), 0)
	return false, f
}
