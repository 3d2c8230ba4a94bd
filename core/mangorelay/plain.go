package mangorelay

import (
	"context"
	"errors"
	"io"
	"time"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// maxSends bounds how many servers one call is offered to, whether they
	// ran it or not.
	maxSends = 4
	// maxBuffered is the largest answer that is read whole before it is passed
	// on, so that a broken one can still be replaced.
	maxBuffered = 256 << 10
	// queuePatience is the share of the target latency that a call may wait
	// for a server before it is refused.
	queuePatience = 0.5
	// silenceFactor times the target latency is how long a server of a
	// repeatable call may stay silent before another one is tried.
	silenceFactor = 1.5
)

// plain serves a call that one server answers.
func (j *job) plain(ctx context.Context) error {
	for {
		err := j.tryPlain(ctx)
		if err == nil || j.begun || ctx.Err() != nil {
			return err
		}
		if !j.mayGoOn(err) {
			return err
		}
	}
}

// mayGoOn reports whether a call that failed may be sent to another server.
func (j *job) mayGoOn(err error) bool {
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	if f.Step == mangomodel.StepAdmission || int(j.attempts) >= maxSends {
		return false
	}
	if f.Run == mangomodel.RunNot {
		return true
	}
	return j.picked.Retryable() && j.runs < j.picked.MaxAttempts
}

func (j *job) tryPlain(ctx context.Context) error {
	now := time.Now()
	patience := time.Duration(queuePatience * float64(j.picked.TargetLatency))
	grant, err := j.acquire(ctx, mangolease.Demand{OnTimeFor: patience, Patience: patience})
	if err != nil {
		return err
	}
	defer grant.Release()
	lease := grant.Lease
	runCtx, cancel := j.silenceBound(ctx)
	defer cancel()
	runCtx, end := j.relay.tracer.Start(runCtx, mangomodel.StepCall, mangomodel.PeerName(lease.Server.ID))
	err = j.exchange(runCtx, lease)
	end(err)
	j.exchanged(mangoexchange.PhaseRun, lease.Server, lease, now, err)
	return err
}

// silenceBound bounds an attempt that another one can follow.
func (j *job) silenceBound(ctx context.Context) (context.Context, context.CancelFunc) {
	if !j.picked.Retryable() || j.runs+1 >= j.picked.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, time.Duration(silenceFactor*float64(j.picked.TargetLatency)), errSilent)
}

// errSilent is the cause of an attempt's end when its server did not answer.
var errSilent = errors.New("no answer in time")

// exchange sends the call and passes the answer on.
func (j *job) exchange(ctx context.Context, lease mangolease.Lease) error {
	if err := j.spend(ctx, mangoexchange.PhaseRun); err != nil {
		return err
	}
	opts := mangoexchange.RunOptions{LastEventID: j.last, Stream: j.picked.Kind == mangotraffic.KindStreaming}
	resp, err := j.relay.servers.Run(ctx, lease.Server, j.call, opts)
	if err != nil {
		return j.sendFailed(ctx, lease.Server, err)
	}
	return j.passAnswer(ctx, lease.Server, resp, nobody{})
}

// passOn reads the answer and passes it on. A small one is read whole first.
func (j *job) passOn(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return j.broke(ctx, server, err)
	}
	if err := j.begin(resp.Head); err != nil {
		return err
	}
	if err := clientFault(j.sink.Write(data)); err != nil {
		return err
	}
	if len(data) == maxBuffered {
		return j.passRest(ctx, server, resp)
	}
	j.observe(server.ID, mangolease.ObservedSuccess, resp.Load)
	return nil
}

func (j *job) passRest(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response) error {
	part := make([]byte, maxBuffered)
	for {
		n, err := resp.Body.Read(part)
		if n > 0 {
			if err := clientFault(j.sink.Write(part[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			j.observe(server.ID, mangolease.ObservedSuccess, resp.Load)
			return nil
		}
		if err != nil {
			return j.broke(ctx, server, err)
		}
	}
}

// declined handles an answer that says "not run".
func (j *job) declined(server mangotraffic.Server, resp *mangoexchange.Response) error {
	saw := mangolease.ObservedFull
	if resp.Misdirected {
		saw = mangolease.ObservedMisdirected
	}
	j.observe(server.ID, saw, resp.Load)
	j.avoid = append(j.avoid, server.ID)
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"status %d, not run", resp.Head.Status)
}

// sendFailed handles a call without an answer.
func (j *job) sendFailed(ctx context.Context, server mangotraffic.Server, err error) error {
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	j.avoid = append(j.avoid, server.ID)
	if f.Run == mangomodel.RunNot {
		j.observe(server.ID, mangolease.ObservedUnreachable, nil)
		j.refund(mangoexchange.PhaseRun)
		return f
	}
	j.runs++
	return j.broke(ctx, server, f)
}

// broke handles an answer that broke off. The end of the call's own time is
// no fault of the server.
func (j *job) broke(ctx context.Context, server mangotraffic.Server, err error) error {
	j.avoid = append(j.avoid, server.ID)
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errSilent) || errors.Is(cause, errStalled) {
		j.observe(server.ID, mangolease.ObservedFailure, nil)
	}
	if cause == nil {
		j.tell(mangofleet.CallAborted{Call: j.call.Fingerprint})
	}
	f := *mangomodel.AsFault(err, mangomodel.StepCall)
	f.Run = mangomodel.RunUnknown
	if f.Peer == "" {
		f.Peer = mangomodel.PeerName(server.ID)
	}
	return &f
}
