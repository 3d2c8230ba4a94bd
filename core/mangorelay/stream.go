package mangorelay

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
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
	// cacheLifetimeShare is the share of a KV cache's lifetime after which it is
	// no longer offered to another server.
	cacheLifetimeShare = 0.7
	// cleanupTimeout bounds the release of a KV cache at an engine.
	cleanupTimeout = time.Second
)

// errStalled is the cancellation cause of a stream whose engine stopped sending
// events.
var errStalled = errors.New("no event in time")

// serveStream serves a call that needs a prefill engine and a decode engine.
func (j *job) serveStream(ctx context.Context) error {
	defer j.releaseCache()
	for {
		err := j.attemptStream(ctx)
		if err == nil || ctx.Err() != nil || !j.canRetry(err) {
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

// pendingCache is a KV cache that was computed but not yet fetched.
type pendingCache struct {
	source    mangotraffic.KVSource
	server    mangomodel.ServerID
	expiresAt time.Time
	// refusedBy is the first decode server that did not run the call despite spare
	// capacity, or empty.
	refusedBy mangomodel.ServerID
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
			return err
		}
	}
	return j.generate(ctx, grant)
}

// dropExpiredCache releases a KV cache that may expire before it is fetched.
func (j *job) dropExpiredCache() {
	if j.cache != nil && !time.Now().Before(j.cache.expiresAt) {
		j.releaseCache()
	}
}

// retryWithoutCache releases the KV cache if a demand for only a decode server
// was refused, and returns a fault that permits a retry with a new prefill.
func (j *job) retryWithoutCache(err error) error {
	if j.cache == nil || !mangomodel.HasCode(err, mangomodel.CodeOverloaded) {
		return err
	}
	j.releaseCache()
	f := *mangomodel.AsFault(err, mangomodel.StepAdmission)
	f.Step = mangomodel.StepTransfer
	return &f
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

// prefill requests the computation of the prompt's KV cache.
func (j *job) prefill(ctx context.Context, grant *mangobroker.Grant) error {
	began := time.Now()
	server := *grant.Lease.Prefill
	if err := errors.Join(j.checkParts(), j.checkLease(), j.checkUsable(server.ID)); err != nil {
		return err
	}
	if err := j.takeRetry(ctx, mangoexchange.PhasePrefill); err != nil {
		return err
	}
	j.received = 0
	ctx, end := j.relay.tracer.Start(ctx, mangomodel.StepPrefill, mangomodel.PeerName(server.ID))
	source, err := j.sendPrefill(ctx, grant, server)
	end(err)
	j.reportExchange(mangoexchange.PhasePrefill, server, grant.Lease, began, err)
	if err == nil {
		grant.PrefillDone(time.Since(began))
		lifetime := time.Duration(cacheLifetimeShare * float64(j.service.Engine.HandleLifetime))
		j.cache = &pendingCache{source: source, server: server.ID, expiresAt: time.Now().Add(lifetime)}
		return nil
	}
	grant.PrefillDone(0)
	f := *mangomodel.AsFault(err, mangomodel.StepPrefill)
	j.avoid = append(j.avoid, server.ID)
	if ctx.Err() == nil {
		j.observe(server.ID, prefillOutcome(&f), nil)
		// A prefill that this daemon has cancelled is no sign of a crash.
		if left := j.next != nil; !left && f.Run != mangomodel.RunNot {
			j.recordCrash(ctx, server)
		}
	}
	if f.Run == mangomodel.RunNot && f.Code == mangomodel.CodeUnavailable {
		j.refundRetry(mangoexchange.PhasePrefill)
	}
	// A prefill never counts as a run of the call, whatever its outcome.
	f.Run = mangomodel.RunNot
	return &f
}

// sendPrefill requests the KV cache from a server. A prefill is no run of the call,
// so any call may leave a server that does not respond.
func (j *job) sendPrefill(ctx context.Context, grant *mangobroker.Grant, server mangotraffic.Server) (mangotraffic.KVSource, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := j.newHandover(ctx, server.ID, mangoexchange.PhasePrefill)
	var timer stallTimer = nopTimer{}
	if j.mayLease() {
		timer = j.watch(h, server, cancel, errStalled, mangostall.WithReports(responders{j.relay}))
	}
	timer.Reset(mangostall.PrefillTimeout(grant.Lease.PrefillTime))
	source, err := j.relay.servers.Prefill(ctx, server, j.call)
	timer.Stop()
	j.keep(h, err)
	return source, err
}

func prefillOutcome(f *mangomodel.Fault) mangolease.Outcome {
	switch {
	case f.Code == mangomodel.CodeOverloaded:
		return mangolease.OutcomeFull
	case f.Run == mangomodel.RunNot:
		return mangolease.OutcomeUnreachable
	default:
		return mangolease.OutcomeFailure
	}
}

// generate runs the call at the decode server and relays its events.
func (j *job) generate(ctx context.Context, grant *mangobroker.Grant) error {
	began := time.Now()
	server := grant.Lease.Server
	if err := errors.Join(j.checkParts(), j.checkLease(), j.checkUsable(server.ID)); err != nil {
		return err
	}
	if err := j.takeRetry(ctx, mangoexchange.PhaseRun); err != nil {
		j.releaseCache()
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
	j.reportExchange(mangoexchange.PhaseRun, server, grant.Lease, began, err)
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

// keepUnfetchedCache keeps the KV cache for another server if the call did not
// run. Otherwise the decode server may have fetched it, and j no longer refers to
// it.
func (j *job) keepUnfetchedCache(err error) {
	if j.cache == nil {
		return
	}
	if err != nil && mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot {
		return
	}
	j.cache = nil
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

// recordCacheFetched records that the decode server has fetched the KV cache.
func (j *job) recordCacheFetched() {
	if j.cache == nil {
		return
	}
	j.observe(j.cache.server, mangolease.OutcomeSuccess, nil)
	if j.cache.refusedBy != "" {
		j.observe(j.cache.refusedBy, mangolease.OutcomeFull, nil)
	}
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

// relayEvents relays whole events until the stream is complete. Only progress
// stops the stall timer: a server may repeat events or send comments without end.
func (j *job) relayEvents(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response, stall stallTimer) error {
	resumed, begun := j.headSent, false
	for {
		event, err := resp.Events.Next()
		if errors.Is(err, io.EOF) {
			stall.Stop()
			j.observe(server.ID, mangolease.OutcomeSuccess, resp.Load)
			return j.finishStream(resp.Head)
		}
		if err != nil {
			return j.handleAborted(ctx, server, err)
		}
		if !event.Comment {
			j.received++
			j.endWatch()
		}
		progress := j.isProgress(event)
		if what := j.foreign(event, resumed, resumed && !begun); what != "" {
			return j.handleForeign(server, resp, what)
		}
		if progress {
			stall.Stop()
			if !begun {
				j.relay.paces.add(j.service.Name, time.Since(j.sentAt))
			}
			begun = true
		}
		if progress || event.ID == 0 && !resumed {
			if err := j.relayEvent(resp.Head, event); err != nil {
				return err
			}
		}
		if j.received == 1 && !event.Comment {
			j.recordStart()
		}
		// A stream without event ids cannot continue elsewhere.
		if progress && !j.unnumbered {
			stall.Reset(j.stallTimeout())
		}
	}
}

// foreign returns why an event has no place in the stream, or an empty text. joins
// is set before the first new event of a resumed stream.
func (j *job) foreign(event mangotraffic.Event, resumed, joins bool) string {
	switch {
	case (resumed || j.isNumbered()) && event.ID == 0 && !event.Comment:
		return "an event without an id"
	case joins && !j.sparse && event.ID > j.lastEventID+1:
		return "an event after a gap"
	default:
		return ""
	}
}

// isNumbered reports whether the client has received events and all of them had ids.
func (j *job) isNumbered() bool { return j.result.Events > 0 && !j.unnumbered }

// isProgress reports whether an event is new to the client. An event without an
// id is, unless the stream numbers its events.
func (j *job) isProgress(event mangotraffic.Event) bool {
	if event.ID == 0 {
		return j.lastEventID == 0 && !event.Comment
	}
	return event.ID > j.lastEventID
}

// finishStream sends the head of a stream that had no event.
func (j *job) finishStream(h mangoexchange.Head) error {
	if j.headSent {
		return nil
	}
	return j.sendHead(h)
}

func (j *job) relayEvent(h mangoexchange.Head, event mangotraffic.Event) error {
	if !j.headSent {
		if err := j.sendHead(h); err != nil {
			return err
		}
	}
	if !event.Comment {
		j.recordEvent(event.ID)
	}
	return clientFault(j.sink.Write(event.Raw))
}

// recordEvent records an event with data that is sent to the client.
func (j *job) recordEvent(id mangotraffic.EventID) {
	now := time.Now()
	j.result.LongestPause = max(j.result.LongestPause, now.Sub(j.lastEventAt))
	j.lastEventAt = now
	j.result.Events++
	if j.service.Engine != nil {
		j.grant.AddGenerated(max(j.service.Engine.TokensPerEvent, 1))
	}
	j.unnumbered = j.unnumbered || id == 0
	j.sparse = j.sparse || id > j.lastEventID+1
	j.lastEventID = max(j.lastEventID, id)
}

func (j *job) stallTimeout() time.Duration {
	if j.route.MaxPause == 0 {
		return defaultStallTimeout
	}
	return stallFactor * j.route.MaxPause
}

// releaseCache releases a KV cache that was not fetched, in the background.
func (j *job) releaseCache() {
	if j.cache == nil {
		return
	}
	source, server := j.cache.source, j.cache.server
	j.cache = nil
	if j.relay.fleet.View().Backoff(server, time.Now()) > 0 {
		// It expires at the engine.
		return
	}
	go func() {
		defer mangopanic.Catch(j.relay.observer, "release of a cache")
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		began := time.Now()
		if err := j.relay.servers.ReleaseCache(ctx, source); err != nil {
			j.reportExchange(mangoexchange.PhasePrefill, mangotraffic.Server{ID: server, Address: source.Server.Address}, mangolease.Lease{}, began, err)
		}
	}()
}
