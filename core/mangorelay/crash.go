package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
)

// probeSaveTimeout bounds the wait until a probe is saved: two writes to a store that is one
// region away and busy.
const probeSaveTimeout = 400 * time.Millisecond

// begun reports whether the client has received events. The servers of such a call are
// likely to have ended for other reasons.
func (j *job) begun() bool { return j.result.Events > 0 }

// admit returns a fault if the call has crashed too many servers. Otherwise probe is set
// if it needs a lease that its scheduler grants for a probe.
func (j *job) admit() (probe bool, err error) {
	if j.begun() {
		return false, nil
	}
	return j.relay.fleet.View().AdmitCall(j.call.Fingerprint, time.Now())
}

// checkCall returns a fault if the call was found to crash servers after its lease was
// acquired.
func (j *job) checkCall() error {
	if j.probe {
		return nil
	}
	probe, err := j.admit()
	if err == nil && probe {
		err = notRunFault(mangomodel.CodeQuarantined, "call quarantined: it crashes servers, and its lease is not for a probe")
	}
	return err
}

// recordProbe records that the call is sent as a probe, and waits until that is saved.
// Otherwise daemons that start anew together would send further ones.
func (j *job) recordProbe(ctx context.Context, lease mangolease.ID) error {
	j.apply(mangofleet.CallProbed{Call: j.call.Fingerprint, Lease: lease})
	ctx, cancel := context.WithTimeout(ctx, probeSaveTimeout)
	defer cancel()
	if err := j.relay.fleet.Do(ctx, mangofleet.AwaitCrashesSaved{Call: j.call.Fingerprint}); err != nil {
		return mangofleet.ProbeNotSaved()
	}
	return nil
}

// cancelProbe records that the call that was to be sent as a probe has reached no server. A
// server that rejects it was reached.
func (j *job) cancelProbe(lease mangolease.ID, err error) {
	if !j.probe || err == nil || j.runs > 0 || j.rejected || j.sends[mangoexchange.PhasePrefill] > 0 {
		return
	}
	if mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot {
		j.apply(mangofleet.CallNotProbed{Call: j.call.Fingerprint, Lease: lease})
	}
}
