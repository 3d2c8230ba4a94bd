package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
)

// resumedQuotaTime is how long a call that resumes a stream may wait for its quota: by then
// an accountant that was lost has been replaced.
const resumedQuotaTime = mangoroster.AliveTimeout

// takeQuota charges the call to the allowance of its workspace, if that is limited. The
// call waits for some round trips at most. Retries, prefills and resumptions are not
// charged.
func (j *job) takeQuota(ctx context.Context) error {
	if !j.limited() {
		return nil
	}
	for {
		err := j.relay.fleet.Do(ctx, mangofleet.TakeQuota{Workspace: j.call.Workspace, Generation: j.stated})
		if err == nil {
			break
		}
		if !j.awaitQuota(ctx, err) {
			return err
		}
	}
	j.charged, j.chargedAt = j.call.Workspace, time.Now()
	return nil
}

// awaitQuota waits until a refused call may ask for its quota again, and reports whether it
// may. Only a call that resumes a stream does: many streams lose their daemon together, often
// with the accountant, and their clients have used a try.
func (j *job) awaitQuota(ctx context.Context, err error) bool {
	f := mangomodel.AsFault(err, mangomodel.StepAdmission)
	if j.call.LastEventID <= 0 || f.Code != mangomodel.CodeQuotaExceeded {
		return false
	}
	if f.RetryAfter <= 0 || time.Since(j.call.Arrived)+f.RetryAfter > resumedQuotaTime {
		return false
	}
	timer := time.NewTimer(f.RetryAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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
