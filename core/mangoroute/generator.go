package mangoroute

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangomodel"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// cleanupTimeout bounds the release of a grant after an attempt.
	cleanupTimeout = 5 * time.Second
	// cancelTimeout bounds the cancelling of a sequence.
	cancelTimeout = time.Second
)

// Generator serves generation requests.
type Generator struct {
	control    Control
	schedulers Schedulers
	engines    Engines
	tracer     Tracer
	observer   Observer
	grants     atomic.Uint64
}

// Option configures a Generator.
type Option func(*Generator)

// WithTracer sets where spans go.
func WithTracer(t Tracer) Option { return func(g *Generator) { g.tracer = t } }

// WithObserver sets where results are counted.
func WithObserver(o Observer) Option { return func(g *Generator) { g.observer = o } }

// New returns a Generator.
func New(control Control, schedulers Schedulers, engines Engines, opts ...Option) *Generator {
	g := &Generator{
		control: control, schedulers: schedulers, engines: engines,
		tracer: noTracer{}, observer: noObserver{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// run is one request on its way.
type run struct {
	request Request
	sink    Sink
	started time.Time
	// first and last are when the first and the newest token were passed on.
	first, last time.Time
	// next is the offset of the next token to pass on.
	next      mangomodel.Tokens
	generated []byte
	attempt   mangomodel.Attempt
	avoid     []mangomodel.ServerID
	// asked is set once an engine was asked to do anything.
	asked bool
	done  bool
}

// Generate serves a request and returns when its last token was passed on. It
// fails with a fault; one with RunNot means that no engine was asked.
func (g *Generator) Generate(ctx context.Context, req Request, sink Sink) error {
	r := &run{request: req, sink: sink, started: time.Now()}
	err := g.attempts(ctx, r)
	if ctx.Err() != nil && err != nil {
		err = mangomodel.NewFault(mangomodel.StepRespond, "", mangomodel.CodeCancelled, mangomodel.RunUnknown, context.Cause(ctx))
	}
	g.observer.Finished(r.result(err))
	return err
}

// attempts tries until the answer is whole or a new attempt makes no sense.
func (g *Generator) attempts(ctx context.Context, r *run) error {
	for {
		r.attempt++
		err := g.attemptOnce(ctx, r)
		if err == nil || !g.again(ctx, r, err) {
			return r.classify(err)
		}
	}
}

// again reports whether a failed attempt is to be followed by another.
func (g *Generator) again(ctx context.Context, r *run, err error) bool {
	if ctx.Err() != nil || r.attempt >= maxAttempts {
		return false
	}
	var refused *refusal
	if errors.As(err, &refused) {
		return false
	}
	if mangomodel.HasCode(err, mangomodel.CodePreempted) {
		return true
	}
	return g.control.Do(ctx, mangocommand.SpendRetry{Workspace: r.request.Workspace.ID}) == nil
}

// classify makes sure that a fault says "not run" only when that is true.
func (r *run) classify(err error) error {
	if err == nil {
		return nil
	}
	f := *mangomodel.AsFault(err, mangomodel.StepAdmission)
	if r.asked && f.Run == mangomodel.RunNot {
		f.Run = mangomodel.RunUnknown
	}
	return &f
}

// attemptOnce takes the request once through grant, prefill, transfer and
// decode.
func (g *Generator) attemptOnce(ctx context.Context, r *run) error {
	l, err := g.acquire(ctx, r)
	if err != nil {
		return &refusal{err}
	}
	r.asked = true
	a := &attempt{lease: l, run: r, avoidBefore: slices.Clone(r.avoid)}
	err = g.serve(ctx, a)
	if released := g.settle(ctx, a, err); err != nil && mangomodel.HasCode(released, mangomodel.CodePreempted) {
		r.avoid = a.avoidBefore
		return released
	}
	return err
}

// serve runs the steps that need engines.
func (g *Generator) serve(ctx context.Context, a *attempt) error {
	for _, step := range []func(context.Context, *attempt) error{g.prefill, g.transfer, g.decode} {
		if err := step(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// settle frees the engines and gives the grant back. It runs to its end even
// when the caller is gone, and returns what became of the release. A server that
// does not answer takes no time from the release.
func (g *Generator) settle(ctx context.Context, a *attempt, err error) error {
	ctx = context.WithoutCancel(ctx)
	if a.prefilled && !a.decoded {
		g.observer.PrefillWasted(a.usage.PrefillTokens)
	}
	if err != nil {
		g.cancelSequence(ctx, a.lease.grant)
	}
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	return g.release(ctx, a.lease, a.usage)
}

// cancelSequence frees the memory of a failed attempt on both engines.
func (g *Generator) cancelSequence(ctx context.Context, grant mangomodel.Grant) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	var running sync.WaitGroup
	for _, id := range []mangomodel.ServerID{grant.Prefill, grant.Decode} {
		if server, ok := g.control.Snapshot().Server(id); ok {
			// A failed cancel is made up for by the scheduler's sweep.
			running.Go(func() { _ = g.engines.Cancel(ctx, server, grant.Sequence) })
		}
	}
	running.Wait()
}

// refusal is an error of admission, after which the request is not retried.
type refusal struct{ err error }

func (r *refusal) Error() string { return r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

// result sums the request up.
func (r *run) result(err error) Result {
	res := Result{Request: r.request, Tokens: r.next, Err: err}
	if !r.first.IsZero() {
		res.TTFT = r.first.Sub(r.started)
	}
	if r.next > 1 {
		res.TPOT = r.last.Sub(r.first) / time.Duration(r.next-1)
	}
	return res
}

// nextGrant returns a new grant id.
func (g *Generator) nextGrant() mangomodel.GrantID {
	self := g.control.Snapshot().Self
	return mangomodel.GrantID{Holder: self.Holder(), Number: g.grants.Add(1)}
}

type noTracer struct{}

func (noTracer) Start(ctx context.Context, _ mangomodel.Step, _ mangomodel.PeerName) (context.Context, func(error)) {
	return ctx, func(error) {}
}

type noObserver struct{}

func (noObserver) Finished(Result)                 {}
func (noObserver) PrefillDone(mangomodel.Tokens)   {}
func (noObserver) PrefillWasted(mangomodel.Tokens) {}
