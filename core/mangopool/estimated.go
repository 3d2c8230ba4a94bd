package mangopool

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// roundTrip is the time for a request and its answer between data centres of a region,
// which is no part of a server's speed. What calls to other regions took is not used.
const roundTrip = 11 * time.Millisecond

// failedTook is the time that a failed call counts as: it is repeated at best, and a server
// that fails quickly must not look fast.
const failedTook = 500 * time.Millisecond

// stuckAfter is how long a call has been in progress when it is reported although it has not
// ended: several times what plain calls take. Without it a server that does not respond is
// known as such only to those daemons that have a call there.
const stuckAfter = 150 * time.Millisecond

// EstimateLoads makes the pool of a daemon in a data centre choose plain servers by their
// estimated load.
func (p *Pool) EstimateLoads(origin mangomodel.DataCentreID, distanceCost float64) {
	p.origin, p.loads = origin, mangoload.New(p.self, distanceCost)
}

// forgetLoad removes what is known of the load of a server.
func (p *Pool) forgetLoad(id mangomodel.ServerID) {
	if p.loads != nil {
		p.loads.Forget(id)
	}
}

// LoadRecords returns what this daemon's calls showed of the plain servers; nil if loads
// are not estimated.
func (p *Pool) LoadRecords(now time.Time) mangoload.Records {
	if p.loads == nil {
		return nil
	}
	list := p.loads.Report(now)
	for id, b := range p.backends {
		if b.server.Stage != mangotraffic.StageNone {
			continue
		}
		if age := b.oldest(now); age >= stuckAfter {
			list[id] = list[id].WithUnfinished(age)
		}
	}
	return list
}

// oldest returns how long the oldest of this daemon's calls at a plain server is in progress.
func (b *backend) oldest(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, l := range b.runs {
		age = max(age, now.Sub(l.grantedAt))
	}
	return age
}

// SetSharedLoads replaces what the calls of all daemons showed of the plain servers.
func (p *Pool) SetSharedLoads(list mangoload.Records, now time.Time) {
	if p.loads == nil {
		return
	}
	listed := make(mangoload.Records, len(list))
	for id, r := range list {
		if _, ok := p.backends[id]; ok {
			listed[id] = r
		}
	}
	p.loads.SetShared(listed, now)
}

// estimated chooses the server of a plain call by the estimated loads. It reports false if
// none has room.
func (p *Pool) estimated(pending *mangolease.PendingDemand, now time.Time) (placement, bool) {
	var candidates []mangoload.Candidate
	var servers []*backend
	for _, b := range p.members(group{pending.Demand.Service, mangotraffic.StageNone}) {
		slots := float64(max(b.server.Slots, 1))
		if !p.mayUse(b, pending, now) || float64(len(b.runs)) >= slots*(1+plainQueue) {
			continue
		}
		candidates, servers = append(candidates, mangoload.Candidate{
			ID: b.server.ID, Slots: b.server.Slots, Distance: p.distance(pending.Demand.Origin, b.server.DataCentre),
			Own: len(b.runs), Oldest: b.oldest(now),
		}), append(servers, b)
	}
	i, estimates := p.loads.Choose(candidates, now)
	if i < 0 {
		return placement{}, false
	}
	return placement{server: servers[i], loadAge: estimates[i].Age, estimate: estimates[i]}, true
}

// recordSample adds what a call showed of a plain server.
func (p *Pool) recordSample(b *backend, o mangolease.Observation, now time.Time) {
	if p.loads == nil || b.server.Stage != mangotraffic.StageNone {
		return
	}
	s := mangoload.Sample{Load: -1}
	if o.Load != nil {
		s.Load = o.Load.Running + o.Load.Waiting
	}
	distance := p.distance(p.origin, b.server.DataCentre)
	switch {
	case o.Saw == mangolease.OutcomeFailure:
		s.Took = max(o.Took, failedTook)
	case o.Saw == mangolease.OutcomeSuccess && o.Took > 0 && distance <= 1:
		s.Took = max(o.Took-time.Duration(distance)*roundTrip, time.Millisecond)
		// A report counts the call that has ended with it.
		if o.Load != nil {
			s.Load = max(s.Load-1, 0)
		}
	}
	p.loads.Record(b.server.ID, s, now)
}
