package mangorelay

import (
	"context"
	"errors"
	"io"
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// maxLeases bounds the leases that one call acquires, whether or not a server
	// runs it, and maxUnreached those beyond it whose server could not be reached.
	maxLeases, maxUnreached = 4, 4
	// maxBufferedBody is the largest response body, in bytes, that is buffered
	// before it is sent, which allows a retry if it is truncated.
	maxBufferedBody mangomodel.Bytes = 256 << 10
	// relayPart is the size in bytes of the parts in which the rest of a larger
	// body is relayed.
	relayPart = 32 << 10
	// queueTimeoutShare is the share of the target latency that a call may be
	// queued before it is refused.
	queueTimeoutShare = 0.5
	// responseTimeoutFactor times the target latency is the time after which an
	// attempt that can be retried is replaced by one at another server.
	responseTimeoutFactor = 1.5
)

// servePlain serves a call that needs a single server.
func (j *job) servePlain(ctx context.Context) error {
	for {
		err := j.attemptPlain(ctx)
		if err == nil || j.headSent || ctx.Err() != nil {
			return err
		}
		if !j.canRetry(err) {
			return err
		}
	}
}

// canRetry reports whether a failed call may be sent to another server.
func (j *job) canRetry(err error) bool {
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	if isRefusal(f.Step) || !j.mayLease() {
		return false
	}
	if f.Run == mangomodel.RunNot {
		return true
	}
	return j.route.Retryable() && !j.unnumbered && j.runs < j.route.MaxAttempts
}

// mayLease reports whether the call may acquire another lease. Servers that could not
// be reached count only up to maxUnreached.
func (j *job) mayLease() bool {
	return j.attempts-min(j.unreached, maxUnreached) < maxLeases
}

func (j *job) attemptPlain(ctx context.Context) error {
	began := time.Now()
	queueTimeout := time.Duration(queueTimeoutShare * float64(j.route.TargetLatency))
	grant, err := j.acquire(ctx, mangolease.Demand{OnTimeFor: queueTimeout, Patience: queueTimeout})
	if err != nil {
		return err
	}
	defer grant.Release()
	lease := grant.Lease
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := j.newHandover(runCtx, lease.Server.ID, mangoexchange.PhaseRun)
	timer := j.newResponseTimer(h, lease.Server, cancel)
	runCtx, end := j.relay.tracer.Start(runCtx, mangomodel.StepCall, mangomodel.PeerName(lease.Server.ID))
	err = j.exchange(runCtx, lease, timer)
	timer.Stop()
	j.keep(h, err)
	end(err)
	j.cancelProbe(grant.ID, err)
	if err == nil {
		j.relay.shutdown.record(j.service.Name, time.Since(j.leasedAt), j.passage().size)
	}
	j.reportExchange(runCtx, mangoexchange.PhaseRun, lease.Server, lease, began, err)
	return err
}

// newResponseTimer returns a timer for an attempt that another server can replace
// until its response begins, and otherwise one that never expires.
func (j *job) newResponseTimer(h *handover, server mangotraffic.Server, cancel context.CancelCauseFunc) stallTimer {
	if !j.mayRunAgain() {
		return nopTimer{}
	}
	w := j.watch(h, server, cancel, errNoResponse)
	w.Reset(time.Duration(responseTimeoutFactor * float64(j.route.TargetLatency)))
	return responseTimer{w}
}

// errNoResponse is the cancellation cause of an attempt whose server did not
// complete its response in time.
var errNoResponse = errors.New("no response in time")

// exchange sends the call and relays the response.
func (j *job) exchange(ctx context.Context, lease mangolease.Lease, timer stallTimer) error {
	if err := errors.Join(j.checkStop(), j.checkAccess(), j.checkCall(), j.checkServer(lease.Server)); err != nil {
		return err
	}
	if err := j.takeRetry(ctx, mangoexchange.PhaseRun); err != nil {
		return err
	}
	// The wait for the retry may have been long.
	if err := j.confirmServer(ctx, lease.Server); err != nil {
		j.refundRetry(mangoexchange.PhaseRun)
		return err
	}
	j.received = 0
	opts := mangoexchange.RunOptions{LastEventID: j.lastEventID, Stream: j.route.Kind == mangotraffic.KindStreaming}
	resp, err := j.relay.servers.Run(ctx, lease.Server, j.call, opts)
	if err != nil {
		return j.handleSendError(ctx, lease.Server, err)
	}
	return j.relayResponse(ctx, lease.Server, resp, timer)
}

