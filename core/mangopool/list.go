package mangopool

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// PutServer adds or updates a server. A new incarnation has none of the work of the
// earlier one, whose measurements do not apply to it. The holders of its leases
// release them when their exchanges end.
func (p *Pool) PutServer(server mangotraffic.Server) {
	p.changed, p.groups = true, nil
	b, ok := p.backends[server.ID]
	if !ok {
		p.backends[server.ID] = newBackend(server)
		p.attach(server.ID)
		return
	}
	if !b.server.SameIncarnation(&server) {
		p.backends[server.ID] = newBackend(server)
		return
	}
	if b.server.Stage != server.Stage {
		b.orderedUntil = time.Time{}
	}
	b.server = server
	b.removeAt = time.Time{}
}

// RemoveServer removes a server, or starts the grace period in which it may be
// listed again.
func (p *Pool) RemoveServer(id mangomodel.ServerID, grace time.Duration, now time.Time) {
	b, ok := p.backends[id]
	if !ok {
		return
	}
	if grace <= 0 || b.server.State == mangotraffic.StateLeaving {
		p.remove(id)
		return
	}
	if b.removeAt.IsZero() {
		b.removeAt = now.Add(grace)
		p.changed = true
	}
}

func (p *Pool) remove(id mangomodel.ServerID) {
	delete(p.backends, id)
	p.changed, p.groups = true, nil
}

// attach assigns the existing leases on a server that is listed again.
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

// RemoveExpired removes the servers whose grace period has ended.
func (p *Pool) RemoveExpired(now time.Time) {
	for id, b := range p.backends {
		if !b.removeAt.IsZero() && !now.Before(b.removeAt) {
			p.remove(id)
		}
	}
}
