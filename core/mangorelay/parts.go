package mangorelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangotraffic"
)

// partsInterval is how often an exchange without an event is checked for quarantined parts.
const partsInterval = 50 * time.Millisecond

// errQuarantined is the cancellation cause of an exchange whose call has a part that was
// quarantined after it was sent.
var errQuarantined = errors.New("a part of the prompt was quarantined")

// crashProbeTimeout bounds the load report that checks whether a server has crashed.
const crashProbeTimeout = 300 * time.Millisecond

// checkParts returns a fault if a part of the prompt is quarantined. A call that has
// begun to generate has shown that its parts crash no server.
func (j *job) checkParts() error {
	parts := j.suspectParts()
	if len(parts) == 0 {
		return nil
	}
	return j.relay.fleet.View().AdmitParts(parts, time.Now())
}

// suspectParts returns the parts of the prompt that may crash a server: none once the
// call has begun to generate.
func (j *job) suspectParts() []mangomodel.PartID {
	if j.result.Events > 0 {
		return nil
	}
	return j.call.Parts
}

// watchParts cancels an exchange once a part of the prompt is quarantined, until the
// returned function is called: a call that waits at an engine does not crash it yet.
func (j *job) watchParts(cancel func(error)) (stop func()) {
	parts := j.suspectParts()
	if len(parts) == 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer mangopanic.Catch(j.relay.observer, "watch for quarantined parts")
		ticker := time.NewTicker(partsInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				if j.relay.fleet.View().AdmitParts(parts, now) != nil {
					cancel(errQuarantined)
					return
				}
			case <-done:
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
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
	if len(j.suspectParts()) == 0 || j.received > 0 || !j.crashed(ctx, server) {
		return
	}
	j.recordCrashOfParts(server)
}

// recordPrefillCrash records the same for a prefill. It counts for the whole call too, as an
// exchange that runs the call does without this check.
func (j *job) recordPrefillCrash(ctx context.Context, server mangotraffic.Server) {
	if !j.crashed(ctx, server) {
		return
	}
	if !j.begun() {
		j.apply(mangofleet.CallAborted{Call: j.call.Fingerprint, Server: mangocrash.IncarnationOf(server.ID, server.Born)})
	}
	j.recordCrashOfParts(server)
}

func (j *job) recordCrashOfParts(server mangotraffic.Server) {
	parts := j.suspectParts()
	if len(parts) == 0 {
		return
	}
	crash := mangoquarantine.Crash{Server: server.ID, Born: mangoquarantine.Birth(server.Born.UnixMilli())}
	j.apply(mangofleet.ServerCrashed{Crash: crash, Parts: parts})
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
