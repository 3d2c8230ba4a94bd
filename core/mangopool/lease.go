package mangopool

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// RenewInterval is how often a holder renews its leases at the scheduler.
	RenewInterval = 250 * time.Millisecond
	// HolderTimeout is how long the leases of a holder are kept without a
	// renewal: some missed renewals.
	HolderTimeout = 1500 * time.Millisecond
	// NewLeaseGrace is how long a new lease may be missing from renewals, since a
	// renewal may have been written before its holder received the lease.
	NewLeaseGrace = time.Second
)

// Renew updates the leases that a daemon incarnation reports and adopts those that
// another scheduler granted. It releases the incarnation's other leases of engines
// that are older than NewLeaseGrace, and all leases of earlier incarnations.
func (p *Pool) Renew(holder mangomodel.Holder, list []mangolease.Progress, now time.Time) {
	reported := make(map[mangolease.ID]bool, len(list))
	for _, x := range list {
		id := mangolease.ID{Holder: holder, Number: x.Number}
		reported[id] = true
		p.renew(id, x, now)
	}
	for id, l := range p.leases {
		if id.Holder == holder && !reported[id] && l.demand.Generation != nil && now.Sub(l.grantedAt) > NewLeaseGrace {
			p.Release(id, now)
		}
	}
	p.releaseOldIncarnations(holder, now)
}

// renew updates a lease, or adopts one that another scheduler granted.
func (p *Pool) renew(id mangolease.ID, x mangolease.Progress, now time.Time) {
	l, ok := p.leases[id]
	if !ok {
		l = p.adopt(id, x, now)
	}
	l.renewedAt = now
	// The holder has received its lease.
	p.granted = p.granted.Without(id)
	if x.Prefill == "" && l.prefill != "" {
		p.releasePrefill(id, l)
	}
	if x.Made > l.generated {
		p.measureDecodeRate(l, x.Made, now)
		l.generated, l.generatedAt = x.Made, now
	}
}

// measureDecodeRate updates the decode rate of a lease's server.
func (p *Pool) measureDecodeRate(l *lease, generated mangomodel.Tokens, now time.Time) {
	b, ok := p.backends[l.server]
	if !ok || l.generated == 0 || now.Sub(l.generatedAt) < RenewInterval/2 {
		return
	}
	rate := mangomodel.TokensPerSecond(float64(generated-l.generated) / now.Sub(l.generatedAt).Seconds())
	b.decodeRate += rateWeight * (rate - b.decodeRate)
}

func (p *Pool) adopt(id mangolease.ID, x mangolease.Progress, now time.Time) *lease {
	g := x.Generation
	l := &lease{demand: mangolease.Demand{Service: x.Service, Generation: &g}, server: x.Server, prefill: x.Prefill, grantedAt: now}
	p.leases[id] = l
	if b, ok := p.backends[x.Server]; ok {
		b.addRun(id, l)
	}
	if b, ok := p.backends[x.Prefill]; ok && x.Prefill != "" {
		b.prefills[id] = l
	}
	return l
}

// releaseOldIncarnations releases the leases of a daemon's earlier incarnations.
func (p *Pool) releaseOldIncarnations(h mangomodel.Holder, now time.Time) {
	for id := range p.leases {
		if id.Holder.Daemon == h.Daemon && id.Holder.Incarnation < h.Incarnation {
			p.Release(id, now)
		}
	}
}

// ExpireHolders releases the leases of other holders that have not renewed them
// within HolderTimeout.
func (p *Pool) ExpireHolders(now time.Time) {
	for id, l := range p.leases {
		if id.Holder != p.self && now.Sub(l.renewedAt) > HolderTimeout {
			p.Release(id, now)
		}
	}
}

// PrefillDone frees a lease's prefill server. took is zero if the prefill failed.
func (p *Pool) PrefillDone(id mangolease.ID, took time.Duration) {
	l, ok := p.leases[id]
	if !ok || l.prefill == "" {
		return
	}
	if b, ok := p.backends[l.prefill]; ok && took > 0 {
		b.measurePrefillRate(l.demand.Generation, took)
	}
	p.releasePrefill(id, l)
}

// Release ends a lease.
func (p *Pool) Release(id mangolease.ID, now time.Time) {
	l, ok := p.leases[id]
	if !ok {
		return
	}
	if l.demand.Generation == nil {
		p.measure(l.demand.Service, now)
	}
	p.releasePrefill(id, l)
	if b, ok := p.backends[l.server]; ok {
		b.removeRun(id)
		b.recordEnded(l, now)
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

// Grant leases the best servers for a pending demand. It reports false if none
// has room.
func (p *Pool) Grant(pending *mangolease.PendingDemand, now time.Time) bool {
	p.recordBuilds(group{pending.Demand.Service, runStage(&pending.Demand)}, now)
	place, ok := p.place(pending, now)
	if !ok {
		return false
	}
	l := &lease{demand: pending.Demand, server: place.server.server.ID, grantedAt: now, renewedAt: now}
	granted := mangolease.Lease{
		Server: place.server.server, Waited: now.Sub(pending.ArrivedAt),
		Scheduler: p.self.Daemon, Running: len(place.server.runs), Free: place.server.free(now), Peak: place.peak,
		Place: pending.Place,
	}
	if pending.Demand.Generation == nil {
		p.measure(pending.Demand.Service, now)
		granted.LoadAge, granted.Load, granted.Share = place.loadAge, place.estimate.Load, place.estimate.Share
	}
	place.server.addRun(pending.Lease, l)
	p.backoffs.Started(granted.Server.Ref(), pending.Lease.Holder, now)
	if place.prefill != nil {
		l.prefill = place.prefill.server.ID
		place.prefill.prefills[pending.Lease] = l
		server := place.prefill.server
		p.backoffs.Started(server.Ref(), pending.Lease.Holder, now)
		granted.Prefill, granted.PrefillTime = &server, place.prefill.backlog(now)
	}
	p.leases[pending.Lease] = l
	p.granted = p.granted.With(pending.Lease, granted)
	return true
}

// measurePrefillRate adds a measurement to the moving average of a server's prefill
// rate. All prefills that the server has at the end are assumed to have shared it.
// Other work can only make the server look slower. A measurement is limited to
// twice the initial rate.
func (b *backend) measurePrefillRate(g *mangotraffic.Generation, took time.Duration) {
	rate := mangomodel.TokensPerSecond(float64(g.Prompt) * float64(len(b.prefills)) / took.Seconds())
	b.prefillRate += rateWeight * (min(rate, 2*initialPrefillRate) - b.prefillRate)
}
