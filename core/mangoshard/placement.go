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

// Place chooses the prefill server that is predicted to finish first and the
// best decode server for the demand's rank. It reports false when no pair is
// suitable, or when w has to wait until its last crash is confirmed or cleared.
func (sh *Shard) Place(now time.Time, w *Waiter) (Placement, bool) {
	if w.Unresolved {
		return Placement{}, false
	}
	decode := sh.bestDecode(now, w)
	prefill, done := sh.bestPrefill(now, w)
	if decode == nil || prefill == nil {
		return Placement{}, false
	}
	expected := done.Sub(now) + sh.transferTime(w.Demand.Prompt) + decode.StepModel.Predict(decode.Occupied()+1)
	return Placement{Prefill: prefill, Decode: decode, PrefillDone: done, Expected: expected}, true
}

// serviceTime predicts the time to the first token if a slot were free now. It
// reports false when no prefill server is suitable or the shard has no slots.
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

// bestDecode returns a decode server with capacity that would meet the targets
// of the demand and of its current grants, or nil. Urgent work gets the least
// occupied server. Basic work gets the least occupied of the slowest suitable
// servers, which keeps fast servers free for urgent work. Servers that failed
// the request before are used only if no other decode server accepts requests.
func (sh *Shard) bestDecode(now time.Time, w *Waiter) *Server {
	need := mangomodel.PiecesFor(w.Demand.Prompt+w.Demand.MaxTokens, sh.Pool.PieceTokens)
	var best *Server
	for _, sv := range sh.candidates(now, w, mangomodel.RoleDecode) {
		if !sv.fits(need) || !sv.allowsProbation(w) || !sv.MeetsTargets(w.Demand) {
			continue
		}
		if best == nil || sv.betterThan(best, w.Demand.Rank) {
			best = sv
		}
	}
	return best
}

// betterThan reports whether sv is preferred to other for a demand of a rank.
// Both servers must be suitable.
func (sv *Server) betterThan(other *Server, rank mangomodel.Rank) bool {
	if rank == mangomodel.RankBasic && sv.stepsSlowerThan(other) != other.stepsSlowerThan(sv) {
		return sv.stepsSlowerThan(other)
	}
	return sv.occupancy() < other.occupancy()
}

// bestPrefill returns the prefill server that is predicted to finish first and
// the predicted time, or nil when no server is suitable.
func (sh *Shard) bestPrefill(now time.Time, w *Waiter) (*Server, time.Time) {
	var best *Server
	var done time.Time
	for _, sv := range sh.candidates(now, w, mangomodel.RolePrefill) {
		if !sv.allowsProbation(w) {
			continue
		}
		finish := sv.prefillFinish(now, w.Demand)
		if best == nil || finish.Before(done) {
			best, done = sv, finish
		}
	}
	return best, done
}

// candidates returns the servers of a role that accept new requests of the demand's
// holder. Servers that the demand avoids are returned only if there are no others.
func (sh *Shard) candidates(now time.Time, w *Waiter, role mangomodel.Role) []*Server {
	var preferred, avoided []*Server
	for _, sv := range sh.Servers {
		switch {
		case sv.Host.Role != role || !sv.Usable() || !sh.Backoffs.Open(sv.Ref(), w.Demand.Grant.Holder, now):
		case !sv.mayContinue(now, &w.Demand):
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

// backoffEnds returns when, in each role, one server wants requests again from the
// demand's holder; zero if that is so already.
func (sh *Shard) backoffEnds(w *Waiter) time.Time {
	var last time.Time
	if sh.Backoffs.Empty() {
		return last
	}
	for _, role := range mangomodel.RoleValues() {
		found, first := false, time.Time{}
		for _, sv := range sh.Servers {
			if sv.Host.Role != role || !sv.Usable() {
				continue
			}
			until := sh.Backoffs.Until(sv.Ref(), w.Demand.Grant.Holder)
			if !found || until.Before(first) {
				found, first = true, until
			}
		}
		if first.After(last) {
			last = first
		}
	}
	return last
}

// Restricted reports whether a demand may use only some of the servers.
func (sh *Shard) Restricted(now time.Time, w *Waiter) bool {
	return w.Restricted() || sh.Backoffs.Restricts(w.Demand.Grant.Holder, now) || sh.hasOtherBuild(now, &w.Demand)
}
