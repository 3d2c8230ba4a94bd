package mangosched

import (
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

// placement is a pair of servers for a demand.
type placement struct {
	prefill, decode *server
	prefillDone     time.Time
	expected        time.Duration
}

// place chooses the pair of servers with the earliest predicted first token.
// It fails when no decode server has room.
func (sh *shard) place(now time.Time, w *waiter) (placement, bool) {
	if w.unresolved {
		return placement{}, false
	}
	decode := sh.bestDecode(w)
	prefill, done := sh.bestPrefill(now, w)
	if decode == nil || prefill == nil {
		return placement{}, false
	}
	expected := done.Sub(now) + sh.transferTime(w.demand.Prompt) + decode.step.At(decode.occupied()+1)
	return placement{prefill: prefill, decode: decode, prefillDone: done, expected: expected}, true
}

// serviceTime predicts the time to the first token were a slot free now.
func (sh *shard) serviceTime(now time.Time, w *waiter) (time.Duration, bool) {
	prefill, done := sh.bestPrefill(now, w)
	if prefill == nil || sh.slots() == 0 {
		return 0, false
	}
	return done.Sub(now) + sh.transferTime(w.demand.Prompt), true
}

func (sh *shard) transferTime(prompt mangomodel.Tokens) time.Duration {
	size := float64(prompt) * float64(sh.pool.KVBytesPerToken)
	return time.Duration(size / float64(sh.pool.LinkRate) * float64(time.Second))
}

// bestDecode returns a decode server with room that would keep the targets of
// the demand and of the grants aboard: for urgent work the least occupied one,
// for basic work the least occupied one of the slowest that will do, so that
// fast servers are left to urgent work. Servers that failed the request before
// are used only if there are no others.
func (sh *shard) bestDecode(w *waiter) *server {
	need := mangomodel.PiecesFor(w.demand.Prompt+w.demand.MaxTokens, sh.pool.PieceTokens)
	var best *server
	for _, sv := range sh.choices(w, mangomodel.RoleDecode) {
		if !sv.fits(need) || !sv.takesSuspect(w) || !sv.meets(w.demand) {
			continue
		}
		if best == nil || sv.betterThan(best, w.demand.Rank) {
			best = sv
		}
	}
	return best
}

// betterThan compares two servers that will do for a demand of a rank.
func (sv *server) betterThan(other *server, rank mangomodel.Rank) bool {
	if rank == mangomodel.RankBasic && sv.slowerThan(other) != other.slowerThan(sv) {
		return sv.slowerThan(other)
	}
	return sv.occupancy() < other.occupancy()
}

// bestPrefill returns the prefill server that would finish first, and when.
func (sh *shard) bestPrefill(now time.Time, w *waiter) (*server, time.Time) {
	var best *server
	var done time.Time
	for _, sv := range sh.choices(w, mangomodel.RolePrefill) {
		if !sv.takesSuspect(w) {
			continue
		}
		finish := sv.prefillFinish(now, w.demand)
		if best == nil || finish.Before(done) {
			best, done = sv, finish
		}
	}
	return best, done
}

// choices returns the servers of a role that take new work, without those to
// avoid unless there are no others.
func (sh *shard) choices(w *waiter, role mangomodel.Role) []*server {
	var preferred, avoided []*server
	for _, sv := range sh.servers {
		switch {
		case sv.host.Role != role || !sv.usable():
		case slices.Contains(w.demand.Avoid, sv.id):
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
