package mangorelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoshutdown"
	"mangolane/core/mangotraffic"
)

// returnDelay is the Retry-After of calls that a shutdown refuses: another daemon can
// take them at once.
const returnDelay = 50 * time.Millisecond

// shutdown is the relay's part in the graceful shutdown of the daemon.
type shutdown struct {
	plan atomic.Pointer[mangoshutdown.Plan]
	// draining ends when Drain is called, and stopping when Stop is.
	draining, stopping context.Context
	drain              context.CancelFunc
	stop               context.CancelCauseFunc

	// mu guards durations, which the traffic goroutines share.
	mu        sync.Mutex
	durations map[mangotraffic.ServiceName]*mangoshutdown.Durations
}

func newShutdown() *shutdown {
	s := &shutdown{durations: make(map[mangotraffic.ServiceName]*mangoshutdown.Durations)}
	s.draining, s.drain = context.WithCancel(context.Background())
	s.stopping, s.stop = context.WithCancelCause(context.Background())
	return s
}

// Drain makes the relay refuse calls that the shutdown's plan does not allow.
func (r *Relay) Drain(p mangoshutdown.Plan) {
	r.shutdown.plan.Store(&p)
	r.shutdown.drain()
}

// Stop ends the calls in progress, and later ones, with a fault.
func (r *Relay) Stop() { r.shutdown.stop(stoppedFault()) }

// Stopping returns a context that ends when Stop is called. Its cause is then the fault of
// calls that have not been served.
func (r *Relay) Stopping() context.Context { return r.shutdown.stopping }

func stoppedFault() *mangomodel.Fault {
	f := mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunNot, errStopped)
	f.RetryAfter = returnDelay
	return f
}

// record adds the duration of a call that ended well.
func (s *shutdown) record(service mangotraffic.ServiceName, took time.Duration, size mangomodel.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.durations[service]
	if !ok {
		d = &mangoshutdown.Durations{}
		s.durations[service] = d
	}
	d.Add(took, size)
}

func (s *shutdown) longest(service mangotraffic.ServiceName, size mangomodel.Tokens) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.durations[service]; ok {
		return d.Longest(size)
	}
	return 0
}

// passage is what the shutdown needs to know of a call. It does not change while the
// call is served.
type passage struct {
	shutdown *shutdown
	service  mangotraffic.ServiceName
	size     mangomodel.Tokens
	received time.Time
	deadline time.Time
}

// passage returns the call's passage. Its route and deadline are known.
func (j *job) passage() passage {
	p := passage{shutdown: j.relay.shutdown, service: j.service.Name, size: 1, received: j.receivedAt, deadline: j.call.Deadline}
	if j.call.Generation != nil {
		p.size = j.call.Generation.MaxOutput
	}
	return p
}

// check returns a fault if the daemon stops and the call may not be sent any more.
func (p passage) check() error {
	if p.shutdown.stopping.Err() != nil {
		return stoppedFault()
	}
	plan := p.shutdown.plan.Load()
	if plan == nil {
		return nil
	}
	longest := p.shutdown.longest(p.service, p.size)
	until := plan.SendUntil(mangoshutdown.Call{Received: p.received, Deadline: p.deadline, Longest: longest})
	now := time.Now()
	if now.Before(until) {
		return nil
	}
	f := mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunNot,
		"the daemon stops: its calls are answered in %v, this one came %v after the signal, may go on for %v and is likely to take up to %v",
		plan.Answer().Sub(now).Round(time.Millisecond), p.received.Sub(plan.Began()).Round(time.Millisecond),
		p.deadline.Sub(now).Round(time.Millisecond), longest.Round(time.Millisecond))
	f.RetryAfter = returnDelay
	return f
}

// limit returns a context that ends when the call may not be sent any more, with the fault
// as its cause, and a function that releases it.
func (p passage) limit(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.shutdown.draining, func() {
		ticker := time.NewTicker(stopCheckInterval)
		defer ticker.Stop()
		for {
			if err := p.check(); err != nil {
				cancel(err)
				return
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// awaitGrant waits for a lease until the call may not be sent any more.
func (j *job) awaitGrant(ctx context.Context, d mangolease.Demand) (*mangobroker.Grant, error) {
	limited := ctx
	if !j.headSent {
		var end func()
		limited, end = j.passage().limit(ctx)
		defer end()
	}
	grant, err := j.relay.broker.Acquire(limited, j.completeDemand(d))
	if err == nil {
		return grant, nil
	}
	if ctx.Err() == nil && limited.Err() != nil {
		// The check may pass again, by what calls have taken meanwhile.
		return nil, context.Cause(limited)
	}
	if stop := j.checkStop(); stop != nil {
		return nil, stop
	}
	return nil, err
}

// checkStop returns a fault if the daemon stops and the call may not be sent any more. A
// stream that has begun cannot be refused.
func (j *job) checkStop() error {
	if j.headSent {
		return nil
	}
	return j.passage().check()
}

// stopCheckInterval is how often a shutdown checks whether a call may wait on.
const stopCheckInterval = 50 * time.Millisecond
