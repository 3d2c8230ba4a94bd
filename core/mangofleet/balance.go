package mangofleet

import (
	"time"

	"mangolane/core/mangobalance"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// pressureTime is how long ago a demand may have waited for an engine to
	// be moved: without waiting nothing is gained.
	pressureTime = 2 * time.Second
	// meanWeight is the weight of a new request in the mean request.
	meanWeight = 0.02
	// leastRequests is how many requests have to be seen before their mean
	// counts.
	leastRequests = 20
)

// meanWork is the mean request of a service.
type meanWork struct {
	prompt, output float64
	requests       int
	// waitedAt is when a demand last found no server.
	waitedAt time.Time
}

func (s *state) workOf(name mangotraffic.ServiceName) *meanWork {
	w, ok := s.work[name]
	if !ok {
		w = &meanWork{}
		s.work[name] = w
	}
	return w
}

// learn takes a request into the mean.
func (w *meanWork) learn(g *mangotraffic.Generation) {
	w.requests++
	weight := max(meanWeight, 1/float64(w.requests))
	w.prompt += weight * (float64(g.Prompt) - w.prompt)
	w.output += weight * (float64(g.Expected(0)) - w.output)
}

// Move is an engine that should change its stage.
type Move struct {
	Service mangotraffic.ServiceName
	Server  mangotraffic.Server
	To      mangotraffic.Stage
	// Prefillers and Decoders are the engines now, Wanted the prefillers then.
	Prefillers, Decoders, Wanted int
}

// Move returns the engine of a service that should change its stage, if any.
func (v *View) Move(name mangotraffic.ServiceName) (Move, bool) {
	m, ok := v.moves[name]
	return m, ok
}

// movesOf works out the moves of all services.
func (s *state) movesOf(now time.Time) map[mangotraffic.ServiceName]Move {
	moves := make(map[mangotraffic.ServiceName]Move)
	for name, w := range s.work {
		if w.requests >= leastRequests && now.Sub(w.waitedAt) < pressureTime {
			if m, ok := s.move(name, w, now); ok {
				moves[name] = m
			}
		}
	}
	return moves
}

func (s *state) move(name mangotraffic.ServiceName, mean *meanWork, now time.Time) (Move, bool) {
	service, ok := s.service(name)
	if !ok || service.Engine == nil {
		return Move{}, false
	}
	work, prefillers, decoders, settling := s.engines(name, mean, service.Engine, now)
	if settling || prefillers == 0 || decoders == 0 {
		return Move{}, false
	}
	wanted, ok := mangobalance.Prefillers(work, prefillers, decoders)
	if !ok {
		return Move{}, false
	}
	m := Move{Service: name, To: mangotraffic.StageDecode, Prefillers: prefillers, Decoders: decoders, Wanted: wanted}
	from := mangotraffic.StagePrefill
	if wanted > prefillers {
		m.To, from = mangotraffic.StagePrefill, mangotraffic.StageDecode
	}
	b := s.idlest(name, from, now)
	if b == nil {
		return Move{}, false
	}
	m.Server = b.server
	return m, true
}

// engines counts a service's engines and averages their rates. An engine that
// was told to change counts as changed; settling is set shortly after.
func (s *state) engines(name mangotraffic.ServiceName, mean *meanWork, e *mangotraffic.Engine, now time.Time) (mangobalance.Work, int, int, bool) {
	work := mangobalance.Work{
		Prompt: mangomodel.Tokens(mean.prompt), Output: mangomodel.Tokens(mean.output), Slots: e.Slots,
		KVTokens: mangomodel.Tokens(memoryShare * float64(e.KVTokens)),
	}
	prefillers, decoders, settling := 0, 0, false
	for _, b := range s.backends {
		if b.server.Service != name || b.server.State != mangotraffic.StateReady {
			continue
		}
		stage := b.server.Stage
		if now.Before(b.orderedUntil) {
			stage = b.orderedTo
			settling = settling || b.orderedUntil.Sub(now) > mangobalance.Settle-orderPause
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
func (s *state) idlest(name mangotraffic.ServiceName, stage mangotraffic.Stage, now time.Time) *backend {
	perCentre := make(map[mangomodel.DataCentreID]int)
	candidates := make([]*backend, 0, len(s.backends))
	for _, b := range s.backends {
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

// OrderBegun says that an engine is told to change its stage. It gets no new
// work of its old stage.
type OrderBegun struct {
	Server mangomodel.ServerID
	To     mangotraffic.Stage
}

// Apply applies the command.
func (c OrderBegun) Apply(s *state, now time.Time) error {
	if b, ok := s.backends[c.Server]; ok {
		b.orderedTo, b.orderedUntil = c.To, now.Add(mangobalance.Settle)
	}
	return nil
}

// OrderFailed says that an engine was not told, or did not take the order.
type OrderFailed struct{ Server mangomodel.ServerID }

// Apply applies the command.
func (c OrderFailed) Apply(s *state, _ time.Time) error {
	if b, ok := s.backends[c.Server]; ok {
		b.orderedUntil = time.Time{}
	}
	return nil
}
