// Package mangoroster decides which daemons are alive and which of them schedule.
//
// Each daemon records when it last saw the others, directly or through a third
// daemon. A daemon may schedule if it was seen recently, has not recently failed
// to respond and is eligible; all daemons order the candidates alike.
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
	// AliveTimeout is the time since a daemon was last seen after which it no
	// longer counts as alive. The schedulers see every daemon four times a
	// second, and the other daemons see it through their responses.
	AliveTimeout = 2 * time.Second
	// exclusionTime is how long a daemon that did not respond is excluded.
	exclusionTime = time.Second
	// regionFailures is how many daemons of a region have to fail before all
	// others there that were not seen since are excluded too. A partition cuts
	// off whole regions, and detecting it daemon by daemon takes seconds.
	regionFailures = 2
	// retention is how long a daemon stays recorded after it was last seen.
	retention = 10 * time.Second
)

// Member is one incarnation of a daemon.
type Member struct {
	Holder     mangomodel.Holder
	DataCentre mangomodel.DataCentreID
	// Address is where the member serves other daemons.
	Address mangomodel.Address
	// Strong members have the processor and the link capacity to schedule a large
	// fleet. The others schedule only if no eligible member is strong.
	Strong bool
	// Draining members schedule only if all candidates are draining. Stale
	// members, whose list of servers may be out of date, schedule only if all the
	// remaining candidates are stale.
	Draining, Stale bool
}

// Sighting is a member with the time since it was last seen.
type Sighting struct {
	Member Member
	Age    time.Duration
}

// Entry is a member with the time at which it was last seen.
type Entry struct {
	Member Member
	At     time.Time
}

type peer struct {
	member   Member
	lastSeen time.Time
	// failedAt is when the daemon last failed to respond.
	failedAt time.Time
}

// excluded reports whether a daemon failed to respond within the exclusion time.
func (p *peer) excluded(now time.Time) bool { return now.Sub(p.failedAt) < exclusionTime }

// ServersPerRegion counts the servers of each service by region.
type ServersPerRegion map[mangotraffic.ServiceName]map[mangomodel.RegionID]int

// Roster is one daemon's record of the other daemons.
type Roster struct {
	self    mangomodel.DaemonID
	regions map[mangomodel.DataCentreID]mangomodel.RegionID
	peers   map[mangomodel.DaemonID]*peer
}

// New returns a roster without other daemons.
func New(self mangomodel.DaemonID, regions map[mangomodel.DataCentreID]mangomodel.RegionID) *Roster {
	return &Roster{self: self, regions: regions, peers: make(map[mangomodel.DaemonID]*peer)}
}

// Update records a sighting of a daemon. It reports whether the daemon is new.
func (r *Roster) Update(x Sighting, now time.Time) bool {
	id := x.Member.Holder.Daemon
	if id == r.self || id == "" {
		return false
	}
	seen := now.Add(-x.Age)
	p, ok := r.peers[id]
	if !ok {
		p = &peer{}
		r.peers[id] = p
	}
	if x.Member.Holder.Incarnation < p.member.Holder.Incarnation {
		return false
	}
	if x.Member.Holder.Incarnation > p.member.Holder.Incarnation {
		p.failedAt = time.Time{}
	}
	if seen.After(p.lastSeen) {
		p.lastSeen, p.member = seen, x.Member
	}
	return !ok
}

// MarkFailed records that a daemon did not respond.
func (r *Roster) MarkFailed(id mangomodel.DaemonID, now time.Time) {
	if p, ok := r.peers[id]; ok {
		p.failedAt = now
	}
}

// Len returns how many other daemons are recorded, alive or not.
func (r *Roster) Len() int { return len(r.peers) }

// Members returns this daemon, followed by those last seen within the retention
// time. It discards the others.
func (r *Roster) Members(me Member, now time.Time) []Entry {
	list := []Entry{{Member: me, At: now}}
	for id, p := range r.peers {
		if now.Sub(p.lastSeen) > retention {
			delete(r.peers, id)
			continue
		}
		list = append(list, Entry{Member: p.member, At: p.lastSeen})
	}
	return list
}

