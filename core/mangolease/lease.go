// Package mangolease holds the values of a lease's life: the demand of a call,
// how it waits, what it is granted, what its holder tells of it, and what its
// exchanges have shown of the servers.
//
// # Usage
//
//	pending := mangolease.NewPendingDemand(id, mangolease.Demand{Service: "llm", Patience: time.Second}, now)
//	if pending.Late(now) { ... }
package mangolease

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// ID names a lease by the daemon life that holds it and a number.
type ID = mangomodel.GrantID

// Demand is what a call needs.
type Demand struct {
	Request mangomodel.RequestID
	Service mangotraffic.ServiceName
	// Origin is the data centre of the daemon that has the call.
	Origin mangomodel.DataCentreID
	// Priority orders demands that are equally late.
	Priority mangotraffic.Priority
	// Generation is set when a decode slot is needed, and a prefill server
	// unless Prefilled.
	Generation *mangotraffic.Generation
	// Prefilled demands need no prefill server.
	Prefilled bool
	// Age is how long the call has been with its daemon, OnTimeFor how much
	// longer a start still meets the target, and Patience after how long the
	// demand is refused. They are durations, since daemons' clocks differ.
	Age, OnTimeFor, Patience time.Duration
	// Avoid names servers that have failed this call.
	Avoid []mangomodel.ServerID
}

// PendingDemand is a demand as it waits: its durations are times.
type PendingDemand struct {
	Lease                            ID
	Demand                           Demand
	ArrivedAt, OnTimeUntil, Deadline time.Time
}

// NewPendingDemand returns the pending demand for a demand that has just come.
func NewPendingDemand(id ID, d Demand, now time.Time) *PendingDemand {
	return &PendingDemand{Lease: id, Demand: d, ArrivedAt: now.Add(-d.Age), OnTimeUntil: now.Add(d.OnTimeFor), Deadline: now.Add(d.Patience)}
}

// Late reports whether the pending demand can no longer meet its target.
func (a *PendingDemand) Late(now time.Time) bool { return now.After(a.OnTimeUntil) }

// Lease is a granted demand.
type Lease struct {
	// Server runs the call.
	Server mangotraffic.Server
	// Prefill computes the prompt's KV cache, if asked for.
	Prefill *mangotraffic.Server
	// Waited is how long the demand was queued.
	Waited time.Duration
	// Scheduler granted the lease, when Running leases were known at the
	// server, Free slots were left, and Peak was the memory predicted for all.
	Scheduler     mangomodel.DaemonID
	Running, Free int
	Peak          mangomodel.Tokens
}

// Progress is what a holder knows of a lease.
type Progress struct {
	Number uint64
	// Server runs the call, Prefill computes its prompt until that is done.
	Server, Prefill mangomodel.ServerID
	Service         mangotraffic.ServiceName
	Generation      mangotraffic.Generation
	// Made is how many tokens were generated so far.
	Made mangomodel.Tokens
}

// Observation is what an exchange with a server showed.
type Observation int

const (
	// ObservedSuccess is a complete answer.
	ObservedSuccess Observation = iota
	// ObservedFailure is a broken, wrong or missing answer.
	ObservedFailure
	// ObservedUnreachable is a connection that could not be made.
	ObservedUnreachable
	// ObservedFull is a refusal for want of room.
	ObservedFull
	// ObservedCacheLost is a prefilled KV cache that could not be fetched.
	ObservedCacheLost
	// ObservedMisdirected is another server at the address.
	ObservedMisdirected
)

// Observed is what an exchange with a server showed.
type Observed struct {
	Server mangomodel.ServerID
	Saw    Observation
	// Load is what the server said of itself, if anything.
	Load *mangotraffic.LoadReport
}
