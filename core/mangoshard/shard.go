package mangoshard

import (
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangofair"
	"mangolane/core/mangomodel"
	"mangolane/core/mangospeed"
)

const (
	// initialHold is the assumed time that a slot is held before any
	// measurement.
	initialHold = 5 * time.Second
	// immediateWait is how long a demand for a free slot waits when no server
	// will do at once.
	immediateWait = 20 * time.Millisecond
)

// Shard is one shard's queues and counts.
type Shard struct {
	ID      mangomodel.ShardID
	Pool    mangoconfig.Pool
	Servers []*Server
	// Queue holds the demands that wait, by rank.
	Queue [mangomodel.Ranks]mangofair.Queue[*Waiter]
	// HoldTime is how long a slot is held, in seconds.
	HoldTime mangospeed.Average
	// urgentBurst and urgentLoad are the rate at which urgent demands arrive,
	// over a short and a long time.
	urgentBurst, urgentLoad mangospeed.Arrivals
	// basicSeen is when a basic demand last arrived.
	basicSeen time.Time
}

// New returns a shard without servers.
func New(id mangomodel.ShardID) *Shard {
	sh := &Shard{
		ID: id, HoldTime: mangospeed.Average{Value: initialHold.Seconds()},
		urgentBurst: mangospeed.Arrivals{TimeConstant: burstMemory}, urgentLoad: mangospeed.Arrivals{TimeConstant: loadMemory},
	}
	for rank := range sh.Queue {
		sh.Queue[rank] = mangofair.New[*Waiter]()
	}
	return sh
}

// Admit refuses a demand whose predicted wait exceeds its target, before it
// queues. Otherwise it sets when the demand gives up waiting.
func (sh *Shard) Admit(now time.Time, w *Waiter) error {
	rank := w.Demand.Rank
	if rank == mangomodel.RankBasic {
		sh.basicSeen = now
	} else {
		sh.urgentBurst.Add(now)
		sh.urgentLoad.Add(now)
	}
	if !sh.configured(mangomodel.RolePrefill) || !sh.configured(mangomodel.RoleDecode) {
		return mangomodel.Faultf(mangomodel.StepAdmission, PeerOf(sh.ID), mangomodel.CodeUnavailable,
			mangomodel.RunNot, "no prefill or no decode server takes new work")
	}
	service, ok := sh.serviceTime(now, w)
	if !ok {
		// All servers of a role are down; one may be back in time.
		w.Deadline = now.Add(w.Demand.Patience)
		return nil
	}
	if w.Demand.Resumed {
		w.Deadline = now.Add(w.Demand.Patience)
		return nil
	}
	wait := sh.predictedWait(now, w)
	if w.Demand.Immediate && wait > 0 {
		return Overloaded(sh.ID, wait)
	}
	if wait+service > w.Demand.Patience {
		return Overloaded(sh.ID, wait+service-w.Demand.Patience)
	}
	w.Deadline = now.Add(w.Demand.Patience - service)
	if w.Demand.Immediate {
		w.Deadline = earliest(w.Deadline, now.Add(immediateWait))
	}
	return nil
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// configured reports whether a server of a role takes new work when it is up.
func (sh *Shard) configured(role mangomodel.Role) bool {
	return slices.ContainsFunc(sh.Servers, func(sv *Server) bool {
		return sv.Host.Role == role && sv.Host.State == mangomodel.ServerLive && !sv.Draining
	})
}

// Next returns the demand to serve next and its servers, or nil. A demand
// that only its own restrictions hold back is passed over; one that waits for
// room holds back the demands behind it, or large requests would starve.
func (sh *Shard) Next(now time.Time) (*Waiter, Placement) {
	for _, rank := range sh.order(now) {
		for _, w := range sh.Queue[rank].Ordered() {
			p, ok := sh.Place(now, w)
			if ok {
				return w, p
			}
			if !w.Restricted() {
				break
			}
		}
	}
	return nil, Placement{}
}

// Slots is the number of slots on decode servers that take new work.
func (sh *Shard) Slots() int {
	n := 0
	for _, sv := range sh.Servers {
		if sv.Host.Role == mangomodel.RoleDecode && sv.Usable() {
			n += int(sv.Host.Slots)
		}
	}
	return n
}

// Used counts the grants on servers that take new work, by rank. Those on a
// server that leaves take no slot from the others.
func (sh *Shard) Used() [mangomodel.Ranks]int {
	var used [mangomodel.Ranks]int
	for _, sv := range sh.Servers {
		if sv.Host.Role != mangomodel.RoleDecode || !sv.Usable() {
			continue
		}
		for rank, n := range sv.ranks {
			used[rank] += n
		}
	}
	return used
}

// usedSlots is the number of occupied slots on servers that take new work.
func (sh *Shard) usedSlots() int {
	n := 0
	for _, sv := range sh.Servers {
		if sv.Host.Role == mangomodel.RoleDecode && sv.Usable() {
			n += sv.Occupied()
		}
	}
	return n
}

// PeerOf returns the name of a shard in faults.
func PeerOf(id mangomodel.ShardID) mangomodel.PeerName {
	return mangomodel.PeerName(id.String())
}

// Overloaded returns the refusal of a demand whose target cannot be met, with
// a time to retry after.
func Overloaded(id mangomodel.ShardID, after time.Duration) error {
	f := mangomodel.Faultf(mangomodel.StepAdmission, PeerOf(id), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"the latency target cannot be met now")
	f.RetryAfter = max(after, time.Millisecond)
	return f
}
