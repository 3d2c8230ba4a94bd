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

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Fleet is the control state that a relay asks for servers.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Broker finds servers for calls.
type Broker interface {
	Acquire(ctx context.Context, d mangolease.Demand) (*mangobroker.Grant, error)
}

// Servers makes exchanges with backend servers. A failure is a fault whose Run
// says whether the call may have run.
type Servers interface {
	// Run sends a call and returns its open answer.
	Run(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call, opts mangoexchange.RunOptions) (*mangoexchange.Response, error)
	// Prefill computes the KV cache of a call's prompt.
	Prefill(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call) (mangotraffic.KVSource, error)
	// Report asks an engine what it runs.
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
	// Free drops a KV cache that was not fetched.
	Free(ctx context.Context, source mangotraffic.KVSource) error
}

// Sink takes the answer to a client.
type Sink interface {
	// Begin sends the head. It is called once.
	Begin(head mangoexchange.Head) error
	// Write sends a part of the body at once.
	Write(p []byte) error
}

// Tracer starts spans.
type Tracer interface {
	// RequestContext returns the context of a request's spans.
	RequestContext(ctx context.Context, id mangomodel.RequestID) context.Context
	// Start begins a span. The returned function ends it.
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Observer is told what happens to calls.
type Observer interface {
	ExchangeFinished(e mangoexchange.Exchange)
	CallFinished(r mangoexchange.Result)
}