// Schedulers returns for each service the daemons that may schedule it and count
// its retries, best first. Daemons in the region with most of the servers come
// first, since most grants are requested there; rendezvous hashing distributes
// the services among them.
func (r *Roster) Schedulers(me Member, servers ServersPerRegion, now time.Time) map[mangotraffic.ServiceName][]Member {
	candidates := r.candidates(me, now)
	lists := make(map[mangotraffic.ServiceName][]Member, len(servers))
	for name, weight := range servers {
		lists[name] = r.sorted(candidates, name, weight)
	}
	return lists
}

// sorted returns candidates in the order in which they may schedule a service.
func (r *Roster) sorted(candidates []Member, name mangotraffic.ServiceName, weight map[mangomodel.RegionID]int) []Member {
	return slices.SortedFunc(slices.Values(candidates), func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(weight[r.regions[b.DataCentre]], weight[r.regions[a.DataCentre]]),
			cmp.Compare(mix(hashOf(string(name)), string(b.Holder.Daemon)), mix(hashOf(string(name)), string(a.Holder.Daemon))),
		)
	})
}

// Accountant returns the daemon that counts what workspaces use, by rendezvous hashing
// over those that may schedule if they can read the store. Each change of the accountant
// empties the workspaces' allowances. A daemon whose reads of the store fail becomes
// scheduler and ceases to be several times a minute, and a release of servers moves the
// schedulers between regions, so the accountant depends on neither.
func (r *Roster) Accountant(me Member, now time.Time) Member {
	list := excludeUnlessAll(r.alive(me, now), func(m Member) bool { return m.Draining })
	list = excludeUnlessAll(list, func(m Member) bool { return !m.Strong })
	return r.sorted(list, accountants, nil)[0]
}

// accountants is the name under which rendezvous hashing chooses the accountant. No
// service has it.
const accountants mangotraffic.ServiceName = ""

// DefaultScheduler returns the daemon that the others of this daemon's region
// follow while no service is configured: the scheduler of a service with all its
// servers in that region.
func (r *Roster) DefaultScheduler(me Member, now time.Time) Member {
	const none mangotraffic.ServiceName = ""
	region := r.regions[me.DataCentre]
	return r.Schedulers(me, ServersPerRegion{none: {region: 1}}, now)[none][0]
}

// candidates returns the daemons that may schedule, this one included.
func (r *Roster) candidates(me Member, now time.Time) []Member {
	list := excludeUnlessAll(r.alive(me, now), func(m Member) bool { return m.Draining })
	list = excludeUnlessAll(list, func(m Member) bool { return m.Stale })
	return excludeUnlessAll(list, func(m Member) bool { return !m.Strong })
}

// alive returns the daemons that respond, this one included.
func (r *Roster) alive(me Member, now time.Time) []Member {
	list := []Member{me}
	unreachable := r.unreachableRegions(me, now)
	for _, p := range r.peers {
		if now.Sub(p.lastSeen) >= AliveTimeout || p.excluded(now) || !p.lastSeen.After(unreachable[r.regions[p.member.DataCentre]]) {
			continue
		}
		list = append(list, p.member)
	}
	return list
}

// unreachableRegions returns the other regions that appear to be unreachable,
// with the time since which they do not respond.
func (r *Roster) unreachableRegions(me Member, now time.Time) map[mangomodel.RegionID]time.Time {
	failures := make(map[mangomodel.RegionID][]time.Time)
	for _, p := range r.peers {
		region := r.regions[p.member.DataCentre]
		if region != r.regions[me.DataCentre] && p.excluded(now) {
			failures[region] = append(failures[region], p.failedAt)
		}
	}
	unreachable := make(map[mangomodel.RegionID]time.Time)
	for region, times := range failures {
		if len(times) >= regionFailures {
			unreachable[region] = slices.MinFunc(times, time.Time.Compare)
		}
	}
	return unreachable
}

// excludeUnlessAll returns the members that do not match, or all members if every
// one matches.
func excludeUnlessAll(list []Member, match func(Member) bool) []Member {
	rest := slices.DeleteFunc(slices.Clone(list), match)
	if len(rest) == 0 {
		return list
	}
	return rest
}

// mix distributes a salt and an id uniformly over the numbers (FNV-1a).
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
