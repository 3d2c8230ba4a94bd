package mangopool

import (
	"time"

	"mangolane/core/mangobalance"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// PressureWindow is how long ago a demand may have waited for an engine to
	// be moved: without waiting nothing is gained.
	PressureWindow = 2 * time.Second
	// meanWeight is the weight of a new request in the mean request.
	meanWeight = 0.02
	// MinRequests is how many requests have to be seen before their mean
	// counts.
	MinRequests = 20
)

// meanWork is the mean request of a service.
type meanWork struct {
	prompt, output float64
	requests       int
	// waitedAt is when a demand last found no server.
	waitedAt time.Time
	// movedTo is the stage that an engine was last told to change to.
	movedTo mangotraffic.Stage
	movedAt time.Time
}

func (p *Pool) workOf(name mangotraffic.ServiceName) *meanWork {
	w, ok := p.work[name]
	if !ok {
		w = &meanWork{}
		p.work[name] = w
	}
	return w
}

// RecordDemand takes a request into the mean of its service.
func (p *Pool) RecordDemand(d *mangolease.Demand) {
	if d.Generation != nil {
		p.workOf(d.Service).record(d.Generation)
	}
}

// RecordWait notes that a demand found no server.
func (p *Pool) RecordWait(name mangotraffic.ServiceName, now time.Time) {
	p.workOf(name).waitedAt = now
}

// learn takes a request into the mean.
func (w *meanWork) record(g *mangotraffic.Generation) {
	w.requests++
	weight := max(meanWeight, 1/float64(w.requests))
	w.prompt += weight * (float64(g.Prompt) - w.prompt)
	w.output += weight * (float64(g.ExpectedOutput(0)) - w.output)
}

// StageChange is an engine that should change its stage.
type StageChange struct {
	Service mangotraffic.ServiceName
	Server  mangotraffic.Server
	To      mangotraffic.Stage
	// Prefillers and Decoders are the engines now, Wanted the prefillers then.
	Prefillers, Decoders, Wanted int
}

// StageChanges returns the engines that should change their stage, one a service.
func (p *Pool) StageChanges(now time.Time) map[mangotraffic.ServiceName]StageChange {
	changes := make(map[mangotraffic.ServiceName]StageChange)
	for name, w := range p.work {
		if w.requests >= MinRequests && now.Sub(w.waitedAt) < PressureWindow {
			if m, ok := p.stageChange(name, w, now); ok {
				changes[name] = m
			}
		}
	}
	return changes
}

func (p *Pool) stageChange(name mangotraffic.ServiceName, mean *meanWork, now time.Time) (StageChange, bool) {
	engine, ok := p.engine(name)
	if !ok {
		return StageChange{}, false
	}
	work, prefillers, decoders, settling := p.engines(name, mean, engine, now)
	if settling || prefillers == 0 || decoders == 0 {
		return StageChange{}, false
	}
	wanted, ok := mangobalance.Prefillers(work, prefillers, decoders)
	if !ok {
		return StageChange{}, false
	}
	m := StageChange{Service: name, To: mangotraffic.StageDecode, Prefillers: prefillers, Decoders: decoders, Wanted: wanted}
	from := mangotraffic.StagePrefill
	if wanted > prefillers {
		m.To, from = mangotraffic.StagePrefill, mangotraffic.StageDecode
	}
	if mean.movedTo != mangotraffic.StageNone && mean.movedTo != m.To && now.Sub(mean.movedAt) < mangobalance.ReversalCooldown {
		return StageChange{}, false
	}
	b := p.idlest(name, from, now)
	if b == nil {
		return StageChange{}, false
	}
	m.Server = b.server
	return m, true
}

// engines counts a service's engines and averages their rates. An engine that
// was told to change counts as changed; settling is set shortly after.
func (p *Pool) engines(name mangotraffic.ServiceName, mean *meanWork, e *mangotraffic.Engine, now time.Time) (mangobalance.Workload, int, int, bool) {
	work := mangobalance.Workload{
		Prompt: mangomodel.Tokens(mean.prompt), Output: mangomodel.Tokens(mean.output), Slots: e.Slots,
		KVTokens: mangomodel.Tokens(memoryShare * float64(e.KVTokens)),
	}
	prefillers, decoders, settling := 0, 0, false
	for _, b := range p.backends {
		if b.server.Service != name || b.server.State != mangotraffic.StateReady {
			continue
		}
		stage := b.server.Stage
		if now.Before(b.orderedUntil) {
			stage = b.orderedTo
			settling = settling || b.orderedUntil.Sub(now) > mangobalance.SettleTime-orderPause
		}
		if stage == mangotraffic.StagePrefill {
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

// orderPause is the time between two moves of one service.
const orderPause = 1500 * time.Millisecond

// idlest returns the engine of a stage that can be spared best: one of the data
// centre that has most of them, with the least to do.
func (p *Pool) idlest(name mangotraffic.ServiceName, stage mangotraffic.Stage, now time.Time) *backend {
	perCentre := make(map[mangomodel.DataCentreID]int)
	candidates := make([]*backend, 0, len(p.backends))
	for _, b := range p.backends {
		if b.server.Service == name && b.server.Stage == stage && b.usable(now) {
			perCentre[b.server.DataCentre]++
			candidates = append(candidates, b)
		}
	}
	var best *backend
	for _, b := range candidates {
		if best == nil || b.sparedBefore(best, perCentre) {
			best = b
		}
	}
	return best
}

func (b *backend) sparedBefore(other *backend, perCentre map[mangomodel.DataCentreID]int) bool {
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

// OrderBegun notes that an engine is told to change its stage. It gets no new
// work of its old stage.
func (p *Pool) OrderBegun(id mangomodel.ServerID, to mangotraffic.Stage, now time.Time) {
	if b, ok := p.backends[id]; ok {
		b.orderedTo, b.orderedUntil = to, now.Add(mangobalance.SettleTime)
		mean := p.workOf(b.server.Service)
		mean.movedTo, mean.movedAt = to, now
	}
}

// OrderFailed notes that an engine was not told, or did not take the order.
func (p *Pool) OrderFailed(id mangomodel.ServerID) {
	if b, ok := p.backends[id]; ok {
		b.orderedUntil = time.Time{}
	}
}
