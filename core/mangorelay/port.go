// Package mangorelay forwards a client call to a backend server and relays the
// response.
//
// A call to a plain service is served by one server. A call to a service with
// model engines is prefilled at one server and decoded at another; one lease,
// acquired first, covers both. A resumable stream continues at another server if
// its server fails.
//
// # Invariants
//
//   - A call that must not be retried is sent to a second server only if the
//     first one did not run it.
//   - A fault with RunNot is returned only if no server can have run the call.
//   - The sink receives whole events, in order and exactly once.
//   - The lease of a call is released however the call ends, and so is its KV
//     cache unless a server may have fetched it.
//
// # Usage
//
//	relay := mangorelay.New(fleet, broker, servers, mangorelay.WithObserver(o))
//	err := relay.Serve(ctx, call, sink)
package mangorelay

import (
	"context"

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

// Fleet is the control state of this daemon.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Broker acquires leases on servers for calls.
type Broker interface {
	Acquire(ctx context.Context, d mangolease.Demand) (*mangobroker.Grant, error)
}

// Servers is a client of the backend servers. Its errors are faults whose Run
// field states whether the call may have run.
type Servers interface {
	// Run sends a call and returns the response with an open body.
	Run(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call, opts mangoexchange.RunOptions) (*mangoexchange.Response, error)
	// Prefill computes the KV cache of a call's prompt.
	Prefill(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call) (mangotraffic.KVSource, error)
	// Report queries the load of an engine.
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
	// Connect opens a connection and closes it without a request.
	Connect(ctx context.Context, server mangotraffic.Server) error
	// ReleaseCache releases a KV cache that was not fetched.
	ReleaseCache(ctx context.Context, source mangotraffic.KVSource) error
}

// Origins knows at which builds streams began.
type Origins interface {
	// Begin records that the first event of a stream came from a build. It does not wait.
	// If it is called for two builds, that of the stream is not known.
	Begin(stream mangotraffic.StreamID, build mangomodel.Build)
	// Doubt records that the build at which a stream began is not known after all.
	Doubt(stream mangotraffic.StreamID)
	// Origin returns the build at which a stream began. It may wait for records that
	// other daemons have written. The error is a fault with CodeCannotResume and RunNot
	// if the build is not known.
	Origin(ctx context.Context, stream mangotraffic.StreamID) (mangomodel.Build, error)
}

// Sink writes the response to a client.
type Sink interface {
	// Begin sends the response head. It is called once.
	Begin(head mangoexchange.Head) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
}

// Memory is the memory for the bodies of calls and responses.
type Memory interface {
	// Hold returns a reservation of no bytes, which can grow.
	Hold() *mangomemory.Reservation
}

// Tracer starts spans.
type Tracer interface {
	// RequestContext returns a context for the spans of a request.
	RequestContext(ctx context.Context, id mangomodel.RequestID) context.Context
	// Start starts a span. The returned function ends it.
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Observer is notified of finished exchanges and calls.
type Observer interface {
	mangopanic.Observer
	ExchangeFinished(e mangoexchange.Exchange)
	// ExchangeStalled is called on a goroutine of its own while the exchange goes
	// on.
	ExchangeStalled(id mangomodel.RequestID, s mangostall.Stall)
	CallFinished(r mangoexchange.Result)
	// PrefillWasted is called when the KV cache of a prompt was not used, or has to be
	// computed again, where the configuration has workspaces.
	PrefillWasted(w mangoexchange.Waste)
	// ServerSkipped is called when a call is not sent to a server that was leased for it,
	// because the server has announced that it leaves or has asked for time since.
	ServerSkipped(request mangomodel.RequestID, server mangomodel.ServerID, err error)
}
