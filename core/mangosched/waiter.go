package mangosched

import (
	"time"

	"mangolane/core/mangofair"
	"mangolane/core/mangomodel"
)

// waiter is a demand in a queue.
type waiter struct {
	demand  mangomodel.Demand
	arrived time.Time
	// giveUp is when the demand can no longer meet its target.
	giveUp time.Time
	// suspect is set when the demand must run on probation, and unresolved
	// when it must wait until its last crash is confirmed or cleared.
	suspect, unresolved bool
	// gone is set when the demand was decided or withdrawn.
	gone bool
}

// remaining is how much of the caller's patience is left.
func (w *waiter) remaining(now time.Time) time.Duration {
	return w.demand.Patience - now.Sub(w.arrived)
}

// restricted reports whether a demand may use only some of the servers.
func (w *waiter) restricted() bool {
	return w.suspect || len(w.demand.Avoid) > 0
}

// Workspace implements [mangofair.Demand].
func (w *waiter) Workspace() mangomodel.WorkspaceID { return w.demand.Workspace }

// Cost implements [mangofair.Demand]. It is the number of tokens.
func (w *waiter) Cost() float64 { return float64(w.demand.Prompt + w.demand.MaxTokens) }

// Weight implements [mangofair.Demand].
func (w *waiter) Weight() int { return w.demand.Weight }

// First implements [mangofair.Demand].
func (w *waiter) First() bool { return w.demand.Resumed }

// Gone implements [mangofair.Demand].
func (w *waiter) Gone() bool { return w.gone }

// Arrival implements [mangofair.Demand].
func (w *waiter) Arrival() mangofair.Arrival {
	return mangofair.Arrival{Nanoseconds: w.arrived.UnixNano(), Grant: w.demand.Grant}
}
