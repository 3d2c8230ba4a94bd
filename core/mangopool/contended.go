package mangopool

import (
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// contendedTime is how long servers of a build are held for the streams that began there,
// after one of these had to wait.
const contendedTime = time.Second

// heldShare is the share of the slots of a server that is held.
const heldShare = 0.75

// RecordBoundWait records that a demand waits, if it is bound to a build and a server of that
// is full. New demands use servers of other builds for some time.
func (p *Pool) RecordBoundWait(pending *mangolease.PendingDemand, now time.Time) {
	key := serviceBuild{pending.Demand.Service, pending.Demand.Build}
	if now.Sub(p.contended[key]) >= contendedTime/4 && p.waitsForRoom(pending, now) {
		p.contended[key], p.held = now, nil
	}
}

// waitsForRoom reports whether a demand is bound to a build of which a server may get it that
// has no room.
func (p *Pool) waitsForRoom(pending *mangolease.PendingDemand, now time.Time) bool {
	d := &pending.Demand
	return d.Bound && slices.ContainsFunc(p.members(group{d.Service, runStage(d)}), func(b *backend) bool {
		return p.mayUse(b, pending, now) && !p.hasRoom(b, pending, now)
	})
}

// heldBuilds are the builds of a group whose servers are held at a time.
type heldBuilds struct {
	group  group
	at     time.Time
	builds []mangomodel.Build
}

// heldIn returns the builds of a group whose servers are held: the contended ones, if servers
// of another build take new demands.
func (p *Pool) heldIn(g group, now time.Time) []mangomodel.Build {
	if len(p.contended) == 0 || g.stage == mangotraffic.StagePrefill {
		return nil
	}
	if p.held != nil && p.held.group == g && p.held.at.Equal(now) {
		return p.held.builds
	}
	x := &heldBuilds{group: g, at: now}
	p.held = x
	for key, at := range p.contended {
		if key.service == g.service && now.Sub(at) < contendedTime {
			x.builds = append(x.builds, key.build)
		}
	}
	if len(x.builds) > 0 && !slices.ContainsFunc(p.members(g), func(b *backend) bool {
		return !slices.Contains(x.builds, b.server.Build) && b.usable(now) && !p.isNew(b)
	}) {
		x.builds = nil
	}
	return x.builds
}

// isHeld reports whether a server is held for the streams that began at its build. Only a
// part of its slots is, since fewer streams may come than have waited.
func (p *Pool) isHeld(b *backend, now time.Time) bool {
	builds := p.heldIn(group{b.server.Service, b.server.Stage}, now)
	return len(builds) > 0 && slices.Contains(builds, b.server.Build) &&
		float64(b.free(now)) <= heldShare*float64(b.server.Slots)
}

// yields reports whether a demand leaves held servers to the streams that began there. One
// that may not use some of the others does not.
func (p *Pool) yields(pending *mangolease.PendingDemand, now time.Time) bool {
	return !pending.Demand.Bound && len(pending.Demand.Avoid) == 0 && !p.BacksOff(pending.Lease.Holder, now)
}

// Yields reports whether some servers are held for others than a demand.
func (p *Pool) Yields(pending *mangolease.PendingDemand, now time.Time) bool {
	return p.yields(pending, now) && len(p.heldIn(group{pending.Demand.Service, runStage(&pending.Demand)}, now)) > 0
}

// expireContended forgets which builds were contended before.
func (p *Pool) expireContended(now time.Time) {
	for key, at := range p.contended {
		if now.Sub(at) >= contendedTime {
			delete(p.contended, key)
		}
	}
}
