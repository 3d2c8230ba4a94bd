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
	// cancelTimeout bounds the cancellation of a sequence.
	cancelTimeout = time.Second
)

// Generator serves generation requests.
type Generator struct {
	control    Control
	schedulers Schedulers
	engines    Engines
	tracer     Tracer
	observer   Observer
	lastGrant  atomic.Uint64
}

// Option configures a Generator.
type Option func(*Generator)

// WithTracer sets the tracer that records the spans; the default records none.
func WithTracer(t Tracer) Option { return func(g *Generator) { g.tracer = t } }

// WithObserver sets the observer of results; the default ignores them.
func WithObserver(o Observer) Option { return func(g *Generator) { g.observer = o } }

// New returns a Generator.
func New(control Control, schedulers Schedulers, engines Engines, opts ...Option) *Generator {
	g := &Generator{
		control: control, schedulers: schedulers, engines: engines,
		tracer: nopTracer{}, observer: nopObserver{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// requestState is the state of one request across its attempts.
type requestState struct {
	request Request
	sink    Sink
	started time.Time
	// first and last are the times at which the first and the newest token
	// were delivered to the sink.
	first, last time.Time
	// next is the offset of the next token to deliver.
	next mangomodel.Tokens
	// build is the build of the engine that generated the delivered tokens.
	build     mangomodel.Build
	generated []byte
	attempt   mangomodel.Attempt
	avoid     []mangomodel.ServerID
	// dispatched is set once a grant was acquired. From then on an engine may
	// have received a request.
	dispatched bool
	done       bool
}

// Generate serves a request and returns when its last token was delivered to
// the sink. Its errors are faults; RunNot means that no engine received a
// request.
func (g *Generator) Generate(ctx context.Context, req Request, sink Sink) error {
	r := &requestState{request: req, sink: sink, started: time.Now()}
	err := g.runAttempts(ctx, r)
	if ctx.Err() != nil && err != nil {
		err = r.cancelled(context.Cause(ctx))
	}
	g.observer.RequestFinished(r.result(err))
	return err
}

// cancelled returns the fault of a request whose context has ended. A cause that is a
// fault comes from this daemon: the client is there and learns whether the request may
// have run.
func (r *requestState) cancelled(cause error) error {
	var f *mangomodel.Fault
	switch {
	case !errors.As(cause, &f):
		return mangomodel.NewFault(mangomodel.StepRespond, "", mangomodel.CodeCancelled, mangomodel.RunUnknown, cause)
	case r.dispatched:
		return mangomodel.NewFault(mangomodel.StepRespond, "", mangomodel.CodeUnknownOutcome, mangomodel.RunUnknown, cause)
	default:
		return f
	}
}

// runAttempts runs attempts until the response is complete or must not be
// retried.
func (g *Generator) runAttempts(ctx context.Context, r *requestState) error {
	for {
		r.attempt++
		err := g.runAttempt(ctx, r)
		if err == nil || !g.shouldRetry(ctx, r, err) {
			return r.classify(err)
		}
	}
}

// shouldRetry reports whether another attempt follows a failed one. An attempt
// after a preemption is not charged to the retry budget.
func (g *Generator) shouldRetry(ctx context.Context, r *requestState, err error) bool {
	if ctx.Err() != nil || r.attempt >= maxAttempts {
		return false
	}
	var admissionErr *admissionError
	if errors.As(err, &admissionErr) {
		return false
	}
	if mangomodel.HasCode(err, mangomodel.CodePreempted) {
		return true
	}
	return g.control.Do(ctx, mangocommand.SpendRetry{Workspace: r.request.Workspace.ID}) == nil
}

// classify returns err as a fault. It replaces RunNot by RunUnknown if an
// engine may have received a request.
func (r *requestState) classify(err error) error {
	if err == nil {
		return nil
	}
	f := *mangomodel.AsFault(err, mangomodel.StepAdmission)
	if r.dispatched && f.Run == mangomodel.RunNot {
		f.Run = mangomodel.RunUnknown
	}
	return &f
}

// runAttempt runs one attempt: grant, prefill, transfer and decode.
func (g *Generator) runAttempt(ctx context.Context, r *requestState) error {
	l, err := g.acquire(ctx, r)
	if err != nil {
		return &admissionError{err}
	}
	r.dispatched = true
	a := &attempt{lease: l, state: r, previousAvoid: slices.Clone(r.avoid)}
	err = g.runSteps(ctx, a)
	if releaseErr := g.finishAttempt(ctx, a, err); err != nil && mangomodel.HasCode(releaseErr, mangomodel.CodePreempted) {
		r.avoid = a.previousAvoid
		return releaseErr
	}
	return err
}

// runSteps runs the steps of an attempt that use engines.
func (g *Generator) runSteps(ctx context.Context, a *attempt) error {
	for _, step := range []func(context.Context, *attempt) error{g.prefill, g.transfer, g.decode} {
		if err := step(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// finishAttempt cancels a failed sequence on the engines and releases the grant.
// It completes even if ctx was cancelled, and returns the error of the release.
// The release has a timeout of its own, so an engine that does not respond to the
// cancellation does not shorten it.
func (g *Generator) finishAttempt(ctx context.Context, a *attempt, err error) error {
	ctx = context.WithoutCancel(ctx)
	if a.prefilled && !a.receivedChunk {
		g.observer.PrefillWasted(a.usage.PrefillTokens)
	}
	if a.usage.Refused != "" {
		// Fails only if the control goroutine has ended.
		_ = g.control.Do(ctx, mangocommand.MarkBackoff{Server: a.usage.Refused, For: a.usage.Backoff})
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
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range []mangomodel.ServerID{grant.Prefill, grant.Decode} {
		if server, ok := g.control.Snapshot().Server(id); ok {
			// If the cancellation fails, the scheduler's sweep of orphaned
			// requests cancels the sequence.
			wg.Go(func() { _ = g.engines.Cancel(ctx, server, grant.Sequence) })
		}
	}
	wg.Wait()
}

// admissionError is an error of admission, after which the request is not
// retried.
type admissionError struct{ err error }

func (e *admissionError) Error() string { return e.err.Error() }
func (e *admissionError) Unwrap() error { return e.err }

// result returns the summary of the request.
func (r *requestState) result(err error) Result {
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
	return mangomodel.GrantID{Holder: self.Holder(), Number: g.lastGrant.Add(1)}
}

type nopTracer struct{}

func (nopTracer) Start(ctx context.Context, _ mangomodel.Step, _ mangomodel.PeerName) (context.Context, func(error)) {
	return ctx, func(error) {}
}

type nopObserver struct{}

func (nopObserver) RequestFinished(Result)          {}
func (nopObserver) PrefillDone(mangomodel.Tokens)   {}
func (nopObserver) PrefillWasted(mangomodel.Tokens) {}
