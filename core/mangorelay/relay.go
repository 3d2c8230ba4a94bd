package mangorelay

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoreturn"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

// Relay forwards calls to backend servers.
type Relay struct {
	fleet    Fleet
	broker   Broker
	servers  Servers
	observer Observer
	tracer   Tracer
	memory   Memory
	// origins is nil if resumed streams may continue at any build.
	origins Origins
	active  atomic.Int64
	paces   paces
	// unconfirmed are the servers that may have restarted since they were listed.
	unconfirmed unconfirmed
	shutdown    *shutdown
}

// Active returns the number of calls in progress.
func (r *Relay) Active() int { return int(r.active.Load()) }

// Option configures a Relay.
type Option func(*Relay)

// WithObserver sets the observer of exchanges and calls.
func WithObserver(o Observer) Option { return func(r *Relay) { r.observer = o } }

// WithTracer sets the tracer that starts the spans of calls.
func WithTracer(t Tracer) Option { return func(r *Relay) { r.tracer = t } }

// WithMemory sets the memory that response bodies take before they are sent.
func WithMemory(m Memory) Option { return func(r *Relay) { r.memory = m } }

// WithOrigins sets what is known of the builds at which streams began. Without it a
// stream that a client resumes continues at any server; within a response it continues
// at the build that began it.
func WithOrigins(o Origins) Option { return func(r *Relay) { r.origins = o } }

