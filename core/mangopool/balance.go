package mangopool

import (
	"time"

	"mangolane/core/mangobalance"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// PressureWindow is how long after the last wait of a demand stage changes are
	// proposed: a change gains nothing while no demand waits.
	PressureWindow = 2 * time.Second
	// meanWeight is the weight of a new request in the mean request.
	meanWeight = 0.02
	// usedMemory is the share of an engine's memory that generations fill on
	// average. The rest is kept for those that become longer than expected.
	usedMemory = 0.9
	// MinRequests is how many requests must have been recorded before their mean
	// is used.
	MinRequests = 20
)

// serviceStats holds the mean request of a service, and the last wait and stage
// change.
type serviceStats struct {
	prompt, output float64
	requests       int
	// waitedAt is when a demand last found no server.
	waitedAt time.Time
	// changedTo is the stage that an engine was last ordered to change to.
	changed lastChange
	// before is the change before the last one.
	before lastChange
}

// lastChange is the direction and the time of a stage change.
type lastChange struct {
	to mangotraffic.Stage
	at time.Time
}

func (p *Pool) statsOf(name mangotraffic.ServiceName) *serviceStats {
	s, ok := p.stats[name]
	if !ok {
		s = &serviceStats{}
		p.stats[name] = s
	}
	return s
}

// RecordDemand adds a request to the mean of its service.
func (p *Pool) RecordDemand(d *mangolease.Demand) {
	if d.Generation != nil {
		p.statsOf(d.Service).record(d.Generation)
	}
}

// RecordWait records that a demand found no server.
func (p *Pool) RecordWait(name mangotraffic.ServiceName, now time.Time) {
	p.statsOf(name).waitedAt = now
}

// record adds a request to the mean.
func (s *serviceStats) record(g *mangotraffic.Generation) {
	s.requests++
	weight := max(meanWeight, 1/float64(s.requests))
	s.prompt += weight * (float64(g.Prompt) - s.prompt)
	s.output += weight * (float64(g.ExpectedOutput(0)) - s.output)
}

// StageChange is a proposed change of one engine's stage.
type StageChange struct {
	Service mangotraffic.ServiceName
	Server  mangotraffic.Server
	To      mangotraffic.Stage
	// Prefillers and Decoders are the current numbers of engines, and Wanted is
	// the proposed number of prefillers.
	Prefillers, Decoders, Wanted int
}

// StageChanges returns the proposed stage changes, at most one per service.
func (p *Pool) StageChanges(now time.Time) map[mangotraffic.ServiceName]StageChange {
	changes := make(map[mangotraffic.ServiceName]StageChange)
	for name, s := range p.stats {
		if s.requests >= MinRequests && now.Sub(s.waitedAt) < PressureWindow {
			if change, ok := p.stageChange(name, s, now); ok {
				changes[name] = change
			}
		}
	}
	return changes
}

func (p *Pool) stageChange(name mangotraffic.ServiceName, stats *serviceStats, now time.Time) (StageChange, bool) {
	engine, ok := p.engine(name)
	if !ok {
		return StageChange{}, false
	}
	work, prefillers, decoders, settling := p.engines(name, stats, engine, now)
	if settling || prefillers == 0 || decoders == 0 {
		return StageChange{}, false
	}
	wanted, ok := mangobalance.Prefillers(work, prefillers, decoders)
	if !ok {
		return StageChange{}, false
	}
	change := StageChange{Service: name, To: mangotraffic.StageDecode, Prefillers: prefillers, Decoders: decoders, Wanted: wanted}
	from := mangotraffic.StagePrefill
	if wanted > prefillers {
		change.To, from = mangotraffic.StagePrefill, mangotraffic.StageDecode
	}
	if last := stats.changed; last.to != mangotraffic.StageNone && last.to != change.To && now.Sub(last.at) < mangobalance.ReversalCooldown {
		return StageChange{}, false
	}
	b := p.leastLoaded(name, from, change.To, now)
	if b == nil {
		return StageChange{}, false
	}
	change.Server = b.server
	return change, true
}

