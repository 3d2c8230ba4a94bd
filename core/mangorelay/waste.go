package mangorelay

import (
	"context"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangomodel"
)

// spentPrefill is a prefill that was sent to an engine and whose use is not complete.
type spentPrefill struct {
	server  mangomodel.ServerID
	attempt mangomodel.Attempt
	// events is how many events the client had received before it.
	events int
	// failed is set if the engine did not return a KV cache.
	failed bool
}

// spendPrefill records a prefill that an engine has computed, at least in part. Prefills
// are counted only where the configuration has workspaces.
func (j *job) spendPrefill(server mangomodel.ServerID, failed bool) {
	if j.call.Restricted && j.call.Generation != nil {
		j.spent = &spentPrefill{server: server, attempt: j.attempts, events: j.result.Events, failed: failed}
	}
}

// wastePrefill reports the prefill that was spent last, if there is one whose use is not
// complete.
func (j *job) wastePrefill(cause mangoexchange.WasteCause) {
	if j.spent == nil {
		return
	}
	j.relay.observer.PrefillWasted(mangoexchange.Waste{
		Call: j.call, Route: j.route, Server: j.spent.server, Cause: cause, Tokens: j.call.Generation.Prompt, Attempt: j.spent.attempt,
	})
	j.spent = nil
}

// settlePrefill reports the prefill of an attempt that has failed, unless its KV cache is
// kept for the next one. If there is none, a prefill whose client has received events was
// of use.
func (j *job) settlePrefill(ctx context.Context, err error, again bool) {
	switch {
	case j.spent == nil:
	case err == nil:
		j.spent = nil
	case !again && j.result.Events > j.spent.events:
		j.spent = nil
	case !again || j.cache == nil:
		j.wastePrefill(j.wasteCause(ctx, err))
	}
}

// wasteCause returns why a prefill was wasted whose attempt failed.
func (j *job) wasteCause(ctx context.Context, err error) mangoexchange.WasteCause {
	switch endOf(ctx, err) {
	case mangoexchange.EndClient:
		return mangoexchange.WasteClientLeft
	case mangoexchange.EndStop:
		return mangoexchange.WasteStopped
	case mangoexchange.EndDeadline:
		return mangoexchange.WasteLate
	case mangoexchange.EndAdmission:
		if j.checkStop() != nil {
			return mangoexchange.WasteStopped
		}
		return mangoexchange.WasteDecodeRefused
	}
	switch {
	case j.spent.failed:
		return mangoexchange.WasteEngineLost
	case j.next != nil && j.next.responsive:
		return mangoexchange.WastePreempted
	case mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot:
		return mangoexchange.WasteDecodeRefused
	default:
		return mangoexchange.WasteEngineLost
	}
}
