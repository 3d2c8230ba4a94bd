package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangotraffic"
)

// crashProbeTimeout bounds the load report that checks whether a server has crashed.
const crashProbeTimeout = 300 * time.Millisecond

// checkParts returns a fault if a part of the prompt is quarantined. A call that has
// begun to generate has shown that its parts crash no server.
func (j *job) checkParts() error {
	if len(j.call.Parts) == 0 || j.result.Events > 0 {
		return nil
	}
	return j.relay.fleet.View().AdmitParts(j.call.Parts, time.Now())
}

// recordStart records that a server has begun to generate for the call.
func (j *job) recordStart() {
	if len(j.call.Parts) > 0 {
		j.apply(mangofleet.CallStarted{Parts: j.call.Parts})
	}
}

// recordCrash records that the call may have crashed a server, which ended the exchange
// before its first event. A server that still responds has only reset a connection.
func (j *job) recordCrash(ctx context.Context, server mangotraffic.Server) {
	if len(j.call.Parts) == 0 || j.received > 0 || !j.crashed(ctx, server) {
		return
	}
	crash := mangoquarantine.Crash{Server: server.ID, Born: mangoquarantine.Birth(server.Born.UnixMilli())}
	j.apply(mangofleet.ServerCrashed{Crash: crash, Parts: j.call.Parts})
}

// crashed reports whether a server does not respond, or another one has its address. The
// check is inconclusive if the call is cancelled meanwhile.
func (j *job) crashed(ctx context.Context, server mangotraffic.Server) bool {
	probeCtx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	_, err := j.relay.servers.Report(probeCtx, server)
	if err == nil || ctx.Err() != nil {
		return false
	}
	return mangomodel.HasCode(err, mangomodel.CodeUnavailable) || mangomodel.HasCode(err, mangomodel.CodeNotFound)
}
