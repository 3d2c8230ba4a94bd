package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
)

// takeQuota charges the call to the allowance of its workspace, if that is limited. The
// call waits for some round trips at most. Retries, prefills and resumptions are not
// charged.
func (j *job) takeQuota(ctx context.Context) error {
	if !j.limited() {
		return nil
	}
	if err := j.relay.fleet.Do(ctx, mangofleet.TakeQuota{Workspace: j.call.Workspace, Generation: j.stated}); err != nil {
		return err
	}
	j.charged, j.chargedAt = j.call.Workspace, time.Now()
	return nil
}

// limited reports whether the active configuration limits the call's workspace.
func (j *job) limited() bool {
	routing := j.relay.fleet.View().Routing
	if j.call.Workspace == "" || routing == nil || routing.Workspaces == nil {
		return false
	}
	w, ok := routing.Workspaces.ByID(j.call.Workspace)
	return ok && w.Limit.Bounded()
}

// refundQuota returns the charge for a call that has ended without having run.
func (j *job) refundQuota(err error) {
	if err == nil || j.chargedAt.IsZero() || mangomodel.AsFault(err, mangomodel.StepCall).Run != mangomodel.RunNot {
		return
	}
	j.apply(mangofleet.RefundQuota{Workspace: j.charged, Generation: j.stated, ChargedAt: j.chargedAt})
}
