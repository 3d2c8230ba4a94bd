// Package mangolease defines the values of a lease's life cycle: the demand of a
// call, the pending demand in the queue, the granted lease, the progress that its
// holder reports, the observations of its exchanges with servers, and what the servers
// announce in them.
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

// ID identifies a lease by the daemon incarnation that holds it and a number.
type ID = mangomodel.GrantID

// Demand describes the servers that a call needs.
type Demand struct {
	Request mangomodel.RequestID
	Service mangotraffic.ServiceName
	// Workspace is the one that the call belongs to; empty without workspaces.
	Workspace mangomodel.WorkspaceID
	// Route and Revision are the route and the configuration from which Priority follows,
	// and ClientLeft is how much longer the client waits. All three are zero if the
	// configuration has no workspaces.
	Route      mangotraffic.RouteName
	Revision   mangomodel.Revision
	ClientLeft time.Duration
	// Origin is the data centre of the daemon that received the call.
	Origin mangomodel.DataCentreID
	// Priority orders demands that are equally late.
	Priority mangotraffic.Priority
	// Generation is set if a decode slot is needed. A prefill server is needed
	// too, unless Prefilled is set.
	Generation *mangotraffic.Generation
	// Prefilled is set if the KV cache was computed already.
	Prefilled bool
	// Standby is set if the call has a server, and goes on there if the demand is
	// refused. It does not count as a call.
	Standby bool
	// Begun is set if the client has received a part of the response, so that it cannot
	// be told to return later.
	Begun bool
	// Age is the time since the daemon received the call, OnTimeFor the time left
	// in which a start still meets the target, and Patience the queue timeout.
	// They are durations, since the clocks of daemons differ.
	Age, OnTimeFor, Patience time.Duration
	// Avoid lists the servers that have failed this call.
	Avoid []mangomodel.ServerID
	// Build is the only build at which the call may run, if Bound is set: that of the
	// events that its client has received.
	Build mangomodel.Build
	Bound bool
	// Parts are the shared parts of the prompt.
	Parts []mangomodel.PartID
	// Call identifies the call, and Probe is set if it crashed too many servers and is
	// sent to find out whether it still does.
	Call  mangomodel.Fingerprint
	Probe bool
}

// Shared reports whether the demand shares its service with those of other workspaces.
// Without workspaces in the configuration no demand does.
func (d *Demand) Shared() bool { return d.Workspace != "" || d.Route != "" }

// PendingDemand is a demand in the queue, with its durations converted to times.
type PendingDemand struct {
	Lease                            ID
	Demand                           Demand
	ArrivedAt, OnTimeUntil, Deadline time.Time
	// Place is the demand's place among those of other workspaces.
	Place Place
}

// Place is what decided the order of a demand that shares its service with other
// workspaces, besides its lateness and its cost.
type Place struct {
	Priority mangotraffic.Priority
	// Lead is how much more of the service the workspace had received, or has been ordered
	// before this demand, than the workspace that was due. Its unit is that of the costs.
	Lead float64
	// Returned is set if the client was refused before, and returned when it was told to.
	Returned bool
	// Reserved is set if the demand was placed before more urgent ones, by the minimum
	// share of less urgent ones.
	Reserved bool
}

// Pending returns the demand itself, also for types that embed it.
func (p *PendingDemand) Pending() *PendingDemand { return p }

// NewPendingDemand returns the pending demand for a demand that arrives now.
func NewPendingDemand(id ID, d Demand, now time.Time) *PendingDemand {
	return &PendingDemand{Lease: id, Demand: d, ArrivedAt: now.Add(-d.Age), OnTimeUntil: now.Add(d.OnTimeFor), Deadline: now.Add(d.Patience)}
}

// Late reports whether the demand can no longer meet its target. That of a stream was for its
// first event: one that goes on at the build that began it is not late.
func (p *PendingDemand) Late(now time.Time) bool { return !p.Demand.Bound && p.Overdue(now) }

// Overdue reports whether the demand has waited for longer than its target allows.
func (p *PendingDemand) Overdue(now time.Time) bool { return now.After(p.OnTimeUntil) }

// Lease is a granted demand.
type Lease struct {
	// Server runs the call.
	Server mangotraffic.Server
	// Prefill computes the prompt's KV cache; nil if no prefill server is needed.
	Prefill *mangotraffic.Server
	// PrefillTime is how long the prefill is predicted to take, with those before it.
	PrefillTime time.Duration
	// Waited is how long the demand was queued.
	Waited time.Duration
	// Scheduler granted the lease. Before that the server had Running recorded
	// leases and Free free slots. Peak is the predicted peak KV memory of these
	// leases and the new one, in tokens.
	Scheduler     mangomodel.DaemonID
	Running, Free int
	Peak          mangomodel.Tokens
	// Place is the place that the demand had; zero without workspaces.
	Place Place
	// LoadAge is the age of the load figure that decided at a plain server; zero if there
	// was none. If loads are estimated, Load is the estimated number of calls as a share
	// of the slots, and Share the part of its calls that the daemon sends there.
	LoadAge     time.Duration
	Load, Share float64
}

// Progress is a holder's report on a lease.
type Progress struct {
	Number uint64
	// Server runs the call. Prefill computes its prompt, and is empty after that.
	Server, Prefill mangomodel.ServerID
	Service         mangotraffic.ServiceName
	Generation      mangotraffic.Generation
	// Made is how many tokens were generated so far.
	Made mangomodel.Tokens
}

// Outcome is how an exchange with a server ended.
type Outcome int

const (
	// OutcomeSuccess means that the response was complete.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure means that the response was incomplete, invalid or missing.
	OutcomeFailure
	// OutcomeUnreachable means that no connection could be established.
	OutcomeUnreachable
	// OutcomeFull means that the server refused the call for lack of room.
	OutcomeFull
	// OutcomeCacheLost means that a computed KV cache could not be fetched.
	OutcomeCacheLost
	// OutcomeMisdirected means that the address belongs to another server now.
	OutcomeMisdirected
)

// Observation is the outcome of an exchange with one server and its load report.
type Observation struct {
	Server mangomodel.ServerID
	Saw    Outcome
	// Load is the server's load report; nil if the response had none.
	Load *mangotraffic.LoadReport
	// Took is the time from the lease to the end of the response, at plain servers only;
	// zero if it is not known.
	Took time.Duration
}

// Announcement is what a server has announced about itself in an answer of any kind.
type Announcement struct {
	// Request is the call that the answer belongs to; empty if there is none.
	Request mangomodel.RequestID
	Server  mangotraffic.ServerRef
	// Leaving is set if the server finishes its current work only.
	Leaving bool
	// Backoff is how long the server wants nothing from this daemon; zero if it did not
	// say.
	Backoff time.Duration
	// Invalid is the error of figures that were ignored or bounded.
	Invalid error
}
