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
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Relay takes calls to servers.
type Relay struct {
	fleet    Fleet
	broker   Broker
	servers  Servers
	observer Observer
	tracer   Tracer
	active   atomic.Int64
}

// Active returns how many calls are under way.
func (r *Relay) Active() int { return int(r.active.Load()) }

// Option configures a Relay.
type Option func(*Relay)

// WithObserver sets who is told what happens to calls.
func WithObserver(o Observer) Option { return func(r *Relay) { r.observer = o } }

// WithTracer sets where spans go.
func WithTracer(t Tracer) Option { return func(r *Relay) { r.tracer = t } }

// New returns a Relay.
func New(fleet Fleet, broker Broker, servers Servers, opts ...Option) *Relay {
	r := &Relay{fleet: fleet, broker: broker, servers: servers, observer: silent{}, tracer: untraced{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// retryShare is the part of a client's time after which it should come back.
// Clients wait for up to a third of it.
const retryShare = 0.3

// unknownOutput is assumed for a generation whose client gave no bound.
const unknownOutput mangomodel.Tokens = 4096

// errClientGone is the cause of a call's end when its client has left.
var errClientGone = errors.New("the client is gone")

// errTimeout is the cause of a call's end when its time is over.
var errTimeout = errors.New("the call's time is over")

// Serve takes a call to a server and its answer to the sink. It returns nil
// once the whole answer was passed on. A fault with RunNot is a promise that
// no server has run the call or will run it.
func (r *Relay) Serve(ctx context.Context, call *mangotraffic.Call, sink Sink) error {
	r.active.Add(1)
	defer r.active.Add(-1)
	view := r.fleet.View()
	j := &job{relay: r, call: call, sink: sink, result: mangoexchange.Result{Call: call}}
	err := j.route(view)
	if err == nil {
		err = j.serve(r.tracer.RequestContext(ctx, call.ID))
	}
	j.result.Err = err
	j.result.Took = time.Since(call.Arrived)
	r.observer.CallFinished(j.result)
	return err
}

// job is one call on its way.
type job struct {
	relay *Relay
	call  *mangotraffic.Call
	sink  Sink
	// clientDeadline is when the client stops waiting.
	clientDeadline time.Time
	picked         *mangotraffic.Route
	service        *mangotraffic.Service
	// runs counts the servers that may have run the call.
	runs int
	// attempts counts the leases.
	attempts mangomodel.Attempt
	// sends counts the sends of each phase.
	sends [mangoexchange.NumPhases]int
	avoid []mangomodel.ServerID
	// source is a KV cache that was computed and not fetched yet.
	source *prefilled
	// grant is the lease in use.
	grant *mangobroker.Grant
	// begun is set once the sink has the head.
	begun  bool
	last   mangotraffic.EventID
	lastAt time.Time
	result mangoexchange.Result
}

// route finds the call's route and service.
func (j *job) route(view *mangofleet.View) error {
	if view.Routing == nil {
		return notRun(mangomodel.CodeUnavailable, "no configuration was read yet")
	}
	j.result.Revision = view.Routing.Revision
	path, _, _ := strings.Cut(j.call.Target, "?")
	route, ok := view.Routing.Match(j.call.Host, path)
	if !ok {
		return notRun(mangomodel.CodeNotFound, "no route for %s%s", j.call.Host, path)
	}
	name := route.Pick(uint64(j.call.Fingerprint))
	service, ok := view.Routing.Service(name)
	if !ok {
		return notRun(mangomodel.CodeUnavailable, "route %s: service %s is not configured", route.Name, name)
	}
	j.picked, j.service, j.result.Route = route, service, route
	j.last = j.call.LastEventID
	if service.Engine != nil && j.call.Generation == nil {
		j.call.Generation = &mangotraffic.Generation{Prompt: mangomodel.Tokens(len(j.call.Body)), MaxOutput: unknownOutput}
	}
	return nil
}

// serve bounds the call's time and serves it.
func (j *job) serve(ctx context.Context) error {
	j.clientDeadline = j.call.Deadline
	end := j.call.Deadline
	if t := j.call.Arrived.Add(j.picked.Timeout); j.picked.Timeout > 0 && t.Before(end) {
		end = t
	}
	j.call.Deadline = end
	ctx, cancel := context.WithDeadlineCause(ctx, end, errTimeout)
	defer cancel()
	if err := j.relay.fleet.Do(ctx, mangofleet.AdmitCall{Service: j.service.Name, Call: j.call.Fingerprint}); err != nil {
		return j.fail(ctx, err)
	}
	if j.service.Engine != nil {
		return j.fail(ctx, j.stream(ctx))
	}
	return j.fail(ctx, j.plain(ctx))
}

// fail makes the final fault of an error: what may have run is never called
// "not run", and an ended time or a client that left goes before what it
// caused.
func (j *job) fail(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	f := *mangomodel.AsFault(err, mangomodel.StepCall)
	if ctx.Err() != nil {
		f.Code = mangomodel.CodeCancelled
		if errors.Is(context.Cause(ctx), errTimeout) {
			f.Code = mangomodel.CodeTimeout
		}
	}
	f.Run = mangomodel.RunNot
	if j.runs > 0 {
		f.Run = mangomodel.RunUnknown
	}
	f.RetryAfter = j.retryAfter(&f)
	return &f
}

// retryAfter tells the client of a call that has not run when to come back:
// after a part of the time that it has left, so that a flood has ebbed by then
// and the call can still be served.
func (j *job) retryAfter(f *mangomodel.Fault) time.Duration {
	if f.Run != mangomodel.RunNot || f.Code == mangomodel.CodeQuarantined {
		return 0
	}
	return time.Duration(retryShare * float64(time.Until(j.clientDeadline)))
}

// acquire waits for servers.
func (j *job) acquire(ctx context.Context, d mangolease.Demand) (*mangobroker.Grant, error) {
	d.Request, d.Service, d.Priority, d.Avoid = j.call.ID, j.service.Name, j.picked.Priority, j.avoid
	d.Age = time.Since(j.call.Arrived)
	grant, err := j.relay.broker.Acquire(ctx, d)
	if err != nil {
		return nil, err
	}
	j.grant = grant
	j.attempts++
	j.result.Attempts = j.attempts
	return grant, nil
}

// mayUse fails for a server that this daemon's own list does not allow.
func (j *job) mayUse(id mangomodel.ServerID) error {
	if j.relay.fleet.View().MayUse(id) {
		return nil
	}
	j.avoid = append(j.avoid, id)
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(id), mangomodel.CodeUnavailable, mangomodel.RunNot,
		"the server is leaving or gone")
}

// tell applies a command that cannot fail but by the end of the process.
func (j *job) tell(cmd mangofleet.Command) {
	_ = j.relay.fleet.Do(context.Background(), cmd)
}

// observe tells the fleet, and whoever granted the lease in use, what an
// exchange showed.
func (j *job) observe(server mangomodel.ServerID, saw mangolease.Observation, load *mangotraffic.LoadReport) {
	o := mangolease.Observed{Server: server, Saw: saw, Load: load}
	j.tell(mangofleet.Observe{Observed: o})
	j.grant.Observe(o)
}

// spend takes a send from the retry budget, except for the first of its phase.
func (j *job) spend(ctx context.Context, phase mangoexchange.Phase) error {
	j.sends[phase]++
	if j.sends[phase] == 1 {
		return nil
	}
	return j.relay.fleet.Do(ctx, mangofleet.TakeRetry{Service: j.service.Name})
}

// refund gives back what a send took that reached no server.
func (j *job) refund(phase mangoexchange.Phase) {
	j.sends[phase]--
	if j.sends[phase] > 0 {
		j.tell(mangofleet.RefundRetry{Service: j.service.Name})
	}
}

// exchanged reports one exchange.
func (j *job) exchanged(phase mangoexchange.Phase, server mangotraffic.Server, lease mangolease.Lease, began time.Time, err error) {
	view := j.relay.fleet.View()
	j.relay.observer.ExchangeFinished(mangoexchange.Exchange{
		Call: j.call, Route: j.picked, Server: server, Phase: phase, Attempt: j.attempts,
		Lease: lease, Took: time.Since(began), ListAge: time.Since(view.ListRead), Err: err,
	})
}

// begin hands the head to the sink.
func (j *job) begin(h mangoexchange.Head) error {
	j.begun = true
	j.result.Status = h.Status
	j.result.TimeToFirstByte = time.Since(j.call.Arrived)
	j.lastAt = time.Now()
	return clientFault(j.sink.Begin(h))
}

func clientFault(err error) error {
	if err == nil {
		return nil
	}
	return mangomodel.NewFault(mangomodel.StepRespond, "client", mangomodel.CodeCancelled, mangomodel.RunUnknown, errors.Join(errClientGone, err))
}

func notRun(code mangomodel.Code, format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, "", code, mangomodel.RunNot, format, args...)
}

type silent struct{}

func (silent) ExchangeFinished(mangoexchange.Exchange) {}
func (silent) CallFinished(mangoexchange.Result)       {}

type untraced struct{}

func (untraced) RequestContext(ctx context.Context, _ mangomodel.RequestID) context.Context {
	return ctx
}

func (untraced) Start(ctx context.Context, _ mangomodel.Step, _ mangomodel.PeerName) (context.Context, func(error)) {
	return ctx, func(error) {}
}
