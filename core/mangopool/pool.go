// Package mangopool decides which backend servers calls are sent to.
//
// A [Pool] holds one daemon's recorded view of the listed servers and the leases
// on them. It is a data structure without goroutines or a clock: its owner, the
// control state of package mangofleet, passes in the time.
//
// # Usage
//
//	p := mangopool.New(self, regions)
//	p.PutServer(server)
//	if p.Grant(mangolease.NewPendingDemand(id, demand, now), now) { ... }
//	p.Release(id, now)
package mangopool

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangolease"
	"mangolane/core/mangoleaving"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// Pool holds the listed servers and the leases on them.
type Pool struct {
	self     mangomodel.Holder
	regions  map[mangomodel.DataCentreID]mangomodel.RegionID
	routing  *mangotraffic.Routing
	backends map[mangomodel.ServerID]*backend
	leases   map[mangolease.ID]*lease
	granted  mangoquery.Index[mangolease.ID, mangolease.Lease]
	stats    map[mangotraffic.ServiceName]*serviceStats
	// groups indexes the backends by service and stage; nil after a change of
	// the list.
	groups map[group][]*backend
	// builds holds since when the builds of services have been considered.
	builds map[serviceBuild]time.Time
	// contended holds when a demand that is bound to a build last waited for room. held is
	// which servers of a group are held for that reason; nil after a change.
	contended map[serviceBuild]time.Time
	held      *heldBuilds

	withdrawals *mangoleaving.Withdrawals
	backoffs    *mangobackoff.Board
	// loads estimates the loads of plain servers; nil if they are counted.
	loads *mangoload.Table
	// origin is this daemon's data centre; empty if loads are counted.
	origin mangomodel.DataCentreID
	// meters measure the loads of plain services, and measures is what they measured.
	meters   map[mangotraffic.ServiceName][]*mangoload.Meter
	measures LoadMeasures
	// daemons is the number of daemons that share the servers.
	daemons int
	// changed is set while the list differs from the last result of Listed.
	changed bool
}

// New returns a pool without servers.
func New(self mangomodel.Holder, regions map[mangomodel.DataCentreID]mangomodel.RegionID) *Pool {
	return &Pool{
		self: self, regions: regions,
		backends: make(map[mangomodel.ServerID]*backend),
		leases:   make(map[mangolease.ID]*lease),
		builds:   make(map[serviceBuild]time.Time), contended: make(map[serviceBuild]time.Time),
		stats:   make(map[mangotraffic.ServiceName]*serviceStats),
		meters:  make(map[mangotraffic.ServiceName][]*mangoload.Meter),
		changed: true,

		withdrawals: mangoleaving.New(),
		backoffs:    mangobackoff.New(),
		daemons:     1,
	}
}

// Configure sets the routing that defines the services.
func (p *Pool) Configure(r *mangotraffic.Routing) { p.routing = r }

// engine returns the engine settings of a service.
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

// group identifies the servers of a service that do the same work.
type group struct {
	service mangotraffic.ServiceName
	stage   mangotraffic.Stage
}

// members returns the servers of a group.
func (p *Pool) members(g group) []*backend {
	if p.groups == nil {
		p.held = nil
		p.groups = make(map[group][]*backend)
		// The meters number the servers as the groups do.
		clear(p.meters)
		for _, b := range p.backends {
			g := group{b.server.Service, b.server.Stage}
			p.groups[g] = append(p.groups[g], b)
		}
		// Sums of floating-point numbers depend on the order.
		for _, list := range p.groups {
			slices.SortFunc(list, func(a, b *backend) int { return cmp.Compare(a.server.ID, b.server.ID) })
		}
	}
	return p.groups[g]
}

// Leases returns the number of leases.
func (p *Pool) Leases() int { return len(p.leases) }

// Granted returns the leases that this daemon granted and that their holders have
// not renewed yet.
func (p *Pool) Granted() mangoquery.Index[mangolease.ID, mangolease.Lease] { return p.granted }

// Listing holds the servers of the list.
type Listing struct {
	Servers map[mangomodel.ServerID]mangotraffic.Server
	// Expired marks the servers whose entries vanished and that remain in use for
	// a grace period.
	Expired map[mangomodel.ServerID]bool
	// Withdrawn holds the servers that have announced that they leave, also those
	// without an entry. Unconfirmed are those of them whose entry says that they are
	// ready.
	Withdrawn   map[mangomodel.ServerID]mangoleaving.Withdrawal
	Unconfirmed []mangoleaving.Withdrawal
}

// Listed returns the listed servers. It reports false if they have not changed
// since the last call.
func (p *Pool) Listed() (Listing, bool) {
	if !p.changed {
		return Listing{}, false
	}
	p.changed = false
	list := Listing{
		Servers: make(map[mangomodel.ServerID]mangotraffic.Server, len(p.backends)), Expired: make(map[mangomodel.ServerID]bool),
		Withdrawn: p.withdrawals.All(),
	}
	for id, b := range p.backends {
		list.Servers[id] = b.server
		if !b.removeAt.IsZero() {
			list.Expired[id] = true
		}
		if w, ok := list.Withdrawn[id]; ok && b.listedState == mangotraffic.StateReady {
			list.Unconfirmed = append(list.Unconfirmed, w)
		}
	}
	return list, true
}

// Missing returns the servers of the pool that are not in listed.
func (p *Pool) Missing(listed map[mangomodel.ServerID]bool) []mangomodel.ServerID {
	var list []mangomodel.ServerID
	for id := range p.backends {
		if !listed[id] {
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

// NextDue returns when the next grace period ends; zero if none runs.
func (p *Pool) NextDue() time.Time {
	var due time.Time
	for _, b := range p.backends {
		if !b.removeAt.IsZero() && (due.IsZero() || b.removeAt.Before(due)) {
			due = b.removeAt
		}
	}
	return due
}

// mix hashes a salt and an id (FNV-1a).
func mix(salt uint64, id string) uint64 {
	const prime = 1099511628211
	h := salt * prime
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	return h ^ h>>29
}
