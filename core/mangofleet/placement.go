package mangofleet

import (
	"math"
	"slices"
	"time"

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
	// takeoverTime is how long a new scheduler waits for the renewals of those
	// who hold leases: a renewal interval and a round trip between regions.
	takeoverTime = 300 * time.Millisecond
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
func (s *state) place(w *waiter, now time.Time) (placement, bool) {
	d := &w.demand
	if d.Generation == nil {
		b := s.best(w, mangotraffic.StageNone, now, func(b *backend) (float64, bool) { return s.plainCost(b, d, now) })
		return placement{server: b}, b != nil
	}
	if !s.acting(now) {
		return placement{}, false
	}
	decode := s.best(w, mangotraffic.StageDecode, now, func(b *backend) (float64, bool) { return s.decodeCost(b, w, now) })
	if decode == nil {
		return placement{}, false
	}
	peak := decode.peak(d.Generation, now)
	if d.Prefilled {
		return placement{server: decode, peak: peak}, true
	}
	prefill := s.best(w, mangotraffic.StagePrefill, now, func(b *backend) (float64, bool) { return s.prefillCost(b, decode, now) })
	return placement{server: decode, prefill: prefill, peak: peak}, prefill != nil
}

// best returns the usable server of a stage with the least cost. Equal choices
// are spread by the lease's number.
func (s *state) best(w *waiter, stage mangotraffic.Stage, now time.Time, cost func(*backend) (float64, bool)) *backend {
	var best *backend
	least, bestTie := math.Inf(1), uint64(0)
	for id, b := range s.backends {
		if b.server.Service != w.demand.Service || b.server.Stage != stage || !b.usable(now) || slices.Contains(w.demand.Avoid, id) {
			continue
		}
		c, ok := cost(b)
		if !ok || c > least {
			continue
		}
		tie := mix(w.lease.Number, string(id))
		if c == least && tie < bestTie {
			continue
		}
		best, least, bestTie = b, c, tie
	}
	return best
}

// plainCost is the load of a plain server and its distance.
func (s *state) plainCost(b *backend, d *Demand, now time.Time) (float64, bool) {
	used := float64(len(b.runs))
	if now.Sub(b.othersAt) < othersAge {
		used += float64(b.others)
	}
	slots := float64(max(b.server.Slots, 1))
	return used/slots + distanceLoad*float64(s.distance(d.Origin, b.server.DataCentre)), used < slots*(1+plainQueue)
}

// decodeCost prefers near servers, and among those the emptiest.
func (s *state) decodeCost(b *backend, w *waiter, now time.Time) (float64, bool) {
	slots := float64(b.server.Slots)
	free := float64(b.free(now))
	needed := 1.0
	if w.lateness(now) > 0 {
		needed += math.Floor(slots * lateReserve)
	}
	service, ok := s.service(w.demand.Service)
	if !ok || service.Engine == nil || free < needed {
		return 0, false
	}
	total := mangomodel.Tokens(memoryShare * float64(service.Engine.KVTokens))
	peak := b.peak(w.demand.Generation, now)
	if peak > total && len(b.runs) > 0 {
		return 0, false
	}
	return float64(s.distance(w.demand.Origin, b.server.DataCentre)) + float64(peak)/float64(total), true
}

// prefillCost is the predicted wait, with a penalty for a transfer that
// crosses data centres.
func (s *state) prefillCost(b, decode *backend, now time.Time) (float64, bool) {
	wait := b.backlog(now)
	penalty := transferPenalty * time.Duration(s.distance(decode.server.DataCentre, b.server.DataCentre))
	return (wait + penalty).Seconds(), wait <= maxPrefillWait
}

// distance is 0 within a data centre, 1 within a region and 4 between
// regions, whose link is slow and billed.
func (s *state) distance(a, b mangomodel.DataCentreID) int {
	const withinRegion, betweenRegions = 1, 4
	switch {
	case a == b:
		return 0
	case s.self.Regions[a] != "" && s.self.Regions[a] == s.self.Regions[b]:
		return withinRegion
	default:
		return betweenRegions
	}
}
