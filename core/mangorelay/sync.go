package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
)

const (
	// maxSyncWait bounds the wait for the first configuration after the daemon's
	// start. Other daemons or the platform return it within a fraction of that.
	maxSyncWait = time.Second
	// syncShare bounds that wait as a share of the time that the client waits, so
	// that a refused client has time to return.
	syncShare = 0.25
)

// syncedView returns the fleet's view. It waits for a daemon that has just started
// to receive the configuration and the list of servers.
func (j *job) syncedView(ctx context.Context) *mangofleet.View {
	view := j.relay.fleet.View()
	if !view.Unsynced() {
		return view
	}
	wait := maxSyncWait
	if !j.call.Deadline.IsZero() {
		wait = min(wait, time.Duration(syncShare*float64(time.Until(j.call.Deadline))))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// A daemon that is not synced in time refuses the call for that reason.
	_ = j.relay.fleet.Do(ctx, mangofleet.AwaitSync{})
	return j.relay.fleet.View()
}

// unsyncedFault refuses a call because the daemon has no configuration yet. The
// client returns after as long as the first sync may take.
func (j *job) unsyncedFault() error {
	f := *mangomodel.AsFault(notRunFault(mangomodel.CodeUnavailable, "no configuration has been loaded yet"), mangomodel.StepAdmission)
	f.RetryAfter = maxSyncWait
	if !j.call.Deadline.IsZero() {
		f.RetryAfter = min(f.RetryAfter, time.Duration(maxRetryAfterShare*float64(time.Until(j.call.Deadline))))
	}
	return &f
}
