package mangopool

import (
	"math"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// othersAge is how old a plain server's own report of its load may be; it
	// is out of date after a few calls.
	othersAge = 300 * time.Millisecond
	// ghostTime is how long an engine that had less room than was known keeps
	// what it runs besides. Generations whose answers were lost go on for some
	// seconds; a shorter time only costs another refusal.
	ghostTime = time.Second
	// lateReserve is the share of a server's slots that demands which are
	// late already leave to those that can still be on time.
	lateReserve = 0.1
	// plainQueue is how many calls may wait at a plain server for each slot.
	plainQueue = 1.0
	// distanceLoad is the difference in load, as a share of the slots, that
	// outweighs one step of distance: half a server's slots.
	distanceLoad = 0.5
	// maxPrefillWait is the longest predicted wait for a prefill server. A
	// decode slot idles as long.
	maxPrefillWait = 120 * time.Millisecond
	// transferPenalty is what one step of distance between prefill and decode
	// server adds to the cost of a prefill server: about half a mean prefill.
	transferPenalty = 50 * time.Millisecond
	// memoryShare is the part of a decode server's memory that is planned
	// with. The rest absorbs generations longer than expected.
	memoryShare = 0.9
)

// placement is where a demand would go.
type placement struct {
	server, prefill *backend
	// peak is the memory predicted for the decode server.
	peak mangomodel.Tokens
}

// place finds the best servers for a demand.
func (p *Pool) place(a *mangolease.PendingDemand, now time.Time) (placement, bool) {
	d := &a.Demand
	if d.Generation == nil {
		b := p.best(a, mangotraffic.StageNone, now, func(b *backend) (float64, bool) { return p.plainCost(b, d, now) })
		return placement{server: b}, b != nil
	}
	decode := p.best(a, mangotraffic.StageDecode, now, func(b *backend) (float64, bool) { return p.decodeCost(b, a, now) })
	if decode == nil {
		return placement{}, false
	}
	peak := decode.peak(d.Generation, now)
	if d.Prefilled {
		return placement{server: decode, peak: peak}, true
	}
	prefill := p.best(a, mangotraffic.StagePrefill, now, func(b *backend) (float64, bool) { return p.prefillCost(b, decode, now) })
	return placement{server: decode, prefill: prefill, peak: peak}, prefill != nil
}

// best returns the usable server of a stage with the least cost. Equal choices
// are spread by the lease's number.
func (p *Pool) best(a *mangolease.PendingDemand, stage mangotraffic.Stage, now time.Time, cost func(*backend) (float64, bool)) *backend {
	var best *backend
	least, bestTie := math.Inf(1), uint64(0)
	for _, b := range p.members(group{a.Demand.Service, stage}) {
		if !b.usable(now) || slices.Contains(a.Demand.Avoid, b.server.ID) {
			continue
		}
		c, ok := cost(b)
		if !ok || c > least {
			continue
		}
		tie := mix(a.Lease.Number, string(b.server.ID))
		if c == least && tie < bestTie {
			continue
		}
		best, least, bestTie = b, c, tie
	}
	return best
}

// plainCost is the load of a plain server and its distance.
func (p *Pool) plainCost(b *backend, d *mangolease.Demand, now time.Time) (float64, bool) {
	used := float64(len(b.runs))
	if now.Sub(b.othersAt) < othersAge {
		used += float64(b.others)
	}
	slots := float64(max(b.server.Slots, 1))
	return used/slots + distanceLoad*float64(p.distance(d.Origin, b.server.DataCentre)), used < slots*(1+plainQueue)
}

// decodeCost prefers near servers, and among those the emptiest.
func (p *Pool) decodeCost(b *backend, a *mangolease.PendingDemand, now time.Time) (float64, bool) {
	slots := float64(b.server.Slots)
	free := float64(b.free(now))
	needed := 1.0
	if a.Late(now) {
		needed += math.Floor(slots * lateReserve)
	}
	engine, ok := p.engine(a.Demand.Service)
	if !ok || free < needed {
		return 0, false
	}
	total := mangomodel.Tokens(memoryShare * float64(engine.KVTokens))
	peak := b.peak(a.Demand.Generation, now)
	if peak > total && len(b.runs) > 0 {
		return 0, false
	}
	return float64(p.distance(a.Demand.Origin, b.server.DataCentre)) + float64(peak)/float64(total), true
}

// prefillCost is the predicted wait, with a penalty for a transfer that
// crosses data centres.
func (p *Pool) prefillCost(b, decode *backend, now time.Time) (float64, bool) {
	wait := b.backlog(now)
	penalty := transferPenalty * time.Duration(p.distance(decode.server.DataCentre, b.server.DataCentre))
	return (wait + penalty).Seconds(), wait <= maxPrefillWait
}

// distance is 0 within a data centre, 1 within a region and 4 between
// regions, whose link is slow and billed.
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