// relayBody relays a response without events. A body smaller than
// maxBufferedBody is read completely before anything is sent, if there is memory for it.
func (j *job) relayBody(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response, stall stallTimer) error {
	room := j.relay.memory.Hold()
	defer room.Release()
	data, whole, err := mangomemory.ReadParts(resp.Body, maxBufferedBody, bufferInto(room))
	stall.Stop()
	if len(data) > 0 {
		j.received++
		if resp.Head.Status/100 == 2 {
			j.recordStart()
		}
	}
	if err != nil && !errors.Is(err, errNoMemory) {
		return j.handleAborted(ctx, server, err)
	}
	if whole {
		if err := j.confirmEnd(ctx, server, resp); err != nil {
			return err
		}
	}
	if err := j.sendHead(resp.Head); err != nil {
		return err
	}
	for _, part := range data {
		if err := clientFault(j.sink.Write(part)); err != nil {
			return err
		}
	}
	data = nil
	room.Release()
	if !whole {
		return j.relayRest(ctx, server, resp)
	}
	j.observeCompletion(server.ID, resp)
	return nil
}

// errNoMemory ends the buffering of a response body.
var errNoMemory = errors.New("no memory for a response body")

// bufferInto returns a function that reserves room for the parts of a response body
// after the first, which needs none.
func bufferInto(room *mangomemory.Reservation) func(mangomodel.Bytes) error {
	first := true
	return func(n mangomodel.Bytes) error {
		if !first && !room.TryGrow(n) {
			return errNoMemory
		}
		first = false
		return nil
	}
}

func (j *job) relayRest(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response) error {
	part := make([]byte, relayPart)
	for {
		n, err := resp.Body.Read(part)
		if n > 0 {
			if err := clientFault(j.sink.Write(part[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if err := j.confirmEnd(ctx, server, resp); err != nil {
				return err
			}
			j.observeCompletion(server.ID, resp)
			return nil
		}
		if err != nil {
			return j.handleAborted(ctx, server, err)
		}
	}
}

// handleNotRun handles a response that states that the call did not run.
func (j *job) handleNotRun(server mangotraffic.Server, resp *mangoexchange.Response) error {
	outcome := mangolease.OutcomeFull
	if resp.Misdirected {
		outcome = mangolease.OutcomeMisdirected
	}
	j.observe(server.ID, outcome, resp.Load)
	j.avoid, j.rejected = append(j.avoid, server.ID), true
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"status %d, not run", resp.Head.Status)
}

// handleUnprovenRefusal handles a response that would tell the client that the call
// did not run, although its server does not state so.
func (j *job) handleUnprovenRefusal(server mangotraffic.Server, resp *mangoexchange.Response) error {
	j.observe(server.ID, mangolease.OutcomeSuccess, resp.Load)
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID), mangomodel.CodeBackend, mangomodel.RunUnknown,
		"status %d without a statement that the call did not run", resp.Head.Status)
}

// handleForeign handles a response that cannot continue a stream whose head was
// sent: one without events, or with an event that has no place in it.
func (j *job) handleForeign(server mangotraffic.Server, resp *mangoexchange.Response, what string) error {
	j.observe(server.ID, mangolease.OutcomeFailure, resp.Load)
	j.avoid = append(j.avoid, server.ID)
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID), mangomodel.CodeBackend, mangomodel.RunUnknown,
		"status %d with %s cannot continue a stream after event %d", resp.Head.Status, what, j.lastEventID)
}

// handleSendError handles a call that received no response.
func (j *job) handleSendError(ctx context.Context, server mangotraffic.Server, err error) error {
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	j.avoid = append(j.avoid, server.ID)
	if f.Run == mangomodel.RunNot {
		j.relay.unconfirmed.add(&server)
		j.observe(server.ID, mangolease.OutcomeUnreachable, nil)
		j.refundRetry(mangoexchange.PhaseRun)
		return f
	}
	j.runs++
	return j.handleAborted(ctx, server, f)
}

// handleAborted handles an exchange that ended before completion. It counts as a
// failure of the server unless the call's own context has ended, and as a possible
// crash caused by the call only if this daemon did not cancel it.
func (j *job) handleAborted(ctx context.Context, server mangotraffic.Server, err error) error {
	j.avoid = append(j.avoid, server.ID)
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errNoResponse) || errors.Is(cause, errStalled) {
		j.observe(server.ID, mangolease.OutcomeFailure, nil)
	}
	if cause == nil {
		j.relay.unconfirmed.add(&server)
		j.apply(mangofleet.CallAborted{Call: j.call.Fingerprint, Server: mangocrash.IncarnationOf(server.ID, server.Born)})
		j.recordCrash(ctx, server)
	}
	f := *mangomodel.AsFault(err, mangomodel.StepCall)
	f.Run = mangomodel.RunUnknown
	if f.Peer == "" {
		f.Peer = mangomodel.PeerName(server.ID)
	}
	return &f
}
