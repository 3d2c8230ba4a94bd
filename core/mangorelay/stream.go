package mangorelay

import (
	"context"
	"errors"
	"slices"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

const (
	// startShare is the share of a stream's target latency that is reserved for
	// prefill, transfer and the first event.
	startShare = 0.35
	// streamQueueTimeoutFactor times the target latency bounds the time that a
	// stream is queued. Clients abandon a stream that has no event after four
	// target latencies.
	streamQueueTimeoutFactor = 1.5
	// stallFactor times the route's MaxPause is the stall timeout within a
	// stream. Preempted streams pause for about the time of a prefill.
	stallFactor = 3
	// defaultStallTimeout is used for routes without a MaxPause.
	defaultStallTimeout = 2 * time.Second
)

// errStalled is the cancellation cause of a stream whose engine stopped sending
// events.
var errStalled = errors.New("no event in time")

// serveStream serves a call that needs a prefill engine and a decode engine.
func (j *job) serveStream(ctx context.Context) error {
	defer j.releaseCache()
	for {
		err := j.attemptStream(ctx)
		again := err != nil && ctx.Err() == nil && j.canRetry(err)
		if again {
			j.detectRestart(ctx)
		}
		j.settlePrefill(ctx, err, again)
		if !again {
			return err
		}
	}
}

// limitStart ends a stream that has not begun shortly before its client leaves, so
// that the client is told whether the call may have run.
func (j *job) limitStart(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	limit := mangostall.StartLimit(j.route.TargetLatency, j.route.MaxPause)
	j.start = time.AfterFunc(limit-time.Since(j.call.Arrived), func() { cancel(errTimeout) })
	return ctx, func() {
		j.start.Stop()
		cancel(nil)
	}
}

func (j *job) attemptStream(ctx context.Context) error {
	j.dropExpiredCache()
	grant, err := j.acquire(ctx, j.streamDemand())
	if err != nil {
		return j.retryWithoutCache(err)
	}
	defer grant.Release()
	if grant.Lease.Prefill != nil {
		if err := j.prefill(ctx, grant); err != nil {
			j.cancelProbe(grant.ID, err)
			return err
		}
	}
	err = j.generate(ctx, grant)
	j.cancelProbe(grant.ID, err)
	return err
}

// streamDemand returns the demand for a decode slot and, unless the prompt is
// prefilled, for a prefill server. A stream whose client has already received
// its head stays on time, and so ahead of late demands, until it leaves the queue.
func (j *job) streamDemand() mangolease.Demand {
	d := mangolease.Demand{Generation: j.call.Generation, Prefilled: j.cache != nil}
	age := time.Since(j.call.Arrived)
	target := float64(j.route.TargetLatency)
	d.OnTimeFor = time.Duration((1-startShare)*target) - age
	d.Patience = time.Duration(streamQueueTimeoutFactor*target) - age
	if j.headSent {
		d.OnTimeFor, d.Patience, d.Begun = defaultStallTimeout, defaultStallTimeout, true
	}
	if j.cache != nil {
		d.Patience = min(d.Patience, time.Until(j.cache.expiresAt))
	}
	return d
}

// generate runs the call at the decode server and relays its events.
func (j *job) generate(ctx context.Context, grant *mangobroker.Grant) error {
	began := time.Now()
	server := grant.Lease.Server
	if err := errors.Join(j.checkStop(), j.checkAccess(), j.checkCall(), j.checkParts(), j.checkLease(), j.checkServer(server)); err != nil {
		return err
	}
	if err := j.takeRetry(ctx, mangoexchange.PhaseRun); err != nil {
		j.releaseCache()
		return err
	}
	// The wait for the retry may have been long.
	if err := j.confirmServer(ctx, server); err != nil {
		j.refundRetry(mangoexchange.PhaseRun)
		return err
	}
	j.received = 0
	opts := mangoexchange.RunOptions{LastEventID: j.lastEventID, Stream: true}
	if j.cache != nil {
		opts.Source = &j.cache.source
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := j.newHandover(runCtx, server.ID, mangoexchange.PhasePrefill, mangoexchange.PhaseRun)
	stall := j.newStallTimer(h, server, cancel)
	stall.Reset(j.relay.paces.timeout(j.service.Name))
	j.endWatch = j.watchParts(cancel)
	defer j.endWatch()
	runCtx, end := j.relay.tracer.Start(runCtx, mangomodel.StepDecode, mangomodel.PeerName(server.ID))
	j.sentAt = time.Now()
	resp, err := j.relay.servers.Run(runCtx, server, j.call, opts)
	if err == nil {
		err = j.relayResponse(runCtx, server, resp, stall)
	} else {
		err = j.handleSendError(runCtx, server, err)
	}
	stall.Stop()
	end(err)
	if err == nil && opts.LastEventID == 0 {
		j.relay.shutdown.record(j.service.Name, time.Since(j.leasedAt), j.passage().size)
	}
	j.reportExchange(runCtx, mangoexchange.PhaseRun, server, grant.Lease, began, err)
	j.keepUnfetchedCache(err)
	j.keep(h, err)
	return err
}

// newStallTimer returns a watchdog if the stream can continue at another engine,
// and otherwise a timer that never expires.
func (j *job) newStallTimer(h *handover, server mangotraffic.Server, cancel context.CancelCauseFunc) stallTimer {
	if !j.mayRunAgain() {
		return nopTimer{}
	}
	return j.watch(h, server, cancel, errStalled, mangostall.WithReports(responders{j.relay}))
}

// handleNotRunStream handles a decode server that did not run the call because
// it was full or could not fetch the KV cache. If the scheduler had recorded
// spare capacity there, the cache is offered to a second server: if that one
// refuses too, the cache is treated as lost, otherwise the first was full.
func (j *job) handleNotRunStream(server mangotraffic.Server, resp *mangoexchange.Response) error {
	if j.cache == nil || resp.Misdirected || resp.AsksForTime || !j.hadSpareCapacity() {
		return j.handleNotRun(server, resp)
	}
	j.avoid = append(j.avoid, server.ID)
	err := mangomodel.Faultf(mangomodel.StepTransfer, mangomodel.PeerName(server.ID), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"status %d, not run despite spare capacity", resp.Head.Status)
	if j.cache.refusedBy == "" {
		j.cache.refusedBy = server.ID
		return err
	}
	// Both decode servers had spare capacity and may be tried again.
	refused := []mangomodel.ServerID{server.ID, j.cache.refusedBy}
	j.avoid = slices.DeleteFunc(j.avoid, func(id mangomodel.ServerID) bool { return slices.Contains(refused, id) })
	j.avoid = append(j.avoid, j.cache.server)
	j.observe(j.cache.server, mangolease.OutcomeCacheLost, nil)
	j.cache = nil
	return err
}

// hadSpareCapacity reports whether the server had slots and memory to spare when
// the lease in use was granted.
func (j *job) hadSpareCapacity() bool {
	lease := j.grant.Lease
	const spareSlots, usedShare = 2, 0.75
	return lease.Running+spareSlots <= int(lease.Server.Slots) &&
		float64(lease.Peak) <= usedShare*float64(j.service.Engine.KVTokens)
}

// relayResponse relays the response of a server, or handles one that states that
// the call did not run.
func (j *job) relayResponse(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response, stall stallTimer) error {
	defer resp.Close()
	if resp.NotRun {
		return j.handleNotRunStream(server, resp)
	}
	j.runs++
	if resp.Refusal && !j.route.Retryable() {
		return j.handleUnprovenRefusal(server, resp)
	}
	j.recordCacheFetched()
	if resp.Events == nil && j.headSent {
		return j.handleForeign(server, resp, "a body")
	}
	if resp.Events == nil {
		return j.relayBody(ctx, server, resp, stall)
	}
	return j.relayEvents(ctx, server, resp, stall)
}
