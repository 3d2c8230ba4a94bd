package mangosched

import (
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangofair"
	"mangolane/core/mangomodel"
	"mangolane/core/mangospeed"
)

// initialHold is the assumed time that a slot is held before any measurement.
const initialHold = 5 * time.Second

// shard is one shard's queues and counts.
type shard struct {
	id      mangomodel.ShardID
	pool    mangoconfig.Pool
	servers []*server
	queue   [mangomodel.Ranks]mangofair.Queue[*waiter]
	used    [mangomodel.Ranks]int
	hold    mangospeed.Average
	// urgentBurst and urgentLoad are the rate at which urgent demands arrive,
	// over a short and a long time.
	urgentBurst, urgentLoad mangospeed.Arrivals
	// basicSeen is when a basic demand last arrived.
	basicSeen time.Time
}

func newShard(id mangomodel.ShardID) *shard {
	sh := &shard{
		id: id, hold: mangospeed.Average{Value: initialHold.Seconds()},
		urgentBurst: mangospeed.Arrivals{Memory: burstMemory}, urgentLoad: mangospeed.Arrivals{Memory: loadMemory},
	}
	for rank := range sh.queue {
		sh.queue[rank] = mangofair.New[*waiter]()
	}
	return sh
}

// admit refuses a demand whose predicted wait exceeds its target, before it
// queues. Otherwise it sets when the demand gives up waiting.
func (sh *shard) admit(now time.Time, w *waiter) error {
	rank := w.demand.Rank
	if rank == mangomodel.RankBasic {
		sh.basicSeen = now
	} else {
		sh.urgentBurst.Add(now)
		sh.urgentLoad.Add(now)
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
	if w.demand.Resumed {
		w.giveUp = now.Add(w.demand.Patience)
		return nil
	}
	wait := sh.predictedWait(now, w)
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

// next returns the demand to serve next and its servers, or nil. A demand
// that only its own restrictions hold back is passed over; one that waits for
// room holds back the demands behind it, or large requests would starve.
func (sh *shard) next(now time.Time) (*waiter, placement) {
	for _, rank := range sh.order(now) {
		for _, w := range sh.queue[rank].Ordered() {
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
