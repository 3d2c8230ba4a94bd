package mangofleet

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// LeaseID numbers the leases of one daemon.
type LeaseID uint64

// Hash spreads ids evenly over small numbers.
func (id LeaseID) Hash() uint64 { return uint64(id) }

// Demand is what a call needs.
type Demand struct {
	Request mangomodel.RequestID
	Service mangotraffic.ServiceName
	// Priority orders demands that are equally late.
	Priority mangotraffic.Priority
	// Generation is set when a decode slot is needed, and a prefill server
	// unless Prefilled.
	Generation *mangotraffic.Generation
	// Prefilled demands need no prefill server.
	Prefilled bool
	// Since orders demands of one priority.
	Since time.Time
	// OnTimeUntil is the last moment at which a start still meets the target.
	OnTimeUntil time.Time
	// Patience is when the demand is refused.
	Patience time.Time
	// Avoid names servers that have failed this call.
	Avoid []mangomodel.ServerID
}

// Lease is a granted demand.
type Lease struct {
	// Server runs the call.
	Server mangotraffic.Server
	// Prefill computes the prompt's KV cache, if asked for.
	Prefill *mangotraffic.Server
	// Waited is how long the demand was queued.
	Waited time.Duration
}
