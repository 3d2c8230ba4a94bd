package mangoshare

import (
	"math"
	"time"

	"mangolane/core/mangofair"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoqueue"
	"mangolane/core/mangotraffic"
)

// DefaultBasicShare is the default of the number of grants of which one goes to less
// urgent demands in an overload of urgent ones. It costs urgent work at most a tenth of
// its grants. Fewer would cost it more than a deployment's engines differ in speed;
// more would leave a service with 20 grants a second less than 2 for all other ranks,
// of which a client that waits for about a second could not expect one.
const DefaultBasicShare = 10

const (
	// servedWindow is the time over which arrivals and grants of a rank are averaged for
	// the comparison of how often ranks are served. A rank with one demand a second then
	// counts some tens: with a window of 10 s such a rank was served 5.6 points more often
	// than urgent work.
	servedWindow = 30 * time.Second
	// maxRanks is the number of recorded ranks of a service beyond which those without
	// recent arrivals are removed. Configurations use about ten.
	maxRanks = 16
	// minArrivals is the faded number of arrivals below which a rank counts as idle.
	minArrivals = 0.01
)

// Shares records what workspaces and ranks have received of each service. It is soft
// state: new Shares treat all of them as equal.
type Shares struct {
	// basicShare is the number of grants of which one goes to less urgent demands.
	basicShare int
	services   map[mangotraffic.ServiceName]*service
}

// New returns Shares without records. One in basicShare grants of a service goes to less
// urgent demands while more urgent ones wait; values below 2 count as 2.
func New(basicShare int) *Shares {
	return &Shares{basicShare: max(basicShare, 2), services: make(map[mangotraffic.ServiceName]*service)}
}

// service records what the ranks of a service have received.
type service struct {
	ranks map[mangotraffic.Priority]*rank
	// passed is how many demands of the most urgent rank were granted since a less urgent
	// one was, while one waited.
	passed int
	// waits is set if less urgent demands waited at the last sort, and top is the most
	// urgent rank that waited then.
	waits bool
	top   mangotraffic.Priority
	// grants counts the grants.
	grants uint64
}

// rank records what the workspaces of a rank have received.
type rank struct {
	clock mangofair.Clock[mangomodel.WorkspaceID]
	// arrived and granted count demands since some had to wait; older ones fade.
	arrived, granted float64
	fadedAt          time.Time
	// turn is the number of the service's grant that went to this rank last.
	turn uint64
}

func (s *Shares) service(name mangotraffic.ServiceName) *service {
	x, ok := s.services[name]
	if !ok {
		x = &service{ranks: make(map[mangotraffic.Priority]*rank)}
		s.services[name] = x
	}
	return x
}

func (x *service) rank(p mangotraffic.Priority, now time.Time) *rank {
	r, ok := x.ranks[p]
	if !ok {
		if len(x.ranks) >= maxRanks {
			x.removeIdle(now)
		}
		r = &rank{clock: mangofair.NewClock[mangomodel.WorkspaceID](), fadedAt: now}
		x.ranks[p] = r
	}
	return r
}

// removeIdle removes the ranks whose demands arrived long ago.
func (x *service) removeIdle(now time.Time) {
	for p, r := range x.ranks {
		if r.fade(now); r.arrived < minArrivals {
			delete(x.ranks, p)
		}
	}
}

// Arrived records a new demand.
func (s *Shares) Arrived(d *mangolease.Demand, now time.Time) {
	if !d.Shared() || d.Prefilled {
		return
	}
	r := s.service(d.Service).rank(d.Priority, now)
	r.fade(now)
	r.arrived++
}

// Granted charges a granted demand to its workspace. One with a computed KV cache was
// charged when its prefill was granted.
func (s *Shares) Granted(p *mangolease.PendingDemand, now time.Time) {
	d := &p.Demand
	if !d.Shared() || d.Prefilled {
		return
	}
	x := s.service(d.Service)
	r := x.rank(d.Priority, now)
	r.clock.Serve(d.Workspace, charge(mangoqueue.Cost(d.Generation)), 1)
	r.clock.LeaveAll()
	x.grants++
	r.turn = x.grants
	switch {
	case d.Priority > x.top:
		x.passed = 0
	case x.waits:
		x.passed++
	}
	if !d.Standby {
		r.fade(now)
		r.granted++
	}
}

// charge returns what a demand of some cost is charged. Plain calls, which have none, are
// charged alike.
func charge(cost float64) float64 { return max(cost, 1) }

// fade reduces the counts by their age.
func (r *rank) fade(now time.Time) {
	share := decay(now.Sub(r.fadedAt))
	r.arrived *= share
	r.granted *= share
	r.fadedAt = now
}

// due returns how many more grants a rank may get without being served more often than a
// share of its demands.
func (r *rank) due(share float64, now time.Time) int {
	r.fade(now)
	return int(math.Round(share*r.arrived - r.granted))
}

// served returns the share of a rank's recent demands that were granted, and 1 if none
// arrived.
func (r *rank) served(now time.Time) float64 {
	r.fade(now)
	if r.arrived < minArrivals {
		return 1
	}
	return r.granted / r.arrived
}
