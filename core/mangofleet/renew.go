package mangofleet

import (
	"maps"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// RenewInterval is how often a holder names its leases to the scheduler.
	RenewInterval = 250 * time.Millisecond
	// holderTimeout is how long the leases of a silent holder are kept: some
	// missed renewals.
	holderTimeout = 1500 * time.Millisecond
	// namingTime is how long a new lease may be missing in a renewal that was
	// written before its holder knew of it.
	namingTime = time.Second
)

// Renew names all leases that a daemon life holds.
type Renew struct {
	Holder mangomodel.Holder
	Leases []Progress
	// Usages is what the holder has used of the retry budgets.
	Usages Usages
}

// Apply applies the command.
func (c Renew) Apply(s *state, now time.Time) error {
	if now.Sub(s.actedAt) > holderTimeout {
		s.actingSince = now
	}
	s.actedAt = now
	named := make(map[LeaseID]bool, len(c.Leases))
	for _, p := range c.Leases {
		id := LeaseID{Holder: c.Holder, Number: p.Number}
		named[id] = true
		s.renew(id, p, now)
	}
	for id, l := range s.leases {
		if id.Holder == c.Holder && !named[id] && l.demand.Generation != nil && now.Sub(l.since) > namingTime {
			s.release(id, now)
		}
	}
	s.dropOldLives(c.Holder, now)
	s.allowances = maps.Clone(s.allowances)
	s.allowances[c.Holder] = s.allow(c.Holder, now)
	if c.Holder != s.self.Holder {
		s.usages[c.Holder] = peerUsage{usages: c.Usages, allowed: s.allowances[c.Holder], at: now}
	}
	s.changed.usage = true
	return nil
}

// acting reports whether this daemon may grant: renewals have come for long
// enough to know of the leases that others hold.
func (s *state) acting(now time.Time) bool {
	if len(s.peers) == 0 {
		return true
	}
	return now.Sub(s.actedAt) <= holderTimeout && now.Sub(s.actingSince) >= takeoverTime
}

// renew updates a lease, or adopts one that another scheduler granted.
func (s *state) renew(id LeaseID, p Progress, now time.Time) {
	l, ok := s.leases[id]
	if !ok {
		l = s.adopt(id, p, now)
	}
	l.seen = now
	if p.Prefill == "" && l.prefill != "" {
		s.releasePrefill(id, l)
	}
	if p.Made > l.made {
		s.measure(l, p.Made, now)
		l.made, l.madeAt = p.Made, now
	}
}

// measure learns the decode rate of a lease's server.
func (s *state) measure(l *lease, made mangomodel.Tokens, now time.Time) {
	b, ok := s.backends[l.server]
	if !ok || l.made == 0 || now.Sub(l.madeAt) < RenewInterval/2 {
		return
	}
	rate := mangomodel.TokensPerSecond(float64(made-l.made) / now.Sub(l.madeAt).Seconds())
	b.decodeRate += rateWeight * (rate - b.decodeRate)
}

func (s *state) adopt(id LeaseID, p Progress, now time.Time) *lease {
	g := p.Generation
	l := &lease{demand: Demand{Service: p.Service, Generation: &g}, server: p.Server, prefill: p.Prefill, since: now}
	s.leases[id] = l
	if b, ok := s.backends[p.Server]; ok {
		b.runs[id] = l
	}
	if b, ok := s.backends[p.Prefill]; ok && p.Prefill != "" {
		b.prefills[id] = l
	}
	return l
}

// dropOldLives releases what earlier lives of a daemon held.
func (s *state) dropOldLives(h mangomodel.Holder, now time.Time) {
	for id := range s.leases {
		if id.Holder.Daemon == h.Daemon && id.Holder.Incarnation < h.Incarnation {
			s.release(id, now)
		}
	}
}

// expireHolders releases the leases of holders that have gone silent.
func (s *state) expireHolders(now time.Time) {
	for id, l := range s.leases {
		if id.Holder != s.self.Holder && now.Sub(l.seen) > holderTimeout {
			s.release(id, now)
		}
	}
}

// PrefillDone says that a lease's prefill server has finished its part.
type PrefillDone struct {
	Lease LeaseID
	// Took is how long it took; zero if it failed.
	Took time.Duration
}

// Apply applies the command.
func (c PrefillDone) Apply(s *state, now time.Time) error {
	l, ok := s.leases[c.Lease]
	if !ok || l.prefill == "" {
		return nil
	}
	if b, ok := s.backends[l.prefill]; ok && c.Took > 0 {
		s.measurePrefill(b, l.demand.Generation, c.Took)
	}
	s.releasePrefill(c.Lease, l)
	s.serveQueue(now)
	return nil
}

// measurePrefill learns the rate of a prefill server. What was computed
// besides the prompt can only have made it look slower, so that a faster
// measurement counts more.
func (s *state) measurePrefill(b *backend, g *mangotraffic.Generation, took time.Duration) {
	rate := mangomodel.TokensPerSecond(float64(g.Prompt) * float64(len(b.prefills)) / took.Seconds())
	b.prefillRate += rateWeight * (min(rate, 2*initialPrefillRate) - b.prefillRate)
}
