package mangorelay

import (
	"context"
	"errors"
	"io"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// startShare is the part of a stream's target latency that is kept for
	// prefill, transfer and the first event.
	startShare = 0.35
	// streamPatience, in target latencies, is how long a stream may wait for a
	// start. Clients abandon a stream without an event after four.
	streamPatience = 3.0
	// reservationLifetime is long enough for a queued prefill and its
	// transfer.
	reservationLifetime = time.Second
	// firstEventTimeout bounds the wait for the first event after the send. A
	// transfer that would take over two seconds is not started by an engine.
	firstEventTimeout = 2 * time.Second
	// stallFactor times the route's longest pause is how long an engine may
	// stay silent within a stream. Preempted streams pause for about a prefill.
	stallFactor = 3
	// defaultStall is used for routes without a longest pause.
	defaultStall = 2 * time.Second
	// cleanupTimeout bounds the giving back of what an engine holds.
	cleanupTimeout = time.Second
)

// errStalled is the cause of a stream's end when its engine went silent.
var errStalled = errors.New("no event in time")

// stream serves a generation.
func (j *job) stream(ctx context.Context) error {
	for {
		err := j.tryStream(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !j.mayGoOn(err) {
			return err
		}
		if j.needsRetry(err) && j.retry(ctx) != nil {
			return err
		}
	}
}

// needsRetry reports whether a failed attempt reached a server, so that the
// next one counts as a repeat.
func (j *job) needsRetry(error) bool { return j.sent }

func (j *job) tryStream(ctx context.Context) error {
	lease, id, release, err := j.acquire(ctx, j.streamDemand())
	if err != nil {
		return err
	}
	defer release()
	reservation, err := j.reserve(ctx, lease)
	if err != nil {
		return err
	}
	opts := RunOptions{Reservation: reservation, After: j.last, Stream: true}
	if lease.Prefill != nil {
		source, err := j.prefill(ctx, lease)
		j.tell(mangofleet.PrefillDone{Lease: id})
		if err != nil {
			j.cancel(lease.Server, reservation)
			return err
		}
		opts.Source = &source
	}
	return j.generate(ctx, lease, opts)
}

// streamDemand asks for a decode slot and a prefill server. A stream that was
// begun goes first.
func (j *job) streamDemand() mangofleet.Demand {
	target := j.picked.TargetLatency
	d := mangofleet.Demand{
		Request: j.call.ID, Service: j.service.Name, Priority: j.picked.Priority, Generation: j.call.Generation,
		Since: j.call.Arrived, Avoid: j.avoid,
		OnTimeUntil: j.call.Arrived.Add(time.Duration((1 - startShare) * float64(target))),
		Patience:    j.call.Arrived.Add(time.Duration(streamPatience * float64(target))),
	}
	if j.begun {
		d.Priority = -1
		d.OnTimeUntil = j.call.Deadline
		d.Patience = time.Now().Add(defaultStall)
	}
	return d
}

// reserve takes a slot at the decode server.
func (j *job) reserve(ctx context.Context, lease mangofleet.Lease) (mangotraffic.ReservationID, error) {
	began := time.Now()
	lifetime := min(reservationLifetime, j.service.Engine.MaxReservation)
	ctx, end := j.relay.tracer.Start(ctx, mangomodel.StepAdmission, mangomodel.PeerName(lease.Server.ID))
	id, err := j.relay.servers.Reserve(ctx, lease.Server, j.call.Generation.Memory(), lifetime)
	end(err)
	j.exchanged(PhaseReserve, lease.Server, lease, began, err)
	if err == nil {
		return id, nil
	}
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	f.Step, f.Run = mangomodel.StepCall, mangomodel.RunNot
	if f.Code == mangomodel.CodeOverloaded {
		j.observe(lease.Server.ID, mangofleet.ObservedFull)
		// Room at one server says little of the call; only time helps.
		j.attempts--
		return "", f
	}
	j.avoid = append(j.avoid, lease.Server.ID)
	if ctx.Err() == nil {
		j.observe(lease.Server.ID, mangofleet.ObservedUnreachable)
	}
	return "", f
}

// prefill has the prompt's KV cache computed.
func (j *job) prefill(ctx context.Context, lease mangofleet.Lease) (mangotraffic.KVSource, error) {
	began := time.Now()
	j.sent = true
	ctx, end := j.relay.tracer.Start(ctx, mangomodel.StepPrefill, mangomodel.PeerName(lease.Prefill.ID))
	source, err := j.relay.servers.Prefill(ctx, *lease.Prefill, j.call)
	end(err)
	j.exchanged(PhasePrefill, *lease.Prefill, lease, began, err)
	if err == nil {
		j.observe(lease.Prefill.ID, mangofleet.ObservedSuccess)
		return source, nil
	}
	f := mangomodel.AsFault(err, mangomodel.StepPrefill)
	j.avoid = append(j.avoid, lease.Prefill.ID)
	if ctx.Err() == nil {
		j.observe(lease.Prefill.ID, prefillObservation(f))
	}
	// A prefill is not a run, whatever became of it.
	f.Run = mangomodel.RunNot
	return source, f
}

func prefillObservation(f *mangomodel.Fault) mangofleet.Observation {
	switch {
	case f.Code == mangomodel.CodeOverloaded:
		return mangofleet.ObservedFull
	case f.Run == mangomodel.RunNot:
		return mangofleet.ObservedUnreachable
	default:
		return mangofleet.ObservedFailure
	}
}

// generate runs the call at the decode server and passes its events on.
func (j *job) generate(ctx context.Context, lease mangofleet.Lease, opts RunOptions) error {
	began := time.Now()
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(firstEventTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	runCtx, end := j.relay.tracer.Start(runCtx, mangomodel.StepDecode, mangomodel.PeerName(lease.Server.ID))
	answer, err := j.relay.servers.Run(runCtx, lease.Server, j.call, opts)
	if err == nil {
		err = j.passAnswer(runCtx, lease.Server, answer, stall)
	} else {
		err = j.sendFailed(runCtx, lease.Server, err)
	}
	end(err)
	j.exchanged(PhaseRun, lease.Server, lease, began, err)
	if err != nil && j.neverTaken(err) {
		j.cancel(lease.Server, opts.Reservation)
		j.free(opts.Source)
	}
	return err
}

// neverTaken reports whether the server took neither the reservation nor the
// KV cache.
func (j *job) neverTaken(err error) bool {
	return mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot
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

func (j *job) passAnswer(ctx context.Context, server mangotraffic.Server, answer *Answer, stall silenceTimer) error {
	defer answer.Close()
	if answer.NotRun {
		return j.declined(server, answer)
	}
	j.runs++
	if answer.Events == nil {
		return j.passOn(ctx, server, answer)
	}
	return j.passEvents(ctx, server, answer, stall)
}

// passEvents passes whole events on until the stream has ended as complete.
func (j *job) passEvents(ctx context.Context, server mangotraffic.Server, answer *Answer, stall silenceTimer) error {
	for {
		event, err := answer.Events.Next()
		stall.Stop()
		if errors.Is(err, io.EOF) {
			j.observe(server.ID, mangofleet.ObservedSuccess)
			return j.finish(answer.Head)
		}
		if err != nil {
			return j.broke(ctx, server, err)
		}
		if event.ID > j.last || event.ID == 0 {
			if err := j.passEvent(answer.Head, event); err != nil {
				return err
			}
		}
		stall.Reset(j.stallTime())
	}
}

// finish ends a stream, also one without an event.
func (j *job) finish(h Head) error {
	if j.begun {
		return nil
	}
	return j.begin(h)
}

func (j *job) passEvent(h Head, event mangotraffic.Event) error {
	if !j.begun {
		if err := j.begin(h); err != nil {
			return err
		}
	}
	now := time.Now()
	j.result.LongestPause = max(j.result.LongestPause, now.Sub(j.lastAt))
	j.lastAt = now
	j.result.Events++
	j.last = max(j.last, event.ID)
	return clientFault(j.sink.Write(event.Raw))
}

func (j *job) stallTime() time.Duration {
	if j.picked.MaxPause == 0 {
		return defaultStall
	}
	return stallFactor * j.picked.MaxPause
}

// cancel gives a reservation back, in the background.
func (j *job) cancel(server mangotraffic.Server, id mangotraffic.ReservationID) {
	if id == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		began := time.Now()
		if err := j.relay.servers.Cancel(ctx, server, id); err != nil {
			j.exchanged(PhaseReserve, server, mangofleet.Lease{}, began, err)
		}
	}()
}

// free drops a KV cache that was not fetched, in the background.
func (j *job) free(source *mangotraffic.KVSource) {
	if source == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		began := time.Now()
		if err := j.relay.servers.Free(ctx, *source); err != nil {
			j.exchanged(PhasePrefill, mangotraffic.Server{Address: source.Server}, mangofleet.Lease{}, began, err)
		}
	}()
}
