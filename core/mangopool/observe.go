package mangopool

import (
	"time"

	"mangolane/core/mangohealth"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// FullBackoff is how long a server that had no room gets no new work. A busy
// engine frees a slot about this often.
const FullBackoff = 50 * time.Millisecond

// Observe records an observation of an exchange. It reports whether the server was
// ejected or became usable again.
func (p *Pool) Observe(c mangolease.Observation, now time.Time) bool {
	b, ok := p.backends[c.Server]
	if !ok {
		return false
	}
	p.measureAnswer(b, c, now)
	before := b.health.Until
	if c.Load != nil {
		b.untracked, b.untrackedAt = max(c.Load.Running+c.Load.Waiting-len(b.runs), 0), now
		b.slowdown, b.slowdownAt = c.Load.Slowdown, now
	}
	p.recordSample(b, c, now)
	switch c.Saw {
	case mangolease.OutcomeSuccess:
		b.health = b.health.Succeeded()
		b.reliability = b.reliability.Record(false, now)
	case mangolease.OutcomeFailure:
		b.health = b.health.Failed(now)
		b.reliability = b.reliability.Record(true, now)
	case mangolease.OutcomeUnreachable, mangolease.OutcomeCacheLost, mangolease.OutcomeMisdirected:
		b.health = b.health.Unreachable(now)
	case mangolease.OutcomeFull:
		b.fullUntil = now.Add(FullBackoff)
		b.untracked, b.untrackedAt = max(int(b.server.Slots)-len(b.runs), 1), now
	}
	return !b.health.Until.Equal(before)
}

// Eject ejects an outlier until a time, also if calls in progress succeed. It reports
// whether the server was not ejected as one before.
func (p *Pool) Eject(id mangomodel.ServerID, until, now time.Time) bool {
	b, ok := p.backends[id]
	if !ok || !until.After(b.outlierUntil) {
		return false
	}
	before := b.outlierUntil
	b.outlierUntil = until
	return !now.Before(before)
}

// PlainServers returns the servers of each plain service.
func (p *Pool) PlainServers() map[mangotraffic.ServiceName][]mangomodel.ServerID {
	servers := make(map[mangotraffic.ServiceName][]mangomodel.ServerID)
	for id, b := range p.backends {
		if b.server.Stage == mangotraffic.StageNone {
			servers[b.server.Service] = append(servers[b.server.Service], id)
		}
	}
	return servers
}

// Server returns a listed server.
func (p *Pool) Server(id mangomodel.ServerID) (mangotraffic.Server, bool) {
	b, ok := p.backends[id]
	if !ok {
		return mangotraffic.Server{}, false
	}
	return b.server, true
}

// InGrace reports whether a server is used although its entry has vanished.
func (p *Pool) InGrace(id mangomodel.ServerID) bool {
	b, ok := p.backends[id]
	return ok && !b.removeAt.IsZero()
}

// LeavingServers returns the listed servers that finish their current work only.
func (p *Pool) LeavingServers() []mangotraffic.ServerRef {
	var list []mangotraffic.ServerRef
	for _, b := range p.backends {
		if b.server.State == mangotraffic.StateLeaving {
			list = append(list, b.server.Ref())
		}
	}
	return list
}

// Health returns a listed server and its health record.
func (p *Pool) Health(id mangomodel.ServerID) (mangotraffic.Server, mangohealth.Record) {
	b, ok := p.backends[id]
	if !ok {
		return mangotraffic.Server{}, mangohealth.Record{}
	}
	return b.server, b.health
}
