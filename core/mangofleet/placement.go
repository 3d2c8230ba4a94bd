package mangofleet

import (
	"math"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// peerLoadAge is how old another daemon's load may be; news come every
	// 100 ms, and a few may be lost.
	peerLoadAge = time.Second
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
	// initialPrefillRate, in tokens a second, is used until a server's own
	// rate was measured. It is that of the slowest engines of the users'
	// sheets.
	initialPrefillRate = 50_000.0
)

// placement is where a demand would go.
type placement struct {
	server  *member
	prefill *member
}

// place finds the best servers for a demand. The salt spreads equal choices.
func (s *state) place(d *Demand, salt uint64, now time.Time) (placement, bool) {
	if d.Generation == nil {
		m := s.best(d, mangotraffic.StageNone, salt, now, func(m *member) (float64, bool) { return s.plainCost(m, now) })
		return placement{server: m}, m != nil
	}
	decode := s.best(d, mangotraffic.StageDecode, salt, now, func(m *member) (float64, bool) { return s.decodeCost(m, d, now) })
	if decode == nil {
		return placement{}, false
	}
	if d.Prefilled {
		return placement{server: decode}, true
	}
	prefill := s.best(d, mangotraffic.StagePrefill, salt, now, func(m *member) (float64, bool) {
		return s.prefillCost(m, decode, now)
	})
	return placement{server: decode, prefill: prefill}, prefill != nil
}

// best returns the usable server of a stage with the least cost.
func (s *state) best(d *Demand, stage mangotraffic.Stage, salt uint64, now time.Time, cost func(*member) (float64, bool)) *member {
	var best *member
	least, bestTie := math.Inf(1), uint64(0)
	for id, m := range s.servers {
		if m.server.Service != d.Service || m.server.Stage != stage || !m.usable(now) || slices.Contains(d.Avoid, id) {
			continue
		}
		c, ok := cost(m)
		if !ok || c > least {
			continue
		}
		tie := mix(salt, string(id))
		if c == least && tie < bestTie {
			continue
		}
		best, least, bestTie = m, c, tie
	}
	return best
}

// usable reports whether a server may get new work.
func (m *member) usable(now time.Time) bool {
	return m.server.State == mangotraffic.StateReady && m.health.Usable(now) && !now.Before(m.fullUntil)
}

// plainCost is the load of a plain server and its distance.
func (s *state) plainCost(m *member, now time.Time) (float64, bool) {
	used := float64(m.running + m.peerRunning(now))
	slots := float64(max(m.server.Slots, 1))
	return used/slots + distanceLoad*float64(s.distance(s.self.DataCentre, m.server.DataCentre)), used < slots*(1+plainQueue)
}

// decodeCost prefers near servers, and among those the emptiest.
func (s *state) decodeCost(m *member, d *Demand, now time.Time) (float64, bool) {
	slots := float64(m.server.Slots)
	free := slots - float64(m.running+m.peerRunning(now))
	needed := 1.0
	if lateness(d, now) > 0 {
		needed += math.Floor(slots * lateReserve)
	}
	if free < needed || !s.hasMemory(m, d, now) {
		return 0, false
	}
	return float64(s.distance(s.self.DataCentre, m.server.DataCentre)) + 1 - free/slots, true
}

func (s *state) hasMemory(m *member, d *Demand, now time.Time) bool {
	service, ok := s.service(d.Service)
	if !ok || service.Engine == nil {
		return false
	}
	used := m.memory
	for _, p := range m.peers {
		if now.Sub(p.at) < peerLoadAge {
			used += p.load.Memory
		}
	}
	return used+d.Generation.Memory() <= service.Engine.KVTokens
}

// prefillCost is the predicted wait, with the time of a transfer that crosses
// data centres added.
func (s *state) prefillCost(m, decode *member, now time.Time) (float64, bool) {
	backlog := m.prefills
	for _, p := range m.peers {
		if now.Sub(p.at) < peerLoadAge {
			backlog += p.load.PrefillBacklog
		}
	}
	wait := float64(backlog) / initialPrefillRate
	return wait + transferPenalty.Seconds()*float64(s.distance(decode.server.DataCentre, m.server.DataCentre)),
		wait <= maxPrefillWait.Seconds()
}

// transferPenalty is what one step of distance between prefill and decode
// server adds to the cost of a prefill server: about half of a mean prefill.
const transferPenalty = 50 * time.Millisecond

func (m *member) peerRunning(now time.Time) int {
	n := 0
	for _, p := range m.peers {
		if now.Sub(p.at) < peerLoadAge {
			n += p.load.Running
		}
	}
	return n
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

// mix spreads a salt and an id over the numbers (FNV-1a).
func mix(salt uint64, id string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := offset ^ salt*prime
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	return h ^ h>>29
}
