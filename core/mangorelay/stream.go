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
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

const (
	// startShare is the part of a stream's target latency that is kept for
	// prefill, transfer and the first event.
	startShare = 0.35
	// streamPatience, in target latencies, is how long a stream may wait for a
	// start. Clients abandon a stream without an event after four.
	streamPatience = 1.5
	// firstEventTimeout bounds the wait for the first event after the send. A
	// transfer that would take over two seconds is not started by an engine.
	firstEventTimeout = 2 * time.Second
	// stallFactor times the route's longest pause is how long an engine may
	// stay silent within a stream. Preempted streams pause for about a prefill.
	stallFactor = 3
	// defaultStall is used for routes without a longest pause.
	defaultStall = 2 * time.Second
	// handleShare is the part of a KV cache's lifetime after which it is not
	// offered to another server.
	handleShare = 0.7
	// cleanupTimeout bounds the giving back of what an engine holds.
	cleanupTimeout = time.Second
)

// errStalled is the cause of a stream's end when its engine went silent.
var errStalled = errors.New("no event in time")

// stream serves a generation.
func (j *job) stream(ctx context.Context) error {
	defer j.free()
	for {
		err := j.tryStream(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !j.mayGoOn(err) {
			return err
		}
	}
}

// prefilled is a KV cache that was computed and not fetched yet.
type prefilled struct {
	source mangotraffic.KVSource
	server mangomodel.ServerID
	until  time.Time
	// refusedBy is a server that had room and did not run the call.
	refusedBy mangomodel.ServerID
}

func (j *job) tryStream(ctx context.Context) error {
	j.dropOldSource()
	grant, err := j.acquire(ctx, j.streamDemand())
	if err != nil {
		return j.withoutSource(err)
	}
	defer grant.Release()
	if grant.Lease.Prefill != nil {
		if err := j.prefill(ctx, grant); err != nil {
			return err
		}
	}
	return j.generate(ctx, grant)
}

// dropOldSource gives up a KV cache that will have lapsed.
func (j *job) dropOldSource() {
	if j.source != nil && !time.Now().Before(j.source.until) {
		j.free()
	}
}

// withoutSource turns the refusal of a demand for a decode server alone into
// another attempt from the start.
func (j *job) withoutSource(err error) error {
	if j.source == nil || !mangomodel.HasCode(err, mangomodel.CodeOverloaded) {
		return err
	}
	j.free()
	f := *mangomodel.AsFault(err, mangomodel.StepAdmission)
	f.Step = mangomodel.StepTransfer
	return &f
}

// streamDemand asks for a decode slot and a prefill server. A stream that was
// begun goes first.
func (j *job) streamDemand() mangolease.Demand {
	d := mangolease.Demand{Generation: j.call.Generation, Prefilled: j.source != nil}
	age := time.Since(j.call.Arrived)
	target := float64(j.picked.TargetLatency)
	d.OnTimeFor = time.Duration((1-startShare)*target) - age
	d.Patience = time.Duration(streamPatience*target) - age
	if j.begun {
		d.OnTimeFor, d.Patience = defaultStall, defaultStall
	}
	if j.source != nil {
		d.Patience = min(d.Patience, time.Until(j.source.until))
	}
	return d
}

// prefill has the prompt's KV cache computed.
func (j *job) prefill(ctx context.Context, grant *mangobroker.Grant) error {
	began := time.Now()
	server := *grant.Lease.Prefill
	if err := j.mayUse(server.ID); err != nil {
		return err
	}
	if err := j.spend(ctx, mangoexchange.PhasePrefill); err != nil {
		return err
	}
	ctx, end := j.relay.tracer.Start(ctx, mangomodel.StepPrefill, mangomodel.PeerName(server.ID))
	source, err := j.relay.servers.Prefill(ctx, server, j.call)
	end(err)
	j.exchanged(mangoexchange.PhasePrefill, server, grant.Lease, began, err)
	if err == nil {
		grant.PrefillDone(time.Since(began))
		life := time.Duration(handleShare * float64(j.service.Engine.HandleLifetime))
		j.source = &prefilled{source: source, server: server.ID, until: time.Now().Add(life)}
		return nil
	}
	grant.PrefillDone(0)
	f := *mangomodel.AsFault(err, mangomodel.StepPrefill)
	j.avoid = append(j.avoid, server.ID)
	if ctx.Err() == nil {
		j.observe(server.ID, prefillObservation(&f), nil)
	}
	if f.Run == mangomodel.RunNot && f.Code == mangomodel.CodeUnavailable {
		j.refund(mangoexchange.PhasePrefill)
	}
	// A prefill is not a run, whatever became of it.
	f.Run = mangomodel.RunNot
	return &f
}

func prefillObservation(f *mangomodel.Fault) mangolease.Observation {
	switch {
	case f.Code == mangomodel.CodeOverloaded:
		return mangolease.ObservedFull
	case f.Run == mangomodel.RunNot:
		return mangolease.ObservedUnreachable
	default:
		return mangolease.ObservedFailure
	}
}

// generate runs the call at the decode server and passes its events on.
func (j *job) generate(ctx context.Context, grant *mangobroker.Grant) error {
	began := time.Now()
	server := grant.Lease.Server
	if err := j.mayUse(server.ID); err != nil {
		return err
	}
	if err := j.spend(ctx, mangoexchange.PhaseRun); err != nil {
		j.free()
		return err
	}
	opts := mangoexchange.RunOptions{LastEventID: j.last, Stream: true}
	if j.source != nil {
		opts.Source = &j.source.source
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := j.watch(server, func() { cancel(errStalled) })
	stall.Reset(firstEventTimeout)
	defer stall.Stop()
	runCtx, end := j.relay.tracer.Start(runCtx, mangomodel.StepDecode, mangomodel.PeerName(server.ID))
	resp, err := j.relay.servers.Run(runCtx, server, j.call, opts)
	if err == nil {
		err = j.passAnswer(runCtx, server, resp, stall)
	} else {
		err = j.sendFailed(runCtx, server, err)
	}
	end(err)
	j.exchanged(mangoexchange.PhaseRun, server, grant.Lease, began, err)
	j.settleSource(err)
	return err
}

// silenceTimer watches an engine while an event is awaited.
type silenceTimer interface {
	Stop() bool
	Reset(d time.Duration) bool
}

// nobody watches nothing.
type nobody struct{}

func (nobody) Stop() bool               { return true }
func (nobody) Reset(time.Duration) bool { return true }

// watch watches an engine if the stream can go on at another one.
func (j *job) watch(server mangotraffic.Server, cancel func()) silenceTimer {
	if !j.picked.Retryable() {
		return nobody{}
	}
	return mangostall.New(j.relay.servers, server, cancel)
}

// settleSource keeps a KV cache that was not fetched for another server.
func (j *job) settleSource(err error) {
	if j.source == nil {
		return
	}
	if err != nil && mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot {
		return
	}
	j.source = nil
}

// declinedStream handles a decode server that did not run the call: it was
// full, or it could not fetch the KV cache. Where the scheduler knew of room,
// another server is offered the cache, and its answer tells which of both it
// was.
func (j *job) declinedStream(server mangotraffic.Server, resp *mangoexchange.Response) error {
	if j.source == nil || resp.Misdirected || !j.hadRoom() {
		return j.declined(server, resp)
	}
	j.avoid = append(j.avoid, server.ID)
	err := mangomodel.Faultf(mangomodel.StepTransfer, mangomodel.PeerName(server.ID), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"status %d, not run, with room for it", resp.Head.Status)
	if j.source.refusedBy == "" {
		j.source.refusedBy = server.ID
		return err
	}
	// The decode servers had room indeed, so that they may be asked again.
	refused := []mangomodel.ServerID{server.ID, j.source.refusedBy}
	j.avoid = slices.DeleteFunc(j.avoid, func(id mangomodel.ServerID) bool { return slices.Contains(refused, id) })
	j.avoid = append(j.avoid, j.source.server)
	j.observe(j.source.server, mangolease.ObservedCacheLost, nil)
	j.source = nil
	return err
}

// fetched says that the decode server has the KV cache.
func (j *job) fetched() {
	if j.source == nil {
		return
	}
	j.observe(j.source.server, mangolease.ObservedSuccess, nil)
	if j.source.refusedBy != "" {
		j.observe(j.source.refusedBy, mangolease.ObservedFull, nil)
	}
}

// hadRoom reports whether the lease in use was far from filling its server.
func (j *job) hadRoom() bool {
	lease := j.grant.Lease
	const spareSlots, usedShare = 2, 0.75
	return lease.Running+spareSlots <= int(lease.Server.Slots) &&
		float64(lease.Peak) <= usedShare*float64(j.service.Engine.KVTokens)
}

func (j *job) passAnswer(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response, stall silenceTimer) error {
	defer resp.Close()
	if resp.NotRun {
		return j.declinedStream(server, resp)
	}
	j.runs++
	j.fetched()
	if resp.Events == nil {
		return j.passOn(ctx, server, resp)
	}
	return j.passEvents(ctx, server, resp, stall)
}

// passEvents passes whole events on until the stream has ended as complete.
func (j *job) passEvents(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response, stall silenceTimer) error {
	for {
		event, err := resp.Events.Next()
		stall.Stop()
		if errors.Is(err, io.EOF) {
			j.observe(server.ID, mangolease.ObservedSuccess, resp.Load)
			return j.finish(resp.Head)
		}
		if err != nil {
			return j.broke(ctx, server, err)
		}
		if event.ID > j.last || event.ID == 0 {
			if err := j.passEvent(resp.Head, event); err != nil {
				return err
			}
		}
		stall.Reset(j.stallTime())
	}
}

// finish ends a stream, also one without an event.
func (j *job) finish(h mangoexchange.Head) error {
	if j.begun {
		return nil
	}
	return j.begin(h)
}

func (j *job) passEvent(h mangoexchange.Head, event mangotraffic.Event) error {
	if !j.begun {
		if err := j.begin(h); err != nil {
			return err
		}
	}
	now := time.Now()
	j.result.LongestPause = max(j.result.LongestPause, now.Sub(j.lastAt))
	j.lastAt = now
	j.result.Events++
	if j.service.Engine != nil {
		j.grant.AddGenerated(max(j.service.Engine.TokensPerEvent, 1))
	}
	j.last = max(j.last, event.ID)
	return clientFault(j.sink.Write(event.Raw))
}

func (j *job) stallTime() time.Duration {
	if j.picked.MaxPause == 0 {
		return defaultStall
	}
	return stallFactor * j.picked.MaxPause
}

// free drops a KV cache that was not fetched, in the background.
func (j *job) free() {
	if j.source == nil {
		return
	}
	source, server := j.source.source, j.source.server
	j.source = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		began := time.Now()
		if err := j.relay.servers.Free(ctx, source); err != nil {
			j.exchanged(mangoexchange.PhasePrefill, mangotraffic.Server{ID: server, Address: source.Server}, mangolease.Lease{}, began, err)
		}
	}()
}
