package mangoshard

import (
	"slices"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangofair"
	"mangolane/core/mangomodel"
	"mangolane/core/mangospeed"
)

const (
	// initialHoldTime is the assumed hold time of a slot before the first
	// measurement.
	initialHoldTime = 5 * time.Second
	// immediateWait is how long a demand with Immediate set waits when no server
	// is suitable at once.
	immediateWait = 20 * time.Millisecond
)

// Shard holds the servers, the queues and the measured rates of one shard.
type Shard struct {
	ID      mangomodel.ShardID
	Pool    mangoconfig.Pool
	Servers []*Server
	// Queue holds the waiting demands, by rank.
	Queue [mangomodel.Ranks]mangofair.Queue[*Waiter]
	// Backoffs holds the times for which servers want nothing from a holder.
	Backoffs *mangobackoff.Board
	// HoldTime is the average time for which a slot is held, in seconds.
	HoldTime mangospeed.Average
	// urgentBurst and urgentLoad are the arrival rates of urgent demands,
	// averaged over a short and a long time.
	urgentBurst, urgentLoad mangospeed.Arrivals
	// lastBasicArrival is when a basic demand last arrived.
	lastBasicArrival time.Time
}

// New returns a shard without servers.
func New(id mangomodel.ShardID) *Shard {
	sh := &Shard{
		ID: id, Backoffs: mangobackoff.New(), HoldTime: mangospeed.Average{Value: initialHoldTime.Seconds()},
		urgentBurst: mangospeed.Arrivals{TimeConstant: burstTimeConstant}, urgentLoad: mangospeed.Arrivals{TimeConstant: loadTimeConstant},
	}
	for rank := range sh.Queue {
		sh.Queue[rank] = mangofair.New[*Waiter]()
	}
	return sh
}

// Admit refuses a demand whose predicted time to the first token exceeds its
// target, before it queues. It also refuses demands of a shard without servers
// of a role or of the build at which the request began, or with servers that want nothing from the holder for longer than that,
// and demands with Immediate set that would wait. Otherwise it sets
// the deadline of the demand. Resumed demands are not refused for load.
func (sh *Shard) Admit(now time.Time, w *Waiter) error {
	rank := w.Demand.Rank
	if rank == mangomodel.RankBasic {
		sh.lastBasicArrival = now
	} else {
		sh.urgentBurst.Add(now)
		sh.urgentLoad.Add(now)
	}
	if w.Demand.Bound && !sh.configured(mangomodel.RoleDecode) || sh.LacksBuild(now, &w.Demand) {
		return CannotResume(sh.ID, w.Demand.Build)
	}
	if !sh.configured(mangomodel.RolePrefill) || !sh.configured(mangomodel.RoleDecode) {
		return mangomodel.Faultf(mangomodel.StepAdmission, PeerOf(sh.ID), mangomodel.CodeUnavailable,
			mangomodel.RunNot, "no prefill server or no decode server accepts new requests")
	}
	if wait := sh.backoffEnds(w).Sub(now); wait > w.Demand.Patience {
		return Overloaded(sh.ID, mangobackoff.ReturnAfter(wait, w.Demand.Grant.Number))
	}
	service, ok := sh.serviceTime(now, w)
	if !ok {
		// All servers of a role are down, or the demand is a suspect and every
		// prefill server runs another one. One may become usable before the
		// deadline.
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

// configured reports whether the shard has a server of a role that accepts new
// requests while it is up.
func (sh *Shard) configured(role mangomodel.Role) bool {
	return slices.ContainsFunc(sh.Servers, func(sv *Server) bool {
		return sv.Host.Role == role && sv.accepts()
	})
}

// Next returns the demand to serve next and its servers, or nil. A demand that
// cannot be placed is skipped if it is restricted to some of the servers.
// Otherwise it blocks the demands of its rank behind it, so that large requests
// do not starve.
func (sh *Shard) Next(now time.Time) (*Waiter, Placement) {
	for _, rank := range sh.rankOrder(now) {
		for _, w := range sh.Queue[rank].Ordered() {
			p, ok := sh.Place(now, w)
			if ok {
				return w, p
			}
			if !sh.Restricted(now, w) {
				break
			}
		}
	}
	return nil, Placement{}
}

// Slots returns the number of slots on decode servers that accept new requests.
func (sh *Shard) Slots() int {
	n := 0
	for _, sv := range sh.Servers {
		if sv.Host.Role == mangomodel.RoleDecode && sv.Usable() {
			n += int(sv.Host.Slots)
		}
	}
	return n
}

// UsedByRank counts the grants on decode servers that accept new requests, by
// rank. Grants on other servers, such as draining ones, take no slots from these.
func (sh *Shard) UsedByRank() [mangomodel.Ranks]int {
	var used [mangomodel.Ranks]int
	for _, sv := range sh.Servers {
		if sv.Host.Role != mangomodel.RoleDecode || !sv.Usable() {
			continue
		}
		for rank, n := range sv.grantsByRank {
			used[rank] += n
		}
	}
	return used
}

// usedSlots returns the number of occupied slots on decode servers that accept
// new requests.
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

// Overloaded returns the fault of a demand whose target cannot be met. Its
// RetryAfter is after, but at least a millisecond.
func Overloaded(id mangomodel.ShardID, after time.Duration) error {
	f := mangomodel.Faultf(mangomodel.StepAdmission, PeerOf(id), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"the latency target cannot be met now")
	f.RetryAfter = max(after, time.Millisecond)
	return f
}
