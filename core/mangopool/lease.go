package mangopool

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// RenewInterval is how often a holder names its leases to the scheduler.
	RenewInterval = 250 * time.Millisecond
	// HolderTimeout is how long the leases of a silent holder are kept: some
	// missed renewals.
	HolderTimeout = 1500 * time.Millisecond
	// NewLeaseGrace is how long a new lease may be missing in a renewal that was
	// written before its holder knew of it.
	NewLeaseGrace = time.Second
)

// Renew updates the leases that a daemon life names, adopts those that another
// scheduler granted, and releases the others of that life and of earlier ones.
func (p *Pool) Renew(holder mangomodel.Holder, list []mangolease.Progress, now time.Time) {
	named := make(map[mangolease.ID]bool, len(list))
	for _, x := range list {
		id := mangolease.ID{Holder: holder, Number: x.Number}
		named[id] = true
		p.renew(id, x, now)
	}
	for id, l := range p.leases {
		if id.Holder == holder && !named[id] && l.demand.Generation != nil && now.Sub(l.since) > NewLeaseGrace {
			p.Release(id, now)
		}
	}
	p.dropOldLives(holder, now)
}

// renew updates a lease, or adopts one that another scheduler granted.
func (p *Pool) renew(id mangolease.ID, x mangolease.Progress, now time.Time) {
	l, ok := p.leases[id]
	if !ok {
		l = p.adopt(id, x, now)
	}
	l.seen = now
	// The holder knows its lease.
	p.granted = p.granted.Without(id)
	if x.Prefill == "" && l.prefill != "" {
		p.releasePrefill(id, l)
	}
	if x.Made > l.made {
		p.measure(l, x.Made, now)
		l.made, l.madeAt = x.Made, now
	}
}

// measure learns the decode rate of a lease's server.
func (p *Pool) measure(l *lease, made mangomodel.Tokens, now time.Time) {
	b, ok := p.backends[l.server]
	if !ok || l.made == 0 || now.Sub(l.madeAt) < RenewInterval/2 {
		return
	}
	rate := mangomodel.TokensPerSecond(float64(made-l.made) / now.Sub(l.madeAt).Seconds())
	b.decodeRate += rateWeight * (rate - b.decodeRate)
}

func (p *Pool) adopt(id mangolease.ID, x mangolease.Progress, now time.Time) *lease {
	g := x.Generation
	l := &lease{demand: mangolease.Demand{Service: x.Service, Generation: &g}, server: x.Server, prefill: x.Prefill, since: now}
	p.leases[id] = l
	if b, ok := p.backends[x.Server]; ok {
		b.addRun(id, l)
	}
	if b, ok := p.backends[x.Prefill]; ok && x.Prefill != "" {
		b.prefills[id] = l
	}
	return l
}

// dropOldLives releases what earlier lives of a daemon held.
func (p *Pool) dropOldLives(h mangomodel.Holder, now time.Time) {
	for id := range p.leases {
		if id.Holder.Daemon == h.Daemon && id.Holder.Incarnation < h.Incarnation {
			p.Release(id, now)
		}
	}
}

// ExpireHolders releases the leases of holders that have gone silent.
func (p *Pool) ExpireHolders(now time.Time) {
	for id, l := range p.leases {
		if id.Holder != p.self && now.Sub(l.seen) > HolderTimeout {
			p.Release(id, now)
		}
	}
}

// PrefillDone frees a lease's prefill server. Took is zero if the prefill failed.
func (p *Pool) PrefillDone(id mangolease.ID, took time.Duration) {
	l, ok := p.leases[id]
	if !ok || l.prefill == "" {
		return
	}
	if b, ok := p.backends[l.prefill]; ok && took > 0 {
		b.measurePrefill(l.demand.Generation, took)
	}
	p.releasePrefill(id, l)
}

// Release gives a lease back.
func (p *Pool) Release(id mangolease.ID, now time.Time) {
	l, ok := p.leases[id]
	if !ok {
		return
	}
	p.releasePrefill(id, l)
	if b, ok := p.backends[l.server]; ok {
		b.dropRun(id)
		b.remember(l, now)
	}
	delete(p.leases, id)
	p.granted = p.granted.Without(id)
}

func (p *Pool) releasePrefill(id mangolease.ID, l *lease) {
	if b, ok := p.backends[l.prefill]; ok {
		delete(b.prefills, id)
	}
	l.prefill = ""
}

// Grant leases the best servers for a pending demand, if there are any.
func (p *Pool) Grant(a *mangolease.PendingDemand, now time.Time) bool {
	place, ok := p.place(a, now)
	if !ok {
		return false
	}
	l := &lease{demand: a.Demand, server: place.server.server.ID, since: now, seen: now}
	granted := mangolease.Lease{
		Server: place.server.server, Waited: now.Sub(a.ArrivedAt),
		Scheduler: p.self.Daemon, Running: len(place.server.runs), Free: place.server.free(now), Peak: place.peak,
	}
	place.server.addRun(a.Lease, l)
	if place.prefill != nil {
		l.prefill = place.prefill.server.ID
		place.prefill.prefills[a.Lease] = l
		server := place.prefill.server
		granted.Prefill = &server
	}
	p.leases[a.Lease] = l
	p.granted = p.granted.With(a.Lease, granted)
	return true
}

// measurePrefill learns the rate of a prefill server. What was computed
// besides the prompt can only have made it look slower, so that a faster
// measurement counts more.
func (b *backend) measurePrefill(g *mangotraffic.Generation, took time.Duration) {
	rate := mangomodel.TokensPerSecond(float64(g.Prompt) * float64(len(b.prefills)) / took.Seconds())
	b.prefillRate += rateWeight * (min(rate, 2*initialPrefillRate) - b.prefillRate)
}
