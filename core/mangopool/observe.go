package mangopool

import (
	"time"

	"mangolane/core/mangohealth"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Observation is what an exchange with a server showed.
type Observation int

const (
	// ObservedSuccess is a complete answer.
	ObservedSuccess Observation = iota
	// ObservedFailure is a broken, wrong or missing answer.
	ObservedFailure
	// ObservedUnreachable is a connection that could not be made.
	ObservedUnreachable
	// ObservedFull is a refusal for want of room.
	ObservedFull
	// ObservedLapsed is a prefilled KV cache that could not be fetched.
	ObservedLapsed
	// ObservedMoved is another server at the address.
	ObservedMoved
)

// FullPause is how long a server that had no room is left alone. A slot of a
// busy engine comes free about this often.
const FullPause = 50 * time.Millisecond

// Observed is what an exchange with a server showed.
type Observed struct {
	Server mangomodel.ServerID
	Saw    Observation
	// Load is what the server said of itself, if anything.
	Load *mangotraffic.LoadReport
}

// Observe takes in what an exchange showed. It reports whether the server was
// set aside, or is used again after it was.
func (p *Pool) Observe(c Observed, now time.Time) bool {
	m, ok := p.backends[c.Server]
	if !ok {
		return false
	}
	before := m.health.Until
	if c.Load != nil {
		m.others, m.othersAt = max(c.Load.Running+c.Load.Waiting-len(m.runs), 0), now
	}
	switch c.Saw {
	case ObservedSuccess:
		m.health = m.health.Succeeded()
	case ObservedFailure:
		m.health = m.health.Failed(now)
	case ObservedUnreachable, ObservedLapsed, ObservedMoved:
		m.health = m.health.Unreachable(now)
	case ObservedFull:
		m.fullUntil = now.Add(FullPause)
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
