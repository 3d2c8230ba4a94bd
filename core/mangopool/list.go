package mangopool

import (
	"time"

	"mangolane/core/mangohealth"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// PutServer adds or updates a server. A new life starts without a history.
func (p *Pool) PutServer(server mangotraffic.Server) {
	p.changed, p.groups = true, nil
	m, ok := p.backends[server.ID]
	if !ok {
		p.backends[server.ID] = newBackend(server)
		p.attach(server.ID)
		return
	}
	if !m.server.SameIncarnation(&server) {
		m.health = mangohealth.Record{}
		m.fullUntil = time.Time{}
	}
	if m.server.Stage != server.Stage {
		m.orderedUntil = time.Time{}
	}
	m.server = server
	m.goneAt = time.Time{}
}

// RemoveServer removes a server, or gives it time to be listed again.
func (p *Pool) RemoveServer(id mangomodel.ServerID, grace time.Duration, now time.Time) {
	m, ok := p.backends[id]
	if !ok {
		return
	}
	if grace <= 0 || m.server.State == mangotraffic.StateLeaving {
		p.remove(id)
		return
	}
	if m.goneAt.IsZero() {
		m.goneAt = now.Add(grace)
		p.changed = true
	}
}

func (p *Pool) remove(id mangomodel.ServerID) {
	delete(p.backends, id)
	p.changed, p.groups = true, nil
}

// attach finds the leases of a server that was not listed for a while.
func (p *Pool) attach(id mangomodel.ServerID) {
	for lease, l := range p.leases {
		if l.server == id {
			p.backends[id].addRun(lease, l)
		}
		if l.prefill == id {
			p.backends[id].prefills[lease] = l
		}
	}
}

// ExpireEntries removes the servers that were not listed again in time.
func (p *Pool) ExpireEntries(now time.Time) {
	for id, m := range p.backends {
		if !m.goneAt.IsZero() && !now.Before(m.goneAt) {
			p.remove(id)
		}
	}
}
