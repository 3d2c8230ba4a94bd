package mangopool

import (
	"math"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// plainLoadTTL is how long a plain server's own load report is used; it is
	// out of date after a few calls.
	plainLoadTTL = 300 * time.Millisecond
	// slowdownTTL is how long a host's reported slowdown is used, which changes many
	// times a second.
	slowdownTTL = 300 * time.Millisecond
	// untrackedTTL is how long an engine's untracked generations are counted
	// after a refusal has implied them. Generations whose responses were lost
	// continue for some seconds; a shorter time only costs another refusal.
	untrackedTTL = time.Second
	// lateReserve is the share of a server's slots that late demands leave free
	// for those that can still meet their target.
	lateReserve = 0.1
	// plainQueue is how many calls may wait at a plain server for each slot.
	plainQueue = 1.0
	// distanceLoad is the difference in load, as a share of the slots, that
	// outweighs one step of distance: half a server's slots.
	distanceLoad = 0.5
	// maxPrefillWait is the longest predicted wait for a prefill server. A decode
	// slot is idle for as long.
	maxPrefillWait = 120 * time.Millisecond
	// transferPenalty is the cost that each step of distance between the prefill
	// and the decode server adds to a prefill server: about half a mean prefill.
	transferPenalty = 50 * time.Millisecond
	// failedPrefill and failedDecode are the costs of a failure: the time until a
	// lost prefill is repeated, and twice the distance to another data centre of
	// the region.
	failedPrefill = 800 * time.Millisecond
	failedDecode  = 2.0
)

// placement holds the servers chosen for a demand.
type placement struct {
	server, prefill *backend
	// peak is the predicted peak memory of the decode server.
	peak mangomodel.Tokens
	// loadAge is the age of the load figure of a plain server; zero if it was not used.
	// estimate is set if loads are estimated.
	loadAge  time.Duration
	estimate mangoload.Estimate
}

// place chooses the best servers for a demand.
func (p *Pool) place(pending *mangolease.PendingDemand, now time.Time) (placement, bool) {
	d := &pending.Demand
	if d.Generation == nil && p.loads != nil {
		return p.estimated(pending, now)
	}
	if d.Generation == nil {
		b := p.best(pending, mangotraffic.StageNone, now, func(b *backend) (float64, bool) { return p.plainCost(b, d, now) })
		place := placement{server: b}
		if b != nil && now.Sub(b.untrackedAt) < plainLoadTTL {
			place.loadAge = now.Sub(b.untrackedAt)
		}
		return place, b != nil
	}
	decode := p.best(pending, mangotraffic.StageDecode, now, func(b *backend) (float64, bool) { return p.decodeCost(b, pending, now) })
	if decode == nil {
		return placement{}, false
	}
	peak := decode.peak(d.Generation, now)
	if d.Prefilled {
		return placement{server: decode, peak: peak}, true
	}
	prefill := p.best(pending, mangotraffic.StagePrefill, now, func(b *backend) (float64, bool) { return p.prefillCost(b, decode, now) })
	return placement{server: decode, prefill: prefill, peak: peak}, prefill != nil
}

// best returns the usable server of a stage with the lowest cost. Ties are spread
// by a hash of the lease's number.
func (p *Pool) best(pending *mangolease.PendingDemand, stage mangotraffic.Stage, now time.Time, cost func(*backend) (float64, bool)) *backend {
	var best *backend
	least, bestTie := math.Inf(1), uint64(0)
	for _, b := range p.members(group{pending.Demand.Service, stage}) {
		if !p.mayUse(b, pending, now) {
			continue
		}
		c, ok := cost(b)
		if !ok || c > least {
			continue
		}
		tie := mix(pending.Lease.Number, string(b.server.ID))
		if c == least && tie < bestTie {
			continue
		}
		best, least, bestTie = b, c, tie
	}
	return best
}

// plainCost returns the load of a plain server, the new call included and weighted
// by how slow the server's host is now, plus its weighted distance, and whether the
// server has room.
func (p *Pool) plainCost(b *backend, d *mangolease.Demand, now time.Time) (float64, bool) {
	used := float64(len(b.runs))
	if now.Sub(b.untrackedAt) < plainLoadTTL {
		used += float64(b.untracked)
	}
	slots := float64(max(b.server.Slots, 1))
	cost := used / slots
	if slower := b.slower(now); slower > 0 {
		cost += slower * (used + 1) / slots
	}
	return cost + distanceLoad*float64(p.distance(d.Origin, b.server.DataCentre)), used < slots*(1+plainQueue)
}

// decodeCost prefers near servers, and among those the one with the lowest
// predicted memory. It reports false if the server has no room. The memory of a
// server without leases is not checked.
func (p *Pool) decodeCost(b *backend, pending *mangolease.PendingDemand, now time.Time) (float64, bool) {
	slots := float64(b.server.Slots)
	free := float64(b.free(now)) - p.reserved(b, now)
	needed := 1.0
	if pending.Late(now) {
		needed += math.Floor(slots * lateReserve)
	}
	engine, ok := p.engine(pending.Demand.Service)
	if !ok || free < needed {
		return 0, false
	}
	peak := b.peak(pending.Demand.Generation, now)
	if peak > engine.KVTokens && len(b.runs) > 0 {
		return 0, false
	}
	cost := float64(p.distance(pending.Demand.Origin, b.server.DataCentre)) + float64(peak)/float64(engine.KVTokens)
	return cost + failedDecode*b.reliability.FailureRate(now), true
}

// prefillCost returns the predicted wait in seconds, with a penalty for a transfer
// between data centres, and whether the wait is acceptable.
func (p *Pool) prefillCost(b, decode *backend, now time.Time) (float64, bool) {
	wait := b.backlog(now)
	penalty := transferPenalty * time.Duration(p.distance(decode.server.DataCentre, b.server.DataCentre))
	penalty += time.Duration(b.reliability.FailureRate(now) * float64(failedPrefill))
	return (wait + penalty).Seconds(), wait <= maxPrefillWait
}

// distance is 0 within a data centre, 1 within a region and 4 between regions,
// whose links are slow and billed.
func (p *Pool) distance(a, b mangomodel.DataCentreID) int {
	const withinRegion, betweenRegions = 1, 4
	switch {
	case a == b:
		return 0
	case p.regions[a] != "" && p.regions[a] == p.regions[b]:
		return withinRegion
	default:
		return betweenRegions
	}
}
