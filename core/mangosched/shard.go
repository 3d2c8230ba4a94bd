package mangosched

import (
	"math"
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// floorMemory is how long after the last waiting basic demand urgent work
// still leaves the basic floor free.
const floorMemory = 5 * time.Second

// initialHold is the assumed time that a slot is held before any measurement.
const initialHold = 5 * time.Second

// shard is one shard's queues and counts.
type shard struct {
	id      mangomodel.ShardID
	pool    mangoconfig.Pool
	servers []*server
	queue   [mangomodel.Ranks]fairQueue
	used    [mangomodel.Ranks]int
	hold    average
	// basicSeen is when a basic demand last arrived.
	basicSeen time.Time
}

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

// placement is a pair of servers for a demand.
type placement struct {
	prefill, decode *server
	prefillDone     time.Time
	expected        time.Duration
}

func newShard(id mangomodel.ShardID) *shard {
	sh := &shard{id: id, hold: newAverage(initialHold.Seconds())}
	for rank := range sh.queue {
		sh.queue[rank] = newFairQueue()
	}
	return sh
}

// admit refuses a demand whose predicted wait exceeds its target, before it
// queues. Otherwise it sets when the demand gives up waiting.
func (sh *shard) admit(now time.Time, w *waiter) error {
	rank := w.demand.Rank
	if rank == mangomodel.RankBasic {
		sh.basicSeen = now
	}
	if !sh.configured(mangomodel.RolePrefill) || !sh.configured(mangomodel.RoleDecode) {
		return mangomodel.Faultf(mangomodel.StepAdmission, peerOf(sh.id), mangomodel.CodeUnavailable,
			mangomodel.RunNot, "no prefill or no decode server takes new work")
	}
	service, ok := sh.serviceTime(now, w)
	if !ok {
		// All servers of a role are down; one may be back in time.
		w.giveUp = now.Add(w.demand.Patience)
		return nil
	}
	wait := sh.predictedWait(now, rank)
	if wait+service > w.demand.Patience {
		return overloaded(sh.id, wait+service-w.demand.Patience)
	}
	w.giveUp = now.Add(w.demand.Patience - service)
	return nil
}

// configured reports whether a server of a role takes new work when it is up.
func (sh *shard) configured(role mangomodel.Role) bool {
	return slices.ContainsFunc(sh.servers, func(sv *server) bool {
		return sv.host.Role == role && sv.host.State == mangomodel.ServerLive && !sv.draining
	})
}

// predictedWait estimates how long a new demand of a rank waits for a slot:
// the demands ahead of it, served at the rate at which the rank's slots free.
func (sh *shard) predictedWait(now time.Time, rank mangomodel.Rank) time.Duration {
	total := sh.slots()
	limit := sh.limit(now, rank, total)
	ahead := sh.queue[rank].len()
	if rank == mangomodel.RankBasic {
		ahead += sh.queue[mangomodel.RankUrgent].len()
	}
	free := min(limit-sh.used[rank], total-sh.usedSlots())
	if ahead < free {
		return 0
	}
	perSecond := float64(max(limit, 1)) / sh.hold.value
	return time.Duration(float64(ahead-free+1) / perSecond * float64(time.Second))
}

// limit is how many slots a rank may hold. Urgent work leaves the floor to
// basic work that was seen lately; basic work leaves the reserve to urgent
// work.
func (sh *shard) limit(now time.Time, rank mangomodel.Rank, total int) int {
	if rank == mangomodel.RankBasic {
		return max(1, total-portion(sh.pool.UrgentReserve, total))
	}
	if sh.queue[mangomodel.RankBasic].len() == 0 && now.Sub(sh.basicSeen) > floorMemory {
		return total
	}
	return max(1, total-portion(sh.pool.BasicFloor, total))
}

func portion(share mangomodel.Share, total int) int {
	return int(math.Ceil(float64(share) * float64(total)))
}

// order returns the ranks in the order in which they are served now, without
// the ranks that hold all the slots they may. Basic work below its floor goes
// first, then urgent work, then the rest of basic work.
func (sh *shard) order(now time.Time) []mangomodel.Rank {
	const urgent, basic = mangomodel.RankUrgent, mangomodel.RankBasic
	total := sh.slots()
	var order []mangomodel.Rank
	belowFloor := sh.used[basic] < portion(sh.pool.BasicFloor, total)
	if belowFloor {
		order = append(order, basic)
	}
	if sh.used[urgent] < sh.limit(now, urgent, total) {
		order = append(order, urgent)
	}
	if !belowFloor && sh.used[basic] < sh.limit(now, basic, total) {
		order = append(order, basic)
	}
	return order
}

// next returns the demand to serve next and its servers, or nil. A demand
// that only its own restrictions hold back is passed over; one that waits for
// room holds back the demands behind it, or large requests would starve.
func (sh *shard) next(now time.Time) (*waiter, placement) {
	for _, rank := range sh.order(now) {
		for _, w := range sh.queue[rank].ordered() {
			p, ok := sh.place(now, w)
			if ok {
				return w, p
			}
			if !w.restricted() {
				break
			}
		}
	}
	return nil, placement{}
}

// slots is the number of slots on decode servers that take new work.
func (sh *shard) slots() int {
	n := 0
	for _, sv := range sh.servers {
		if sv.host.Role == mangomodel.RoleDecode && sv.usable() {
			n += int(sv.host.Slots)
		}
	}
	return n
}

// usedSlots is the number of occupied slots on servers that take new work.
func (sh *shard) usedSlots() int {
	n := 0
	for _, sv := range sh.servers {
		if sv.host.Role == mangomodel.RoleDecode && sv.usable() {
			n += sv.occupied()
		}
	}
	return n
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
	expected := done.Sub(now) + sh.transferTime(w.demand.Prompt) + decode.stepTime()
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

// bestDecode returns the least occupied decode server with room. Servers that
// failed the request before are used only if there are no others.
func (sh *shard) bestDecode(w *waiter) *server {
	need := mangomodel.PiecesFor(w.demand.Prompt+w.demand.MaxTokens, sh.pool.PieceTokens)
	var best *server
	for _, sv := range sh.choices(w, mangomodel.RoleDecode) {
		if !sv.fits(need) || !sv.takesSuspect(w) {
			continue
		}
		if best == nil || sv.occupancy() < best.occupancy() {
			best = sv
		}
	}
	return best
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
