// Package mangopool decides which backend servers calls go to.
//
// A [Pool] holds what one daemon believes of the listed servers and the leases
// on them. It is no more than a data structure with decisions: the control
// state of package mangofleet owns it and gives it the time.
//
// # Usage
//
//	p := mangopool.New(self, regions)
//	p.PutServer(server)
//	if p.Grant(mangolease.NewPendingDemand(id, demand, now), now) { ... }
//	p.Release(id, now)
package mangopool

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// Pool is the listed servers and the leases on them.
type Pool struct {
	self     mangomodel.Holder
	regions  map[mangomodel.DataCentreID]mangomodel.RegionID
	routing  *mangotraffic.Routing
	backends map[mangomodel.ServerID]*backend
	leases   map[mangolease.ID]*lease
	granted  mangoquery.Index[mangolease.ID, mangolease.Lease]
	work     map[mangotraffic.ServiceName]*meanWork
	// groups are the backends by service and stage; nil after a change of the
	// list.
	groups map[group][]*backend
	// changed says that the list differs from what Listed returned last.
	changed bool
}

// New returns a pool without servers.
func New(self mangomodel.Holder, regions map[mangomodel.DataCentreID]mangomodel.RegionID) *Pool {
	return &Pool{
		self: self, regions: regions,
		backends: make(map[mangomodel.ServerID]*backend),
		leases:   make(map[mangolease.ID]*lease),
		work:     make(map[mangotraffic.ServiceName]*meanWork),
		changed:  true,
	}
}

// Configure sets the services.
func (p *Pool) Configure(r *mangotraffic.Routing) { p.routing = r }

// engine returns how the engines of a service are.
func (p *Pool) engine(name mangotraffic.ServiceName) (*mangotraffic.Engine, bool) {
	if p.routing == nil {
		return nil, false
	}
	service, ok := p.routing.Service(name)
	if !ok || service.Engine == nil {
		return nil, false
	}
	return service.Engine, true
}

// group names the servers of a service that do the same work.
type group struct {
	service mangotraffic.ServiceName
	stage   mangotraffic.Stage
}

// members returns the servers of a group.
func (p *Pool) members(g group) []*backend {
	if p.groups == nil {
		p.groups = make(map[group][]*backend)
		for _, b := range p.backends {
			g := group{b.server.Service, b.server.Stage}
			p.groups[g] = append(p.groups[g], b)
		}
	}
	return p.groups[g]
}

// Leases returns the number of leases.
func (p *Pool) Leases() int { return len(p.leases) }

// Granted returns the leases that this daemon granted and their holders have
// not named yet.
func (p *Pool) Granted() mangoquery.Index[mangolease.ID, mangolease.Lease] { return p.granted }

// Listing is the servers of the list.
type Listing struct {
	Servers map[mangomodel.ServerID]mangotraffic.Server
	// Expired are those that may be used for a while although their entries
	// vanished.
	Expired map[mangomodel.ServerID]bool
}

// Listed returns the listed servers, and whether they have changed since it was
// called last.
func (p *Pool) Listed() (Listing, bool) {
	if !p.changed {
		return Listing{}, false
	}
	p.changed = false
	list := Listing{
		Servers: make(map[mangomodel.ServerID]mangotraffic.Server, len(p.backends)), Expired: make(map[mangomodel.ServerID]bool),
	}
	for id, b := range p.backends {
		list.Servers[id] = b.server
		if !b.goneAt.IsZero() {
			list.Expired[id] = true
		}
	}
	return list, true
}

// Missing returns the servers that are not among the named ones.
func (p *Pool) Missing(named map[mangomodel.ServerID]bool) []mangomodel.ServerID {
	var list []mangomodel.ServerID
	for id := range p.backends {
		if !named[id] {
			list = append(list, id)
		}
	}
	return list
}

// PerRegion counts the servers of each service by region.
func (p *Pool) PerRegion() mangoroster.ServersPerRegion {
	counts := make(mangoroster.ServersPerRegion)
	for _, b := range p.backends {
		if counts[b.server.Service] == nil {
			counts[b.server.Service] = make(map[mangomodel.RegionID]int)
		}
		counts[b.server.Service][p.regions[b.server.DataCentre]]++
	}
	return counts
}

// NextDue returns when an entry has to be looked at again, if ever.
func (p *Pool) NextDue() time.Time {
	var due time.Time
	for _, b := range p.backends {
		if !b.goneAt.IsZero() && (due.IsZero() || b.goneAt.Before(due)) {
			due = b.goneAt
		}
	}
	return due
}

// mix spreads a salt and an id over the numbers (FNV-1a).
func mix(salt uint64, id string) uint64 {
	const prime = 1099511628211
	h := salt * prime
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	return h ^ h>>29
}
