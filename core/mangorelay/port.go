// Package mangorelay takes one client call to a backend server and the answer
// back.
//
// A plain call is answered by one server. A call of a streaming route is
// prefilled at one server and generated at another, with a slot reserved there
// first; a resumable stream goes on at another server when its own breaks off.
//
// # Invariants
//
//   - A call that is not repeatable is sent to a second server only after the
//     first has said that it did not run.
//   - A fault with RunNot is returned only if no server can have run the call.
//   - Events reach the sink whole, in order and once.
//   - Whatever ends a call gives its lease, its reservation and its KV cache
//     back.
//
// # Usage
//
//	relay := mangorelay.New(fleet, servers, mangorelay.WithObserver(o))
//	err := relay.Serve(ctx, call, sink)
package mangorelay

import (
	"context"
	"io"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Phase -trimprefix=Phase -text -output=phase_string.go

// Fleet is the control state that a relay asks for servers.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Broker finds servers for calls.
type Broker interface {
	Acquire(ctx context.Context, d mangopool.Demand) (*mangobroker.Grant, error)
}

// Servers makes exchanges with backend servers. A failure is a fault whose Run
// says whether the call may have run.
type Servers interface {
	// Run sends a call and returns its open answer.
	Run(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call, opts RunOptions) (*Answer, error)
	// Prefill computes the KV cache of a call's prompt.
	Prefill(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call) (mangotraffic.KVSource, error)
	// Report asks an engine what it runs.
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
	// Free drops a KV cache that was not fetched.
	Free(ctx context.Context, source mangotraffic.KVSource) error
}

// RunOptions are what a relay adds to a call.
type RunOptions struct {
	// Source is where the KV cache is fetched from.
	Source *mangotraffic.KVSource
	// After is the last event that was passed on.
	After mangotraffic.EventID
	// Stream is set when the answer is read event by event.
	Stream bool
}

// Head is the status and the fields of an answer.
type Head struct {
	Status int
	Header mangotraffic.HeaderFields
}

// Answer is an open answer of a server.
type Answer struct {
	Head Head
	// NotRun is set when the server says that it did not run the call.
	NotRun bool
	// Load is what the server says of itself, if anything.
	Load *mangotraffic.LoadReport
	// Moved is set when the address belongs to another server now.
	Moved bool
	// Body is nil for a stream of events.
	Body io.ReadCloser
	// Events is nil for every other answer.
	Events Events
}

// Close ends the exchange. Servers stop the work of an exchange that ends
// early.
func (a *Answer) Close() error {
	if a.Events != nil {
		return a.Events.Close()
	}
	return a.Body.Close()
}

// Events reads a stream.
type Events interface {
	// Next returns the next whole event, and io.EOF after a stream that ended
	// as complete.
	Next() (mangotraffic.Event, error)
	Close() error
}

// Sink takes the answer to a client.
type Sink interface {
	// Begin sends the head. It is called once.
	Begin(head Head) error
	// Write sends a part of the body at once.
	Write(p []byte) error
}

// Tracer starts spans.
type Tracer interface {
	// Request returns the context of a request's spans.
	Request(ctx context.Context, id mangomodel.RequestID) context.Context
	// Start begins a span. The returned function ends it.
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Phase is what an exchange with a server was for.
type Phase int

const (
	// PhasePrefill computes a KV cache.
	PhasePrefill Phase = iota
	// PhaseRun runs the call.
	PhaseRun
)

// phases is the number of phases.
const phases = 2

// Exchange is one exchange with a server, for an Observer.
type Exchange struct {
	Call   *mangotraffic.Call
	Route  *mangotraffic.Route
	Server mangotraffic.Server
	Phase  Phase
	// Attempt counts the call's leases from 1.
	Attempt mangomodel.Attempt
	// Lease is what the scheduler granted, and by which inputs.
	Lease mangopool.Lease
	// Took is the time to the answer's head.
	Took time.Duration
	// ListAge is the age of the list of servers that was used.
	ListAge time.Duration
	Err     error
}

// Result sums up a call, for an Observer.
type Result struct {
	Call  *mangotraffic.Call
	Route *mangotraffic.Route
	// Revision is the configuration that was used.
	Revision mangomodel.Revision
	Status   int
	Attempts mangomodel.Attempt
	// First is the time to the answer, or to the first event.
	First time.Duration
	Took  time.Duration
	// Events counts the passed events.
	Events int
	// LongestPause is the longest time between two events.
	LongestPause time.Duration
	Err          error
}

// OnTime reports whether the call met its route's targets.
func (r *Result) OnTime() bool {
	if r.Err != nil || r.Route == nil || r.First > r.Route.TargetLatency {
		return false
	}
	return r.Route.MaxPause == 0 || r.LongestPause <= r.Route.MaxPause
}

// Observer is told what happens to calls.
type Observer interface {
	Exchanged(e Exchange)
	Finished(r Result)
}
