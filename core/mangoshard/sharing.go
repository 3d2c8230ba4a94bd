package mangoshard

import (
	"math"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// floorMemory is how long after the last waiting basic demand urgent work
	// still leaves the basic floor free.
	floorMemory = 5 * time.Second
	// burstMemory is the time over which the arrival rate is averaged for the
	// headroom, which has to follow a burst.
	burstMemory = 3 * time.Second
	// loadMemory is the time over which it is averaged for predictions, which
	// have to look past a burst.
	loadMemory = time.Minute
	// emptyHeadroom is the probability with which an urgent demand may find
	// the headroom used up.
	emptyHeadroom = 0.01
	// highestLoad bounds the load that the headroom is computed for.
	highestLoad = 0.95
)

// turnover is the rate at which a number of slots becomes free, per second.
func (sh *Shard) turnover(slots int) float64 {
	return float64(max(slots, 1)) / sh.HoldTime.Value
}

// headroom is how many slots basic work leaves free for urgent work to come.
// The free slots are a queue that urgent arrivals empty and ended requests
// fill; in the steady state of an M/M/1 queue the last n of them are in use
// with the probability load to the power of n.
func (sh *Shard) headroom(now time.Time, total int) int {
	load := sh.urgentBurst.Rate(now) / sh.turnover(total)
	if load <= 0 {
		return min(1, Portion(sh.Pool.UrgentReserve, total))
	}
	need := math.Log(emptyHeadroom) / math.Log(min(load, highestLoad))
	return min(int(math.Ceil(need)), Portion(sh.Pool.UrgentReserve, total))
}

// UrgentLimit is how many slots urgent work may hold. It leaves the floor to
// basic work that waits or was seen lately.
func (sh *Shard) UrgentLimit(now time.Time, total int) int {
	if sh.Queue[mangomodel.RankBasic].Len() == 0 && now.Sub(sh.basicSeen) > floorMemory {
		return total
	}
	return max(1, total-Portion(sh.Pool.BasicFloor, total))
}

// Free is how many slots a rank may still take.
func (sh *Shard) Free(now time.Time, rank mangomodel.Rank) int {
	total := sh.Slots()
	unused := total - sh.usedSlots()
	if rank == mangomodel.RankUrgent {
		return min(unused, sh.UrgentLimit(now, total)-sh.Used()[rank])
	}
	return max(min(unused, sh.belowFloor(total)), unused-sh.headroom(now, total))
}

// belowFloor is how many slots basic work lacks of its floor.
func (sh *Shard) belowFloor(total int) int {
	return max(0, Portion(sh.Pool.BasicFloor, total)-sh.Used()[mangomodel.RankBasic])
}

// order returns the ranks that may take a slot, in the order in which they
// are served. Basic work below its floor goes first, then urgent work, then
// the rest of basic work.
func (sh *Shard) order(now time.Time) []mangomodel.Rank {
	const urgent, basic = mangomodel.RankUrgent, mangomodel.RankBasic
	first, second := urgent, basic
	if sh.belowFloor(sh.Slots()) > 0 {
		first, second = basic, urgent
	}
	var order []mangomodel.Rank
	for _, rank := range []mangomodel.Rank{first, second} {
		if sh.Free(now, rank) > 0 {
			order = append(order, rank)
		}
	}
	return order
}

// predictedWait estimates how long a new demand of a rank waits for a slot:
// the demands ahead of it, at the rate at which the rank gets slots.
func (sh *Shard) predictedWait(now time.Time, w *Waiter) time.Duration {
	rank := w.Demand.Rank
	ahead := sh.Queue[rank].Len()
	free := sh.Free(now, rank)
	if ahead < free {
		return 0
	}
	// Another shard's free slot comes before a preempted one.
	if rank == mangomodel.RankUrgent && !w.Demand.Immediate && sh.Pool.Preempt && sh.NeedsPreemption(now) {
		return 0
	}
	wait := float64(ahead-free+1) / sh.serviceRate(now, rank)
	return time.Duration(wait * float64(time.Second))
}

// serviceRate is the rate at which a rank gets slots while both ranks wait,
// per second. Basic work gets what urgent work leaves, at least its floor.
func (sh *Shard) serviceRate(now time.Time, rank mangomodel.Rank) float64 {
	total := sh.Slots()
	if rank == mangomodel.RankUrgent {
		return sh.turnover(sh.UrgentLimit(now, total))
	}
	return max(sh.turnover(total)-sh.urgentLoad.Rate(now), sh.turnover(Portion(sh.Pool.BasicFloor, total)))
}

// Portion is how many of a number of slots a share is, rounded up.
func Portion(share mangomodel.Share, total int) int {
	return int(math.Ceil(float64(share) * float64(total)))
}

// NeedsPreemption reports whether urgent work lacks a slot that basic work
// above its floor holds.
func (sh *Shard) NeedsPreemption(now time.Time) bool {
	total := sh.Slots()
	used := sh.Used()
	return sh.Free(now, mangomodel.RankUrgent) <= 0 &&
		used[mangomodel.RankUrgent] < sh.UrgentLimit(now, total) &&
		used[mangomodel.RankBasic] > Portion(sh.Pool.BasicFloor, total)
}
