package mangopool

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// PutServer adds or updates a server. A new incarnation has none of the work of the
// earlier one, whose measurements do not apply to it. The holders of its leases
// release them when their exchanges end. A withdrawn incarnation stays leaving.
func (p *Pool) PutServer(server mangotraffic.Server) {
	p.changed, p.groups = true, nil
	b, ok := p.backends[server.ID]
	switch {
	case !ok:
		b = newBackend(server)
		p.backends[server.ID] = b
		p.attach(server.ID)
	case !b.server.SameIncarnation(&server):
		earlier := b.server
		b = newBackend(server)
		p.backends[server.ID] = b
		p.forgetBuild(&earlier)
		p.forgetLoad(server.ID)
	default:
		b.settled = b.settled && b.server.Build == server.Build
		if b.server.Stage != server.Stage {
			b.orderedUntil = time.Time{}
		}
		earlier := b.server
		b.server = server
		b.removeAt = time.Time{}
		if earlier.Build != server.Build {
			p.forgetBuild(&earlier)
		}
	}
	b.listedState = server.State
	p.withdrawals.Listed(server.Ref())
	p.backoffs.Listed(server.Ref())
	p.applyWithdrawal(b)
}

// Withdraw records that an incarnation of a server has announced that it leaves; own
// is set if it did in an answer to this daemon. It reports whether that was unknown.
func (p *Pool) Withdraw(ref mangotraffic.ServerRef, own bool, now time.Time) bool {
	b, listed := p.backends[ref.ID]
	known := p.withdrawals.Holds(ref)
	if listed && b.server.Ref().After(ref) || !p.withdrawals.Add(ref, own, now) {
		return false
	}
	p.changed = true
	if listed {
		p.applyWithdrawal(b)
	} else {
		p.withdrawals.Unlisted(ref.ID, now)
	}
	return !known
}

// applyWithdrawal marks a server as leaving if it has announced that.
func (p *Pool) applyWithdrawal(b *backend) {
	if p.withdrawals.Holds(b.server.Ref()) {
		b.server.State = mangotraffic.StateLeaving
	}
}

// RemoveServer removes a server, or starts the grace period in which it may be
// listed again.
func (p *Pool) RemoveServer(id mangomodel.ServerID, grace time.Duration, now time.Time) {
	b, ok := p.backends[id]
	if !ok {
		return
	}
	if grace <= 0 || b.server.State == mangotraffic.StateLeaving {
		p.remove(id, now)
		return
	}
	if until := now.Add(grace); b.removeAt.IsZero() || until.Before(b.removeAt) {
		b.removeAt = until
		p.changed = true
	}
}

// EndGraces shortens the grace periods that end after the time that until returns for a
// server. It leaves those for which that is zero. [Pool.RemoveExpired] removes the servers.
func (p *Pool) EndGraces(until func(*mangotraffic.Server) time.Time) {
	for _, b := range p.backends {
		if b.removeAt.IsZero() {
			continue
		}
		if at := until(&b.server); !at.IsZero() && b.removeAt.After(at) {
			b.removeAt = at
		}
	}
}

func (p *Pool) remove(id mangomodel.ServerID, now time.Time) {
	gone := p.backends[id].server
	delete(p.backends, id)
	p.forgetBuild(&gone)
	p.forgetLoad(id)
	p.withdrawals.Unlisted(id, now)
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

// RemoveExpired removes and returns the servers whose grace period has ended. It also removes
// old withdrawals and records of contended builds.
func (p *Pool) RemoveExpired(now time.Time) []mangotraffic.Server {
	var removed []mangotraffic.Server
	for id, b := range p.backends {
		if !b.removeAt.IsZero() && !now.Before(b.removeAt) {
			removed = append(removed, b.server)
			p.remove(id, now)
		}
	}
	p.withdrawals.Expire(now)
	p.backoffs.Expire(now)
	p.expireContended(now)
	return removed
}