// New returns a Relay.
func New(fleet Fleet, broker Broker, servers Servers, opts ...Option) *Relay {
	r := &Relay{
		fleet: fleet, broker: broker, servers: servers, observer: nopObserver{}, tracer: nopTracer{},
		memory: mangomemory.New(0), shutdown: newShutdown(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// maxRetryAfterShare bounds the Retry-After delay as a share of the client's
// remaining time: clients wait for up to a third of that.
const maxRetryAfterShare = mangoreturn.LimitShare

// defaultMaxOutput is assumed for generations whose client sets no bound.
const defaultMaxOutput mangomodel.Tokens = 4096

// defaultTimeout bounds a call if neither its client nor its route does.
const defaultTimeout = time.Minute

// errClientDisconnected is joined to a failed write to the client.
var errClientDisconnected = errors.New("client disconnected")

// errStopped is the cancellation cause of a call that Stop has ended.
var errStopped = errors.New("the daemon stops")

// errTimeout is the cancellation cause of a call whose deadline has passed.
var errTimeout = errors.New("call deadline exceeded")

// Serve forwards a call to a server and writes the response to the sink. It
// returns nil once the complete response was written. A fault with RunNot
// guarantees that no server has run the call or will run it.
func (r *Relay) Serve(ctx context.Context, call *mangotraffic.Call, sink Sink) error {
	r.active.Add(1)
	defer r.active.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(r.shutdown.stopping, func() { cancel(errStopped) })()
	j := &job{relay: r, call: call, sink: sink, receivedAt: time.Now(), stated: call.Generation, endWatch: func() {}, result: mangoexchange.Result{Call: call}}
	err := j.resolveRoute(j.syncedView(ctx))
	if err == nil {
		err = j.serve(r.tracer.RequestContext(ctx, call.ID))
		j.refundQuota(err)
	}
	j.result.Err = err
	j.result.Took = time.Since(call.Arrived)
	r.observer.CallFinished(j.result)
	return err
}

// job is the state of one call while it is served.
type job struct {
	relay *Relay
	call  *mangotraffic.Call
	sink  Sink
	// clientDeadline is when the client stops waiting, which may be later than
	// the route's timeout.
	clientDeadline time.Time
	route          *mangotraffic.Route
	service        *mangotraffic.Service
	// receivedAt is when the whole request was received.
	receivedAt time.Time
	// stated is what the client has stated of its generation, or nil. chargedAt is when the
	// call was charged to its workspace.
	stated    *mangotraffic.Generation
	chargedAt time.Time
	// charged is the workspace that was charged. A key that is moved to another one
	// changes the workspace of the call.
	charged mangomodel.WorkspaceID
	// runs counts the servers that may have run the call.
	runs int
	// attempts counts the leases acquired.
	attempts mangomodel.Attempt
	// unreached counts those whose server could not be reached.
	unreached mangomodel.Attempt
	// rejected is set once a server has stated that it did not run the call.
	rejected bool
	// sends counts the requests sent in each phase.
	sends [mangoexchange.NumPhases]int
	// avoid lists the servers that further demands exclude.
	avoid []mangomodel.ServerID
	// cache is a KV cache that was computed but not yet fetched.
	cache *pendingCache
	// spent is the last prefill while its use is not complete.
	spent *spentPrefill
	// grant is the lease in use, which was acquired at leasedAt.
	grant    *mangobroker.Grant
	leasedAt time.Time
	// probe is set if the call crashed too many servers, and the lease in use was granted
	// to find out whether it still does.
	probe bool
	// next is the secured continuation of an exchange that was cancelled, and paid
	// marks the phases whose next request is charged to the retry budget already.
	next *handover
	paid [mangoexchange.NumPhases]bool
	// sentAt is when the call was last sent to run.
	sentAt time.Time
	// start ends a stream that does not begin in time.
	start *time.Timer
	// headSent is set once the response head was passed to the sink.
	headSent bool
	// lastEventID is the last event that was sent to the client.
	lastEventID mangotraffic.EventID
	lastEventAt time.Time
	// origin is the build of the events up to lastEventID.
	origin origin
	// received counts the events with data of the exchange in progress.
	received int
	// endWatch ends the watch for quarantined parts.
	endWatch func()
	// unnumbered is set once an event without an id was sent to the client, after
	// which the stream cannot be resumed.
	unnumbered bool
	// sparse is set once the ids of events that were sent to the client were not
	// consecutive, after which a gap does not show a missing event.
	sparse bool
	result mangoexchange.Result
}

// resolveRoute determines the call's route and service.
func (j *job) resolveRoute(view *mangofleet.View) error {
	if view.Routing == nil {
		return j.unsyncedFault()
	}
	j.result.Revision = view.Routing.Revision
	path, _, _ := strings.Cut(j.call.Target, "?")
	route, ok := view.Routing.Match(j.call.Host, path)
	if !ok {
		return notRunFault(mangomodel.CodeNotFound, "no route for %s%s", j.call.Host, path)
	}
	j.result.Route = route
	if err := j.authorise(view, route); err != nil {
		return err
	}
	name := route.Pick(uint64(j.call.Fingerprint))
	service, ok := view.Routing.Service(name)
	if !ok {
		return notRunFault(mangomodel.CodeUnavailable, "route %s: service %s is not configured", route.Name, name)
	}
	j.route, j.service = route, service
	j.lastEventID = j.call.LastEventID
	if service.Engine != nil && j.call.Generation == nil {
		j.call.Generation = &mangotraffic.Generation{Prompt: mangomodel.Tokens(j.call.Body.Len()), MaxOutput: defaultMaxOutput}
	}
	return nil
}

// serve applies the deadlines of the client and of the route and serves the call.
func (j *job) serve(ctx context.Context) error {
	j.applyDeadlines()
	ctx, cancel := context.WithDeadlineCause(ctx, j.call.Deadline, errTimeout)
	defer cancel()
	if err := j.relay.fleet.Do(ctx, mangofleet.AdmitCall{Service: j.service.Name, Call: j.call.Fingerprint, Parts: j.call.Parts}); err != nil {
		return j.finalFault(ctx, err)
	}
	if err := j.takeQuota(ctx); err != nil {
		return j.finalFault(ctx, err)
	}
	if err := j.resolveOrigin(ctx); err != nil {
		return j.finalFault(ctx, err)
	}
	defer j.releaseNext()
	if j.route.Kind == mangotraffic.KindStreaming {
		ctx, cancel = j.limitStart(ctx)
		defer cancel()
	}
	if j.service.Engine != nil {
		return j.finalFault(ctx, j.serveStream(ctx))
	}
	return j.finalFault(ctx, j.servePlain(ctx))
}

// applyDeadlines sets the call's deadline to the earlier one of the client's and
// the route's. A client without a deadline waits for as long as the route allows.
func (j *job) applyDeadlines() {
	timeout := j.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	end := j.call.Arrived.Add(timeout)
	j.clientDeadline = j.call.Deadline
	if j.clientDeadline.IsZero() {
		j.clientDeadline = end
	}
	if j.route.Timeout > 0 && end.Before(j.clientDeadline) || j.call.Deadline.IsZero() {
		j.call.Deadline = end
	}
}

// finalFault converts an error to the fault that Serve returns. Run is RunNot
// only if no server can have run the call. A passed deadline or a client's
// disconnect takes precedence over the error that it caused.
func (j *job) finalFault(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	f := *mangomodel.AsFault(err, mangomodel.StepCall)
	j.result.EndedBy = endOf(ctx, err)
	if ctx.Err() != nil {
		switch context.Cause(ctx) {
		case errTimeout:
			f.Code = mangomodel.CodeTimeout
		case errStopped:
			f.Code = mangomodel.CodeUnavailable
		default:
			f.Code = mangomodel.CodeCancelled
		}
	}
	f.Run = mangomodel.RunNot
	if j.runs > 0 {
		f.Run = mangomodel.RunUnknown
	}
	f.RetryAfter = j.retryAfter(&f)
	return &f
}

// retryAfter returns the Retry-After delay of a call that has not run, or zero. It is
// the predicted time until the queue has drained, which the fault carries, or as long
// as clients wait if the queue does not drain or nothing was predicted. The end of a
// quarantine is known and may be later than clients wait.
func (j *job) retryAfter(f *mangomodel.Fault) time.Duration {
	if f.Run != mangomodel.RunNot || f.Code == mangomodel.CodeUnauthorised || f.Code == mangomodel.CodeCannotResume {
		return 0
	}
	if f.Code == mangomodel.CodeQuarantined {
		return f.RetryAfter
	}
	if j.relay.shutdown.stopping.Err() != nil {
		return returnDelay
	}
	return mangoreturn.After(f.RetryAfter, time.Until(j.clientDeadline))
}

// completeDemand sets the fields of a demand that follow from the call.
func (j *job) completeDemand(d mangolease.Demand) mangolease.Demand {
	d.Request, d.Service, d.Priority, d.Avoid, d.Parts = j.call.ID, j.service.Name, j.route.Priority, j.avoid, j.suspectParts()
	d.Age = time.Since(j.call.Arrived)
	j.shareDemand(&d)
	j.origin.bind(&d)
	if !j.begun() {
		d.Call = j.call.Fingerprint
	}
	return d
}

// acquire returns the lease that a handover has secured, or waits for one on the
// servers that a demand needs.
func (j *job) acquire(ctx context.Context, d mangolease.Demand) (*mangobroker.Grant, error) {
	if err := errors.Join(j.checkParts(), j.checkStop(), j.origin.check()); err != nil {
		return nil, err
	}
	probe, err := j.admit()
	if err != nil {
		return nil, err
	}
	if d.Probe = probe; probe {
		j.releaseNext()
	}
	grant := j.takeNext()
	if grant == nil {
		if grant, err = j.awaitGrant(ctx, d); err != nil {
			return nil, err
		}
	}
	if j.probe = probe; probe {
		if err := j.recordProbe(ctx, grant.ID); err != nil {
			grant.Release()
			return nil, err
		}
	}
	j.grant, j.leasedAt = grant, time.Now()
	j.attempts++
	j.result.Attempts, j.result.Place = j.attempts, grant.Lease.Place
	return grant, nil
}

// apply applies a command that fails only when the process exits.
func (j *job) apply(cmd mangofleet.Command) {
	_ = j.relay.fleet.Do(context.Background(), cmd)
}

// takeRetry charges a request to the retry budget unless it is the first of its
// phase or paid already.
func (j *job) takeRetry(ctx context.Context, phase mangoexchange.Phase) error {
	j.sends[phase]++
	if j.sends[phase] == 1 {
		return nil
	}
	if j.paid[phase] {
		j.paid[phase] = false
		return nil
	}
	return j.awaitRetry(ctx)
}

const (
	// budgetWait is how long a stream whose client has received its head waits for a
	// retry: some renewals of the allowances.
	budgetWait = time.Second
	// budgetInterval is how often it asks.
	budgetInterval = 100 * time.Millisecond
)

// awaitRetry takes a retry from the budget. A stream that cannot be refused any more
// waits for one, since many streams of a daemon may lose their engine at once.
func (j *job) awaitRetry(ctx context.Context) error {
	end := time.Now().Add(budgetWait)
	for {
		err := j.relay.fleet.Do(ctx, mangofleet.TakeRetry{Service: j.service.Name})
		if err == nil || !j.headSent || time.Now().After(end) {
			return err
		}
		select {
		case <-time.After(budgetInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// refundRetry returns the charge for a request that reached no server to the
// retry budget.
func (j *job) refundRetry(phase mangoexchange.Phase) {
	j.unreached++
	j.sends[phase]--
	if j.sends[phase] > 0 {
		j.apply(mangofleet.RefundRetry{Service: j.service.Name})
	}
}

// reportExchange notifies the observer of a finished exchange.
func (j *job) reportExchange(ctx context.Context, phase mangoexchange.Phase, server mangotraffic.Server, lease mangolease.Lease, began time.Time, err error) {
	view := j.relay.fleet.View()
	e := mangoexchange.Exchange{
		Call: j.call, Route: j.route, Server: server, Phase: phase, Attempt: j.attempts,
		Lease: lease, Took: time.Since(began), ListAge: time.Since(view.ListRead), Age: time.Since(j.call.Arrived),
		EndedBy: endOf(ctx, err), Err: err,
	}
	if phase == mangoexchange.PhaseRun {
		e.Events = j.received
	}
	j.relay.observer.ExchangeFinished(e)
}

// sendHead passes the response head to the sink.
func (j *job) sendHead(h mangoexchange.Head) error {
	if j.start != nil && !j.start.Stop() {
		return mangomodel.NewFault(mangomodel.StepRespond, "", mangomodel.CodeTimeout, mangomodel.RunUnknown, errTimeout)
	}
	j.headSent = true
	j.result.Status = h.Status
	j.result.TimeToFirstByte = time.Since(j.call.Arrived)
	j.lastEventAt = time.Now()
	return clientFault(j.sink.Begin(h))
}

func clientFault(err error) error {
	if err == nil {
		return nil
	}
	return mangomodel.NewFault(mangomodel.StepRespond, "client", mangomodel.CodeCancelled, mangomodel.RunUnknown, errors.Join(errClientDisconnected, err))
}

func notRunFault(code mangomodel.Code, format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, "", code, mangomodel.RunNot, format, args...)
}

type nopObserver struct{ mangopanic.Nop }

func (nopObserver) ExchangeFinished(mangoexchange.Exchange)                {}
func (nopObserver) ExchangeStalled(mangomodel.RequestID, mangostall.Stall) {}
func (nopObserver) CallFinished(mangoexchange.Result)                      {}
func (nopObserver) PrefillWasted(mangoexchange.Waste)                      {}

func (nopObserver) ServerSkipped(mangomodel.RequestID, mangomodel.ServerID, error) {}

type nopTracer struct{}

func (nopTracer) RequestContext(ctx context.Context, _ mangomodel.RequestID) context.Context {
	return ctx
}

func (nopTracer) Start(ctx context.Context, _ mangomodel.Step, _ mangomodel.PeerName) (context.Context, func(error)) {
	return ctx, func(error) {}
}
