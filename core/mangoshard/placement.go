package mangoshard

import (
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

// Placement is a pair of servers for a demand.
type Placement struct {
	Prefill, Decode *Server
	// PrefillDone is when the prefill is predicted to end, and Expected the
	// predicted time to the first token.
	PrefillDone time.Time
	Expected    time.Duration
}

// Place chooses the pair of servers with the earliest predicted first token.
// It fails when no decode server has room.
func (sh *Shard) Place(now time.Time, w *Waiter) (Placement, bool) {
	if w.Unresolved {
		return Placement{}, false
	}
	decode := sh.bestDecode(w)
	prefill, done := sh.bestPrefill(now, w)
	if decode == nil || prefill == nil {
		return Placement{}, false
	}
	expected := done.Sub(now) + sh.transferTime(w.Demand.Prompt) + decode.Step.Predict(decode.Occupied()+1)
	return Placement{Prefill: prefill, Decode: decode, PrefillDone: done, Expected: expected}, true
}

// serviceTime predicts the time to the first token were a slot free now.
func (sh *Shard) serviceTime(now time.Time, w *Waiter) (time.Duration, bool) {
	prefill, done := sh.bestPrefill(now, w)
	if prefill == nil || sh.Slots() == 0 {
		return 0, false
	}
	return done.Sub(now) + sh.transferTime(w.Demand.Prompt), true
}

func (sh *Shard) transferTime(prompt mangomodel.Tokens) time.Duration {
	size := float64(prompt) * float64(sh.Pool.KVBytesPerToken)
	return time.Duration(size / float64(sh.Pool.LinkRate) * float64(time.Second))
}

// bestDecode returns a decode server with room that would keep the targets of
// the demand and of the grants aboard: for urgent work the least occupied one,
// for basic work the least occupied one of the slowest that will do, so that
// fast servers are left to urgent work. Servers that failed the request before
// are used only if there are no others.
func (sh *Shard) bestDecode(w *Waiter) *Server {
	need := mangomodel.PiecesFor(w.Demand.Prompt+w.Demand.MaxTokens, sh.Pool.PieceTokens)
	var best *Server
	for _, sv := range sh.choices(w, mangomodel.RoleDecode) {
		if !sv.fits(need) || !sv.takesSuspect(w) || !sv.MeetsTargets(w.Demand) {
			continue
		}
		if best == nil || sv.betterThan(best, w.Demand.Rank) {
			best = sv
		}
	}
	return best
}

// betterThan compares two servers that will do for a demand of a rank.
func (sv *Server) betterThan(other *Server, rank mangomodel.Rank) bool {
	if rank == mangomodel.RankBasic && sv.slowerThan(other) != other.slowerThan(sv) {
		return sv.slowerThan(other)
	}
	return sv.occupancy() < other.occupancy()
}

// bestPrefill returns the prefill server that would finish first, and when.
func (sh *Shard) bestPrefill(now time.Time, w *Waiter) (*Server, time.Time) {
	var best *Server
	var done time.Time
	for _, sv := range sh.choices(w, mangomodel.RolePrefill) {
		if !sv.takesSuspect(w) {
			continue
		}
		finish := sv.prefillFinish(now, w.Demand)
		if best == nil || finish.Before(done) {
			best, done = sv, finish
		}
	}
	return best, done
}

// choices returns the servers of a role that take new work, without those to
// avoid unless there are no others.
func (sh *Shard) choices(w *Waiter, role mangomodel.Role) []*Server {
	var preferred, avoided []*Server
	for _, sv := range sh.Servers {
		switch {
		case sv.Host.Role != role || !sv.Usable():
		case slices.Contains(w.Demand.Avoid, sv.ID):
			avoided = append(avoided, sv)
		default:
			preferred = append(preferred, sv)
		}
	}
	if len(preferred) == 0 {
		return avoided
	}
	return preferred
}
