package mangorelay

import (
	"context"
	"errors"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangomodel"
)

// endOf returns who ended an exchange or a call that ran with a context.
func endOf(ctx context.Context, err error) mangoexchange.End {
	cause := context.Cause(ctx)
	is := func(target error) bool { return errors.Is(err, target) || errors.Is(cause, target) }
	switch {
	case err == nil:
		return mangoexchange.EndServer
	case is(errStopped):
		return mangoexchange.EndStop
	case is(errTimeout):
		return mangoexchange.EndDeadline
	case is(errStalled), is(errNoResponse):
		return mangoexchange.EndWatchdog
	case is(errQuarantined):
		return mangoexchange.EndQuarantine
	case is(errClientDisconnected), cause != nil:
		return mangoexchange.EndClient
	case isRefusal(mangomodel.AsFault(err, mangomodel.StepCall).Step):
		return mangoexchange.EndAdmission
	default:
		return mangoexchange.EndServer
	}
}

// isRefusal reports whether a fault of a step is a refusal by a daemon.
func isRefusal(step mangomodel.Step) bool {
	return step == mangomodel.StepAdmission || step == mangomodel.StepAuthorise
}