// engines returns the workload of a service with the averaged rates of its
// engines, and counts the engines of each stage. An engine that was ordered to
// change its stage counts under the new one; settling is set for orderInterval
// after the order.
func (p *Pool) engines(name mangotraffic.ServiceName, stats *serviceStats, e *mangotraffic.Engine, now time.Time) (mangobalance.Workload, int, int, bool) {
	work := mangobalance.Workload{
		Prompt: mangomodel.Tokens(stats.prompt), Output: mangomodel.Tokens(stats.output), Slots: e.Slots,
		KVTokens: mangomodel.Tokens(usedMemory * float64(e.KVTokens)),
	}
	prefillers, decoders, settling := 0, 0, false
	for _, b := range p.backends {
		if b.server.Service != name || b.server.State != mangotraffic.StateReady {
			continue
		}
		settling = settling || now.Before(b.orderedUntil) && b.orderedUntil.Sub(now) > mangobalance.SettleTime-orderInterval
		if b.stage(now) == mangotraffic.StagePrefill {
			prefillers++
			work.PrefillRate += b.prefillRate
		} else {
			decoders++
			work.DecodeRate += b.decodeRate
		}
	}
	work.PrefillRate /= mangomodel.TokensPerSecond(max(prefillers, 1))
	work.DecodeRate /= mangomodel.TokensPerSecond(max(decoders, 1))
	return work, prefillers, decoders, settling
}

// orderInterval is the minimum time between two stage changes of one service.
const orderInterval = 1500 * time.Millisecond

// leastLoaded returns the engine to take from a stage to another one, or nil: in the
// data centre that has most engines of the stage, the one with the fewest leases. Of
// several builds, the one with the fewest decode engines gets another one first, and
// each keeps [minDecoders]. An engine that did not answer the same order goes first,
// since it may still carry it out; an order to a second engine would then change two.
func (p *Pool) leastLoaded(name mangotraffic.ServiceName, stage, to mangotraffic.Stage, now time.Time) *backend {
	perCentre := make(map[mangomodel.DataCentreID]int)
	candidates := make([]*backend, 0, len(p.backends))
	counts := p.decoderCounts(name, now)
	for _, b := range p.backends {
		if b.server.Service != name || b.server.Stage != stage || !b.usable(now) {
			continue
		}
		perCentre[b.server.DataCentre]++
		if counts.allow(b, to, now) {
			candidates = append(candidates, b)
		}
	}
	var best *backend
	for _, b := range candidates {
		if b.mayCarryOut(to, now) {
			return b
		}
		if best == nil || b.preferredOver(best, to, counts, perCentre) {
			best = b
		}
	}
	return best
}

// stage returns the stage of an engine, or the one that it was ordered to change to.
func (b *backend) stage(now time.Time) mangotraffic.Stage {
	if now.Before(b.orderedUntil) {
		return b.orderedTo
	}
	return b.server.Stage
}

// mayCarryOut reports whether an engine may still carry out an order that it did not
// answer.
func (b *backend) mayCarryOut(to mangotraffic.Stage, now time.Time) bool {
	return b.unansweredTo == to && now.Sub(b.unansweredAt) < mangobalance.SettleTime
}

func (b *backend) preferredOver(other *backend, to mangotraffic.Stage, counts decoderCounts, perCentre map[mangomodel.DataCentreID]int) bool {
	if x, y := counts[b.server.Build], counts[other.server.Build]; x != y && to == mangotraffic.StageDecode {
		return x < y
	}
	x, y := perCentre[b.server.DataCentre], perCentre[other.server.DataCentre]
	if x != y {
		return x > y
	}
	busy, otherBusy := len(b.runs)+len(b.prefills), len(other.runs)+len(other.prefills)
	if busy != otherBusy {
		return busy < otherBusy
	}
	return b.server.ID < other.server.ID
}

// OrderBegun records that an engine is being ordered to change its stage. The
// engine gets no new work until it is listed with another stage, the order fails
// or [mangobalance.SettleTime] has passed.
func (p *Pool) OrderBegun(id mangomodel.ServerID, to mangotraffic.Stage, now time.Time) {
	if b, ok := p.backends[id]; ok {
		b.orderedTo, b.orderedUntil = to, now.Add(mangobalance.SettleTime)
		stats := p.statsOf(b.server.Service)
		stats.before, stats.changed = stats.changed, lastChange{to, now}
	}
}

// OrderFailed records that an order was not sent, was rejected by the engine, or
// got no response. The engine gets new work of its listed stage again. The reversal
// cooldown that OrderBegun started ends unless the engine may still carry out the
// order.
func (p *Pool) OrderFailed(id mangomodel.ServerID, run mangomodel.Run, now time.Time) {
	b, ok := p.backends[id]
	if !ok {
		return
	}
	b.orderedUntil = time.Time{}
	if run == mangomodel.RunNot {
		stats := p.statsOf(b.server.Service)
		stats.changed = stats.before
		return
	}
	b.unansweredTo, b.unansweredAt = b.orderedTo, now
}
