package mangopool

import (
	"time"

	"mangolane/core/mangohealth"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// FullBackoff is how long a server that had no room is left alone. A slot of a
// busy engine comes free about this often.
const FullBackoff = 50 * time.Millisecond

// Observe takes in what an exchange showed. It reports whether the server was
// set aside, or is used again after it was.
func (p *Pool) Observe(c mangolease.Observed, now time.Time) bool {
	m, ok := p.backends[c.Server]
	if !ok {
		return false
	}
	before := m.health.Until
	if c.Load != nil {
		m.others, m.othersAt = max(c.Load.Running+c.Load.Waiting-len(m.runs), 0), now
	}
	switch c.Saw {
	case mangolease.ObservedSuccess:
		m.health = m.health.Succeeded()
	case mangolease.ObservedFailure:
		m.health = m.health.Failed(now)
	case mangolease.ObservedUnreachable, mangolease.ObservedCacheLost, mangolease.ObservedMisdirected:
		m.health = m.health.Unreachable(now)
	case mangolease.ObservedFull:
		m.fullUntil = now.Add(FullBackoff)
		m.others, m.othersAt = max(int(m.server.Slots)-len(m.runs), 1), now
	}
	return !m.health.Until.Equal(before)
}

// Health returns a listed server and what its calls have shown.
func (p *Pool) Health(id mangomodel.ServerID) (mangotraffic.Server, mangohealth.Record) {
	m, ok := p.backends[id]
	if !ok {
		return mangotraffic.Server{}, mangohealth.Record{}
	}
	return m.server, m.health
}
