package mangopool

import (
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangotraffic"
)

// contendedTime is how long new streams leave the servers of a build to the streams that
// began there, after one of these had to wait: clients that were refused return within it.
const contendedTime = time.Second

// RecordBoundWait records that a demand waits or is refused. If it is bound to a build, new
// streams begin at servers of other builds for some time.
func (p *Pool) RecordBoundWait(d *mangolease.Demand, now time.Time) {
	if d.Bound {
		p.contended[serviceBuild{d.Service, d.Build}] = now
	}
}

// isContended reports whether streams that began at the build of a server have had to wait.
func (p *Pool) isContended(b *backend, now time.Time) bool {
	at, ok := p.contended[serviceBuild{b.server.Service, b.server.Build}]
	return ok && now.Sub(at) < contendedTime
}

// isLeft reports whether new streams leave a server to those that began at its build. They do
// if servers of another build take them.
func (p *Pool) isLeft(b *backend, now time.Time) bool {
	if b.server.Stage == mangotraffic.StagePrefill || !p.isContended(b, now) {
		return false
	}
	return slices.ContainsFunc(p.members(group{b.server.Service, b.server.Stage}), func(other *backend) bool {
		return other.usable(now) && !p.isContended(other, now) && !p.isNew(other)
	})
}

// leavesServers reports whether a new stream leaves some servers to those that began there.
func (p *Pool) leavesServers(d *mangolease.Demand, now time.Time) bool {
	return !d.Bound && len(p.contended) > 0 &&
		slices.ContainsFunc(p.members(group{d.Service, runStage(d)}), func(b *backend) bool { return p.isLeft(b, now) })
}

// expireContended forgets which builds were contended before.
func (p *Pool) expireContended(now time.Time) {
	for key, at := range p.contended {
		if now.Sub(at) >= contendedTime {
			delete(p.contended, key)
		}
	}
}
