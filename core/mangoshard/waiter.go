package mangoshard

import (
	"time"

	"mangolane/core/mangofair"
	"mangolane/core/mangomodel"
)

// Waiter is a demand in a queue.
type Waiter struct {
	Demand    mangomodel.Demand
	Shard     mangomodel.ShardID
	ArrivedAt time.Time
	// Deadline is when the demand can no longer meet its target.
	Deadline time.Time
	// Suspect is set when the demand must run on probation, and Unresolved
	// when it must wait until its last crash is confirmed or cleared.
	Suspect, Unresolved bool
	// Done is set when a demand in the queue no longer waits: it was refused or
	// withdrawn, or its holder was lost.
	Done bool
}

// Remaining returns how much of the demand's wait limit remains.
func (w *Waiter) Remaining(now time.Time) time.Duration {
	return w.Demand.Patience - now.Sub(w.ArrivedAt)
}

// Restricted reports whether a demand itself rules out some of the servers.
func (w *Waiter) Restricted() bool {
	return w.Suspect || len(w.Demand.Avoid) > 0
}

// Workspace implements [mangofair.Demand].
func (w *Waiter) Workspace() mangomodel.WorkspaceID { return w.Demand.Workspace }

// Cost implements [mangofair.Demand]. It is the number of tokens.
func (w *Waiter) Cost() float64 { return float64(w.Demand.Prompt + w.Demand.MaxTokens) }

// Weight implements [mangofair.Demand].
func (w *Waiter) Weight() int { return w.Demand.Weight }

// Prioritized implements [mangofair.Demand].
func (w *Waiter) Prioritized() bool { return w.Demand.Resumed }

// Inactive implements [mangofair.Demand].
func (w *Waiter) Inactive() bool { return w.Done }

// Arrival implements [mangofair.Demand].
func (w *Waiter) Arrival() mangofair.Arrival {
	return mangofair.Arrival{Nanoseconds: w.ArrivedAt.UnixNano(), Grant: w.Demand.Grant}
}
