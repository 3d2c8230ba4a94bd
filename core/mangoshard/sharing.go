package mangoshard

import (
	"math"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// floorGrace is how long urgent work leaves the basic floor free after the
	// last arrival of a basic demand.
	floorGrace = 5 * time.Second
	// burstTimeConstant is the time over which the arrival rate is averaged for
	// the headroom, which has to follow a burst.
	burstTimeConstant = 3 * time.Second
	// loadTimeConstant is the time over which the arrival rate is averaged for
	// predictions, which must not follow a burst.
	loadTimeConstant = time.Minute
	// exhaustionProbability is the accepted probability that an urgent demand
	// arrives when the headroom is used up.
	exhaustionProbability = 0.01
	// maxLoad is the highest load for which the headroom is computed.
	maxLoad = 0.95
)

// releaseRate returns how many of a number of slots are released per second.
func (sh *Shard) releaseRate(slots int) float64 {
	return float64(max(slots, 1)) / sh.HoldTime.Value
}

// headroom returns how many slots basic work leaves free for urgent demands
// that have yet to arrive. Urgent arrivals take free slots and ended requests
// release them. In the steady state of an M/M/1 queue, at least n slots are in
// use with the probability load to the power of n.
func (sh *Shard) headroom(now time.Time, total int) int {
	load := sh.urgentBurst.Rate(now) / sh.releaseRate(total)
	if load <= 0 {
		return min(1, SlotShare(sh.Pool.UrgentReserve, total))
	}
	need := math.Log(exhaustionProbability) / math.Log(min(load, maxLoad))
	return min(int(math.Ceil(need)), SlotShare(sh.Pool.UrgentReserve, total))
}

// UrgentLimit returns how many slots urgent work may hold. It leaves the floor
// free while basic demands wait and for floorGrace after the last one arrived.
func (sh *Shard) UrgentLimit(now time.Time, total int) int {
	if sh.Queue[mangomodel.RankBasic].Len() == 0 && now.Sub(sh.lastBasicArrival) > floorGrace {
		return total
	}
	return max(1, total-SlotShare(sh.Pool.BasicFloor, total))
}

// FreeSlots returns how many more slots a rank may take. The result may be
// negative.
func (sh *Shard) FreeSlots(now time.Time, rank mangomodel.Rank) int {
	total := sh.Slots()
	unused := total - sh.usedSlots()
	if rank == mangomodel.RankUrgent {
		return min(unused, sh.UrgentLimit(now, total)-sh.UsedByRank()[rank])
	}
	return max(min(unused, sh.floorDeficit(total)), unused-sh.headroom(now, total))
}

// floorDeficit returns how many slots basic work is below its floor.
func (sh *Shard) floorDeficit(total int) int {
	return max(0, SlotShare(sh.Pool.BasicFloor, total)-sh.UsedByRank()[mangomodel.RankBasic])
}

// rankOrder returns the ranks that may take a slot, in the order in which they
// are served. Basic work below its floor is served first, then urgent work,
// then the rest of basic work.
func (sh *Shard) rankOrder(now time.Time) []mangomodel.Rank {
	const urgent, basic = mangomodel.RankUrgent, mangomodel.RankBasic
	first, second := urgent, basic
	if sh.floorDeficit(sh.Slots()) > 0 {
		first, second = basic, urgent
	}
	var order []mangomodel.Rank
	for _, rank := range []mangomodel.Rank{first, second} {
		if sh.FreeSlots(now, rank) > 0 {
			order = append(order, rank)
		}
	}
	return order
}

// predictedWait estimates how long a new demand waits for a slot: the demands
// ahead of it beyond the free slots, divided by the rate at which its rank gets
// slots.
func (sh *Shard) predictedWait(now time.Time, w *Waiter) time.Duration {
	rank := w.Demand.Rank
	ahead := sh.Queue[rank].Len()
	free := sh.FreeSlots(now, rank)
	if ahead < free {
		return 0
	}
	// Demands with Immediate set are excluded, since a free slot of another
	// shard is preferred to preemption.
	if rank == mangomodel.RankUrgent && !w.Demand.Immediate && sh.Pool.Preempt && sh.NeedsPreemption(now) {
		return 0
	}
	wait := float64(ahead-free+1) / sh.serviceRate(now, rank)
	return time.Duration(wait * float64(time.Second))
}

// serviceRate returns the rate at which a rank gets slots while both ranks wait,
// per second. Basic work gets the slots that urgent work leaves, at least its
// floor.
func (sh *Shard) serviceRate(now time.Time, rank mangomodel.Rank) float64 {
	total := sh.Slots()
	if rank == mangomodel.RankUrgent {
		return sh.releaseRate(sh.UrgentLimit(now, total))
	}
	return max(sh.releaseRate(total)-sh.urgentLoad.Rate(now), sh.releaseRate(SlotShare(sh.Pool.BasicFloor, total)))
}

// SlotShare returns a share of a number of slots, rounded up.
func SlotShare(share mangomodel.Share, total int) int {
	return int(math.Ceil(float64(share) * float64(total)))
}

// NeedsPreemption reports whether urgent work has no free slot, is below its
// limit, and basic work holds more slots than its floor.
func (sh *Shard) NeedsPreemption(now time.Time) bool {
	total := sh.Slots()
	used := sh.UsedByRank()
	return sh.FreeSlots(now, mangomodel.RankUrgent) <= 0 &&
		used[mangomodel.RankUrgent] < sh.UrgentLimit(now, total) &&
		used[mangomodel.RankBasic] > SlotShare(sh.Pool.BasicFloor, total)
}
