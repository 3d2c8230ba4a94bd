package mangoentry

import (
	"context"
	"errors"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

const (
	// reserveTimeout bounds the attempts to write an intent row.
	reserveTimeout = 3 * time.Second
	// joinTimeout is how long a resent call waits for the running one.
	joinTimeout = 5 * time.Second
	// maxTries bounds the servers that a call is tried on.
	maxTries = 3
	// staleReservationAge is the age from which a reservation counts as left
	// behind by a process that has ended. It only selects the fault that is
	// returned.
	staleReservationAge = 10 * time.Minute
	// retryAfter is the suggested pause before the next resend of an operation
	// that is still running.
	retryAfter = 2 * time.Second
)

// Control is the daemon's control state.
type Control interface {
	Do(ctx context.Context, cmd mangocommand.Command) error
	Snapshot() *mangoquery.Snapshot
}

// Services sends calls to plain services.
type Services interface {
	// Send sends a call once. A fault with RunNot means that nothing was sent;
	// RunUnknown, that the service may have run the call.
	Send(ctx context.Context, server mangoconfig.Host, call OutgoingCall) (Response, error)
}

// Tracer records a span for each hop.
type Tracer interface {
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Background runs work that outlives the request that caused it. A graceful
// shutdown waits for it.
type Background interface{ Go(func()) }

// OutgoingCall is a call to send to a service.
type OutgoingCall struct {
	Workspace mangomodel.WorkspaceID
	Path      string
	Body      []byte
	// Key is the operation's idempotency key, for services that record it.
	Key mangomodel.IdempotencyKey
}

// Request is an application call.
type Request struct {
	ID        mangomodel.RequestID
	Workspace mangoconfig.EffectiveWorkspace
	Call      mangoconfig.Call
	Key       mangomodel.IdempotencyKey
	Body      []byte
}

// Caller serves application calls.
type Caller struct {
	control    Control
	ledger     *Ledger
	services   Services
	tracer     Tracer
	background Background
}

// NewCaller returns a Caller.
func NewCaller(control Control, ledger *Ledger, services Services, tracer Tracer, background Background) *Caller {
	return &Caller{control: control, ledger: ledger, services: services, tracer: tracer, background: background}
}

// Call serves an application call. A non-idempotent call requires a key.
func (c *Caller) Call(ctx context.Context, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(req.Call))
	defer cancel()
	nonIdempotent := *req.Call.NonIdempotent
	if nonIdempotent && req.Key == "" {
		return Response{}, mangomodel.Faultf(mangomodel.StepParse, "", mangomodel.CodeInvalid, mangomodel.RunNot,
			"call %q is not idempotent and requires an Idempotency-Key", req.Call.Name)
	}
	if err := c.control.Do(ctx, mangocommand.BeginCall{Service: req.Call.Service, Entry: nonIdempotent}); err != nil {
		return Response{}, err
	}
	defer c.endCall(ctx, req)
	if nonIdempotent {
		return c.callNonIdempotent(ctx, req)
	}
	return c.callIdempotent(ctx, req)
}

func (c *Caller) endCall(ctx context.Context, req Request) {
	// Fails only if the control goroutine has ended.
	_ = c.control.Do(context.WithoutCancel(ctx), mangocommand.EndCall{Service: req.Call.Service})
}

// callIdempotent tries an idempotent call on up to maxTries servers.
func (c *Caller) callIdempotent(ctx context.Context, req Request) (Response, error) {
	var lastErr error
	for i, server := range c.servers(req) {
		if i >= maxTries || ctx.Err() != nil {
			break
		}
		if i > 0 && c.control.Do(ctx, mangocommand.SpendRetry{Workspace: req.Workspace.ID}) != nil {
			break
		}
		var response Response
		response, lastErr = c.send(ctx, server, req)
		if lastErr == nil {
			return response, nil
		}
	}
	if lastErr == nil {
		lastErr = noServer(req)
	}
	return Response{}, lastErr
}

// callNonIdempotent runs a non-idempotent call under a reservation.
func (c *Caller) callNonIdempotent(ctx context.Context, req Request) (Response, error) {
	key := RowKey(req.Workspace.ID, req.Key)
	fingerprint := mangomodel.FingerprintOf(req.Workspace.ID, string(req.Call.Name)+"\x00"+string(req.Body))
	reservation, existing, err := c.reserve(ctx, key, fingerprint)
	if err != nil {
		if reservation != nil {
			c.abandon(ctx, reservation)
		}
		return Response{}, err
	}
	if existing != nil {
		return c.join(ctx, key, fingerprint, *existing)
	}
	return c.sendReserved(ctx, req, reservation)
}

func (c *Caller) reserve(ctx context.Context, key mangomodel.TableKey, f mangomodel.Fingerprint) (*Reservation, *Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	ctx, end := c.tracer.Start(ctx, mangomodel.StepReserve, "table")
	reservation, existing, err := c.ledger.Reserve(ctx, key, f)
	end(err)
	return reservation, existing, err
}

// sendReserved sends the call to the first server that accepts the connection.
// It tries the next server only if the fault proves that nothing was sent.
func (c *Caller) sendReserved(ctx context.Context, req Request, r *Reservation) (Response, error) {
	err := noServer(req)
	for i, server := range c.servers(req) {
		if i >= maxTries || ctx.Err() != nil {
			break
		}
		var response Response
		response, err = c.send(ctx, server, req)
		if err == nil {
			c.record(ctx, r, Done, response)
			return response, nil
		}
		if mangomodel.AsFault(err, mangomodel.StepCall).Run != mangomodel.RunNot {
			c.record(ctx, r, Unknown, Response{})
			return Response{}, unknownOutcome(req, err)
		}
	}
	c.abandon(ctx, r)
	return Response{}, err
}

func (c *Caller) send(ctx context.Context, server mangoconfig.Host, req Request) (Response, error) {
	ctx, end := c.tracer.Start(ctx, mangomodel.StepCall, mangomodel.PeerName(server.ID))
	response, err := c.services.Send(ctx, server, OutgoingCall{
		Workspace: req.Workspace.ID, Path: req.Call.Path, Body: req.Body, Key: req.Key,
	})
	end(err)
	if err != nil && ctx.Err() == nil {
		// Fails only if ctx or the control goroutine has ended.
		_ = c.control.Do(ctx, mangocommand.MarkServerFailed{Server: mangomodel.ServerID(server.ID)})
	}
	return response, err
}

// join returns the response to a resent call from the row of the operation. It
// waits up to joinTimeout for a running call.
func (c *Caller) join(ctx context.Context, key mangomodel.TableKey, f mangomodel.Fingerprint, e Entry) (Response, error) {
	waitCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for pause := newBackoff(); ; pause.wait(waitCtx) {
		if e.Fingerprint != f {
			return Response{}, mangomodel.Faultf(mangomodel.StepReserve, mangomodel.PeerName(key),
				mangomodel.CodeConflict, mangomodel.RunNot, "the idempotency key was used for another call or body")
		}
		switch e.State {
		case Done:
			return e.Response, nil
		case Unknown:
			return Response{}, mangomodel.Faultf(mangomodel.StepReserve, mangomodel.PeerName(key),
				mangomodel.CodeUnknownOutcome, mangomodel.RunUnknown, "the call was sent and no response was received")
		}
		if waitCtx.Err() != nil {
			return Response{}, stillReserved(key, e)
		}
		if next, ok, err := c.ledger.Lookup(waitCtx, key); err == nil && ok {
			e = next
		}
	}
}

// record writes an outcome in the background. Until it is written, resent calls
// wait up to joinTimeout and then fail with CodeInProgress.
func (c *Caller) record(ctx context.Context, r *Reservation, state State, response Response) {
	c.inBackground(ctx, func(ctx context.Context) error { return c.ledger.Record(ctx, r, state, response) })
}

func (c *Caller) abandon(ctx context.Context, r *Reservation) {
	c.inBackground(ctx, func(ctx context.Context) error { return c.ledger.Abandon(ctx, r) })
}

func (c *Caller) inBackground(ctx context.Context, write func(context.Context) error) {
	ctx = context.WithoutCancel(ctx)
	c.background.Go(func() {
		ctx, end := c.tracer.Start(ctx, mangomodel.StepRecord, "table")
		end(write(ctx))
	})
}

func (c *Caller) servers(req Request) []mangoconfig.Host {
	return c.control.Snapshot().ServiceServers(time.Now(), req.Call.Service, string(req.ID))
}

func timeoutOf(call mangoconfig.Call) time.Duration {
	if call.Timeout > 0 {
		return call.Timeout.Std()
	}
	return mangoconfig.DefaultCallTimeout
}

func noServer(req Request) error {
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(req.Call.Service),
		mangomodel.CodeUnavailable, mangomodel.RunNot, "no server of the service accepts calls")
}

func unknownOutcome(req Request, err error) error {
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	return mangomodel.NewFault(mangomodel.StepCall, f.Peer, mangomodel.CodeUnknownOutcome, mangomodel.RunUnknown,
		errors.Join(errors.New("call "+string(req.Call.Name)+" was sent and no response was received"), f.Err))
}

// stillReserved returns the fault for a resend of an operation whose row is
// still reserved. A reservation older than any call can take was left by a
// process that ended without recording an outcome.
func stillReserved(key mangomodel.TableKey, e Entry) error {
	if time.Since(e.At) > staleReservationAge {
		return mangomodel.Faultf(mangomodel.StepReserve, mangomodel.PeerName(key),
			mangomodel.CodeUnknownOutcome, mangomodel.RunUnknown, "the process that ran the call ended without recording an outcome")
	}
	f := mangomodel.Faultf(mangomodel.StepReserve, mangomodel.PeerName(key),
		mangomodel.CodeInProgress, mangomodel.RunUnknown, "the operation is still running")
	f.RetryAfter = retryAfter
	return f
}
