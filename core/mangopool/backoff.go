package mangopool

import (
	"slices"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// BackOff records that a server wants nothing from this daemon for some time. It reports
// whether schedulers do not know that yet.
func (p *Pool) BackOff(ref mangotraffic.ServerRef, d time.Duration, now time.Time) bool {
	if b, ok := p.backends[ref.ID]; ok && b.server.Ref().After(ref) {
		return false
	}
	return p.backoffs.Add(ref, p.self, d, now)
}

// RenewBackoffs records the servers that want nothing from another daemon for some time.
func (p *Pool) RenewBackoffs(holder mangomodel.Holder, list []mangobackoff.Entry, now time.Time) {
	list = slices.DeleteFunc(slices.Clone(list), func(e mangobackoff.Entry) bool {
		b, ok := p.backends[e.Server.ID]
		return !ok || b.server.Ref().After(e.Server)
	})
	p.backoffs.Renew(holder, list, now)
}

// Backoffs returns the ends of the times for which servers want nothing from this daemon.
func (p *Pool) Backoffs() map[mangomodel.ServerID]mangobackoff.End { return p.backoffs.Ends(p.self) }

// SetDaemons sets how many daemons share the servers.
func (p *Pool) SetDaemons(n int) { p.daemons = n }

// BacksOff reports whether a server has asked a daemon for time that has not ended, or
// ended so recently that calls return gradually.
func (p *Pool) BacksOff(holder mangomodel.Holder, now time.Time) bool {
	return p.backoffs.Restricts(holder, now)
}

// Excludes reports whether a demand may not use some servers that others may use.
func (p *Pool) Excludes(pending *mangolease.PendingDemand, now time.Time) bool {
	return len(pending.Demand.Avoid) > 0 || p.BacksOff(pending.Lease.Holder, now) || p.HasOtherBuild(&pending.Demand)
}

// mayUse reports whether a server may get a demand that it has room for.
func (p *Pool) mayUse(b *backend, pending *mangolease.PendingDemand, now time.Time) bool {
	if !pending.Demand.Bound && p.isNew(b) || p.isHeld(b, now) && p.yields(pending, now) {
		return false
	}
	return b.usable(now) && b.fits(&pending.Demand) && !slices.Contains(pending.Demand.Avoid, b.server.ID) &&
		(p.backoffs.Empty() || p.backoffs.Open(b.server.Ref(), pending.Lease.Holder, now))
}

// reserved returns how many slots of a server get no work because it has asked a part of
// the daemons for time: the same part of its slots.
func (p *Pool) reserved(b *backend, now time.Time) float64 {
	if p.backoffs.Empty() {
		return 0
	}
	asked := p.backoffs.Asked(b.server.Ref(), now)
	// A daemon whose demand may use the server was not asked.
	return float64(b.server.Slots) * float64(asked) / float64(max(p.daemons, asked+1))
}

// Prospect is when a demand can be granted at the earliest.
type Prospect struct {
	// Leaving is set if a needed stage has only servers that leave.
	Leaving bool
	// BackoffEnds is when, in each needed stage, one server that the demand does not
	// avoid wants calls again from its daemon; zero if that is so already.
	BackoffEnds time.Time
}

// Prospect returns when a demand can be granted at the earliest, as far as the servers
// have announced it. A stage without listed servers is left out.
func (p *Pool) Prospect(pending *mangolease.PendingDemand, now time.Time) Prospect {
	var x Prospect
	for _, stage := range stages(&pending.Demand) {
		list := p.members(group{pending.Demand.Service, stage})
		ready, found, first := false, false, time.Time{}
		for _, b := range list {
			if b.server.State == mangotraffic.StateLeaving || !b.fits(&pending.Demand) {
				continue
			}
			ready = true
			if slices.Contains(pending.Demand.Avoid, b.server.ID) {
				continue
			}
			until := p.backoffs.Until(b.server.Ref(), pending.Lease.Holder)
			if !found || until.Before(first) {
				found, first = true, until
			}
		}
		x.Leaving = x.Leaving || len(list) > 0 && !ready
		if first.After(now) && first.After(x.BackoffEnds) {
			x.BackoffEnds = first
		}
	}
	return x
}

// stages returns the stages of which a demand needs a server.
func stages(d *mangolease.Demand) []mangotraffic.Stage {
	switch {
	case d.Generation == nil:
		return []mangotraffic.Stage{mangotraffic.StageNone}
	case d.Prefilled:
		return []mangotraffic.Stage{mangotraffic.StageDecode}
	default:
		return []mangotraffic.Stage{mangotraffic.StageDecode, mangotraffic.StagePrefill}
	}
}
