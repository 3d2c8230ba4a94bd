// Package mangoroster decides which daemons are alive and who of them schedules.
//
// Daemons are heard directly or through others. Whoever has been heard lately,
// did not fail to answer and is fit may schedule; all daemons order the
// candidates alike.
//
// # Usage
//
//	r := mangoroster.New(self, regions)
//	r.Update(sighting, now)
//	first := r.Schedulers(me, servers, now)["llm"][0]
package mangoroster

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// AliveTimeout is how long after it was heard a daemon counts as alive. Every
	// daemon is heard by the schedulers four times a second, and by the others
	// through their answers.
	AliveTimeout = 2 * time.Second
	// failedTime is how long a daemon that did not answer is passed over.
	failedTime = time.Second
	// regionFailures is how many daemons of a region have to fail for all others
	// there that were not heard since to be passed over. Regions lose each other
	// as a whole, and to find that out daemon by daemon takes seconds.
	regionFailures = 2
	// forgetTime is how long a daemon that is gone stays known.
	forgetTime = 10 * time.Second
)

// Member is one daemon life.
type Member struct {
	Holder     mangomodel.Holder
	DataCentre mangomodel.DataCentreID
	// Address is where it serves other daemons.
	Address mangomodel.Address
	// Strong members have the processor and the link for scheduling a large
	// fleet.
	Strong bool
	// Draining members schedule nothing, and Stale ones, whose list of servers
	// may be out of date, only if all are.
	Draining, Stale bool
}

// Sighting is a member with the time since it was last heard.
type Sighting struct {
	Member Member
	Age    time.Duration
}

// Entry is a member with the time at which it was last heard.
type Entry struct {
	Member Member
	At     time.Time
}

type peer struct {
	member Member
	heard  time.Time
	// failed is when the daemon last did not answer.
	failed time.Time
}

// passedOver reports whether a daemon did not answer lately.
func (p *peer) passedOver(now time.Time) bool { return now.Sub(p.failed) < failedTime }

// ServersPerRegion counts the servers of each service by region.
type ServersPerRegion map[mangotraffic.ServiceName]map[mangomodel.RegionID]int

// Roster is what one daemon knows of the others.
type Roster struct {
	self    mangomodel.DaemonID
	regions map[mangomodel.DataCentreID]mangomodel.RegionID
	peers   map[mangomodel.DaemonID]*peer
}

// New returns a roster of a daemon that knows no other.
func New(self mangomodel.DaemonID, regions map[mangomodel.DataCentreID]mangomodel.RegionID) *Roster {
	return &Roster{self: self, regions: regions, peers: make(map[mangomodel.DaemonID]*peer)}
}

// Update takes in what is known of a daemon. It reports whether the daemon is new.
func (r *Roster) Update(x Sighting, now time.Time) bool {
	id := x.Member.Holder.Daemon
	if id == r.self || id == "" {
		return false
	}
	heard := now.Add(-x.Age)
	p, ok := r.peers[id]
	if !ok {
		p = &peer{}
		r.peers[id] = p
	}
	if x.Member.Holder.Incarnation < p.member.Holder.Incarnation {
		return false
	}
	if x.Member.Holder.Incarnation > p.member.Holder.Incarnation {
		p.failed = time.Time{}
	}
	if heard.After(p.heard) {
		p.heard, p.member = heard, x.Member
	}
	return !ok
}

// MarkFailed notes that a daemon did not answer.
func (r *Roster) MarkFailed(id mangomodel.DaemonID, now time.Time) {
	if p, ok := r.peers[id]; ok {
		p.failed = now
	}
}

// Len returns how many other daemons are known, alive or not.
func (r *Roster) Len() int { return len(r.peers) }

// Members returns this daemon and those that may be alive.
func (r *Roster) Members(me Member, now time.Time) []Entry {
	list := []Entry{{Member: me, At: now}}
	for id, p := range r.peers {
		if now.Sub(p.heard) > forgetTime {
			delete(r.peers, id)
			continue
		}
		list = append(list, Entry{Member: p.member, At: p.heard})
	}
	return list
}

// Schedulers returns for each service the daemons that may schedule it and
// count its retries, best first. Daemons in the region with most of its servers go
// first, since most grants are asked for there; rendezvous hashing spreads
// services over them.
func (r *Roster) Schedulers(me Member, servers ServersPerRegion, now time.Time) map[mangotraffic.ServiceName][]Member {
	candidates := r.candidates(me, now)
	lists := make(map[mangotraffic.ServiceName][]Member, len(servers))
	for name, weight := range servers {
		list := slices.Clone(candidates)
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(
				cmp.Compare(weight[r.regions[b.DataCentre]], weight[r.regions[a.DataCentre]]),
				cmp.Compare(mix(hashOf(string(name)), string(b.Holder.Daemon)), mix(hashOf(string(name)), string(a.Holder.Daemon))),
			)
		})
		lists[name] = list
	}
	return lists
}

// DefaultScheduler returns the daemon that all others of a region follow while no service
// is known: the same order as for a service with its servers there.
func (r *Roster) DefaultScheduler(me Member, now time.Time) Member {
	const none mangotraffic.ServiceName = ""
	region := r.regions[me.DataCentre]
	return r.Schedulers(me, ServersPerRegion{none: {region: 1}}, now)[none][0]
}

// candidates returns the daemons that may schedule, this one included.
func (r *Roster) candidates(me Member, now time.Time) []Member {
	list := []Member{me}
	lost := r.lostRegions(me, now)
	for _, p := range r.peers {
		if now.Sub(p.heard) >= AliveTimeout || p.passedOver(now) || !p.heard.After(lost[r.regions[p.member.DataCentre]]) {
			continue
		}
		list = append(list, p.member)
	}
	list = unless(list, func(m Member) bool { return m.Draining })
	list = unless(list, func(m Member) bool { return m.Stale })
	return unless(list, func(m Member) bool { return !m.Strong })
}

// lostRegions returns since when the other regions that seem to be out of reach
// do not answer.
func (r *Roster) lostRegions(me Member, now time.Time) map[mangomodel.RegionID]time.Time {
	failures := make(map[mangomodel.RegionID][]time.Time)
	for _, p := range r.peers {
		region := r.regions[p.member.DataCentre]
		if region != r.regions[me.DataCentre] && p.passedOver(now) {
			failures[region] = append(failures[region], p.failed)
		}
	}
	lost := make(map[mangomodel.RegionID]time.Time)
	for region, times := range failures {
		if len(times) >= regionFailures {
			lost[region] = slices.MinFunc(times, time.Time.Compare)
		}
	}
	return lost
}

// unless returns the members without those that are worse, if any are left.
func unless(list []Member, worse func(Member) bool) []Member {
	better := slices.DeleteFunc(slices.Clone(list), worse)
	if len(better) == 0 {
		return list
	}
	return better
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

func hashOf(id string) uint64 {
	const offset = 14695981039346656037
	return mix(offset, id)
}
