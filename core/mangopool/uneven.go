package mangopool

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangotraffic"
)

// unevenWindows are the lengths of the windows over which the load is measured: some calls,
// and some changes of the hosts' speeds.
var unevenWindows = []time.Duration{100 * time.Millisecond, time.Second}

// LoadMeasures is what this daemon has measured of the loads of plain servers.
type LoadMeasures struct {
	Uneven []Unevenness
	// WaitedBesideFree counts the answers whose server reported waiting calls while
	// another one that this daemon could use had free slots, as far as this daemon knows.
	WaitedBesideFree int
}

// Unevenness is the number of calls in progress at the busiest server against the mean over
// a window.
type Unevenness struct {
	Window time.Duration
	Ratio  float64
}

// TakeMeasures returns what was measured since the last call.
func (p *Pool) TakeMeasures() LoadMeasures {
	m := p.measures
	p.measures = LoadMeasures{}
	return m
}

// measure measures the load of a plain service until now. It is called before each change.
func (p *Pool) measure(service mangotraffic.ServiceName, now time.Time) {
	servers := p.members(group{service, mangotraffic.StageNone})
	meters, ok := p.meters[service]
	if !ok {
		for _, length := range unevenWindows {
			meters = append(meters, mangoload.NewMeter(len(servers), length, now))
		}
		p.meters[service] = meters
	}
	list := make([]int, len(servers))
	for i, b := range servers {
		list[i] = b.inProgress(now)
	}
	for i, m := range meters {
		if ratio, ok := m.Advance(list, now); ok {
			p.measures.Uneven = append(p.measures.Uneven, Unevenness{unevenWindows[i], ratio})
		}
	}
}

// inProgress returns the number of calls in progress at a plain server, as far as own calls
// and recent reports show them.
func (b *backend) inProgress(now time.Time) int {
	if now.Sub(b.untrackedAt) < plainLoadTTL {
		return len(b.runs) + b.untracked
	}
	return len(b.runs)
}

// measureAnswer measures the load of a plain service before an observation changes it.
func (p *Pool) measureAnswer(b *backend, o mangolease.Observation, now time.Time) {
	if b.server.Stage != mangotraffic.StageNone {
		return
	}
	p.measure(b.server.Service, now)
	if o.Load == nil || o.Load.Waiting == 0 {
		return
	}
	for _, other := range p.members(group{b.server.Service, mangotraffic.StageNone}) {
		if other != b && other.usable(now) && other.inProgress(now) < int(other.server.Slots) {
			p.measures.WaitedBesideFree++
			return
		}
	}
}
