package mangorelay

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

// handover secures the continuation of a stalled exchange at another server: a
// lease, and the retries that the continuation takes from the budget. An exchange
// that nothing can replace is not given up. Its methods are called on the
// watchdog's goroutine, so it does not access the job's changing state.
type handover struct {
	ctx    context.Context
	relay  *Relay
	demand mangolease.Demand
	// origin is that of the job, which the exchange may set; nil if it has none.
	origin *origin
	// phases are those of the continuation, each of which takes a retry.
	phases []mangoexchange.Phase
	// passage is nil for a stream that had begun before the exchange.
	passage *passage
	began   time.Time
	grant   *mangobroker.Grant
	// responsive is set if the engine of the exchange still responded when the continuation
	// was secured.
	responsive bool
	// done is set once the exchange was cancelled in favour of the continuation.
	done bool
}

// newHandover returns the handover of an exchange with a server that begins now. Its
// continuation consists of some phases.
func (j *job) newHandover(ctx context.Context, server mangomodel.ServerID, phases ...mangoexchange.Phase) *handover {
	d := j.completeDemand(mangolease.Demand{OnTimeFor: defaultStallTimeout, Patience: defaultStallTimeout, Standby: true})
	d.Avoid = append(append([]mangomodel.ServerID(nil), j.avoid...), server)
	if j.service.Engine != nil {
		d.Generation = j.call.Generation
	}
	h := &handover{ctx: ctx, relay: j.relay, demand: d, origin: &j.origin, phases: phases, began: time.Now()}
	if !j.headSent {
		p := j.passage()
		h.passage = &p
	}
	return h
}

// Secure implements [mangostall.Successor]. A demand that waits delays others, so one
// of a server that still responds is granted at once or refused.
func (h *handover) Secure(wait bool) error {
	if err := h.checkStop(); err != nil {
		return err
	}
	// A command may be applied although its context has ended.
	ctx := context.WithoutCancel(h.ctx)
	for i := range h.phases {
		if err := h.relay.fleet.Do(ctx, mangofleet.TakeRetry{Service: h.demand.Service}); err != nil {
			h.refund(i)
			return err
		}
	}
	d := h.demand
	if h.origin != nil {
		h.origin.bind(&d)
	}
	d.Age += time.Since(h.began)
	if !wait {
		d.Patience = 0
	}
	grant, err := h.relay.broker.Acquire(h.ctx, d)
	if err != nil {
		h.refund(len(h.phases))
		return err
	}
	h.grant, h.responsive = grant, !wait
	if err := h.checkStop(); err != nil {
		// The wait for the lease has taken too long.
		h.Withdraw()
		return err
	}
	return nil
}

// checkStop returns a fault if the daemon stops and the continuation would not be sent, or
// if the build of the stream is not known.
func (h *handover) checkStop() error {
	if h.origin != nil {
		if err := h.origin.check(); err != nil {
			return err
		}
	}
	if h.passage == nil {
		return nil
	}
	return h.passage.check()
}

// Withdraw implements [mangostall.Successor].
func (h *handover) Withdraw() {
	h.grant.Release()
	h.refund(len(h.phases))
}

func (h *handover) refund(n int) {
	for range n {
		// It fails only when the process ends.
		_ = h.relay.fleet.Do(context.WithoutCancel(h.ctx), mangofleet.RefundRetry{Service: h.demand.Service})
	}
}

// stallTimer monitors an exchange for the time without an event.
type stallTimer interface {
	Stop() bool
	Reset(d time.Duration) bool
}

// nopTimer never expires.
type nopTimer struct{}

func (nopTimer) Stop() bool               { return true }
func (nopTimer) Reset(time.Duration) bool { return true }

// responseTimer monitors an exchange until its response begins.
type responseTimer struct{ *mangostall.Watchdog }

// Reset does nothing, since a response that has begun cannot be replaced.
func (responseTimer) Reset(time.Duration) bool { return true }

// mayRunAgain reports whether a call that is being run may be sent to another server.
func (j *job) mayRunAgain() bool {
	return j.route.Retryable() && j.mayLease() && j.runs+1 < j.route.MaxAttempts
}

// watch returns a watchdog that cancels an exchange with cause once a handover is
// secured.
func (j *job) watch(h *handover, server mangotraffic.Server, cancel context.CancelCauseFunc, cause error, opts ...mangostall.Option) *mangostall.Watchdog {
	opts = append(opts, mangostall.WithObserver(stallObserver{j.relay.observer, j.call.ID}))
	return mangostall.New(server, h, func() {
		h.done = true
		cancel(cause)
	}, opts...)
}

// stallObserver adds the request to the stalls of its exchanges.
type stallObserver struct {
	Observer
	request mangomodel.RequestID
}

// Stalled implements [mangostall.Observer].
func (o stallObserver) Stalled(s mangostall.Stall) { o.ExchangeStalled(o.request, s) }

// keep keeps what a handover has secured for the next attempt, unless the exchange
// ended with err nil after all or has left a KV cache that another server can fetch.
// The exchange's watchdog has been stopped.
func (j *job) keep(h *handover, err error) {
	switch {
	case !h.done:
	case err == nil || j.cache != nil:
		h.Withdraw()
	default:
		j.next = h
	}
}

// takeNext returns the secured lease, if there is one that has not run out.
func (j *job) takeNext() *mangobroker.Grant {
	h := j.next
	if h == nil {
		return nil
	}
	j.next = nil
	// The first event may have been received while the lease was secured.
	if !h.grant.Valid() || !j.origin.allows(h.grant.Lease.Server) {
		h.Withdraw()
		return nil
	}
	for _, phase := range h.phases {
		j.paid[phase] = true
	}
	return h.grant
}

// releaseNext returns a secured lease and paid retries that were not used.
func (j *job) releaseNext() {
	if j.next != nil {
		j.next.Withdraw()
		j.next = nil
	}
	for phase, paid := range j.paid {
		if paid {
			j.paid[phase] = false
			j.apply(mangofleet.RefundRetry{Service: j.service.Name})
		}
	}
}

// paces holds how long the streams of each service take to begin. The traffic
// goroutines share it, so a lock guards it.
type paces struct {
	mu   sync.Mutex
	list map[mangotraffic.ServiceName]*mangostall.Pace
}

func (p *paces) of(name mangotraffic.ServiceName) *mangostall.Pace {
	if p.list == nil {
		p.list = make(map[mangotraffic.ServiceName]*mangostall.Pace)
	}
	pace, ok := p.list[name]
	if !ok {
		pace = &mangostall.Pace{}
		p.list[name] = pace
	}
	return pace
}

func (p *paces) add(name mangotraffic.ServiceName, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(name).Add(took)
}

func (p *paces) timeout(name mangotraffic.ServiceName) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(name).Timeout()
}
