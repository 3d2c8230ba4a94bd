package mangoquery

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// failureCooldown is how long a server or a daemon is avoided after a failed
// call.
const failureCooldown = 2 * time.Second

// Task is work that one daemon does on behalf of all daemons of its data
// centre.
type Task string

const (
	// TaskConfiguration reads new configuration changes.
	TaskConfiguration Task = "configuration"
	// TaskHostList reads the platform's host list.
	TaskHostList Task = "hostlist"
)

// Owner returns the daemon to which demands for a shard are sent. For a shard
// of the local data centre that is its scheduler, chosen by rendezvous hashing
// among the daemons that may own shards. For another data centre it is a
// reachable daemon there, which forwards the demand.
func (s *Snapshot) Owner(shard mangomodel.ShardID) (mangomember.Member, bool) {
	if shard.DataCentre != s.Self.DataCentre {
		return s.lookup(s.Rendezvous.remote[shard.DataCentre], string(s.Self.Daemon))
	}
	return s.lookup(s.Rendezvous.schedulers, shard.String())
}

// IsUnreachable reports whether a daemon could not be reached as a scheduler
// within the last failureCooldown.
func (s *Snapshot) IsUnreachable(now time.Time, id mangomodel.DaemonID) bool {
	at, ok := s.LastUnreachable[id]
	return ok && now.Sub(at) < failureCooldown
}

// RunsTask reports whether this daemon runs a task for its data centre.
func (s *Snapshot) RunsTask(task Task) bool {
	m, ok := s.lookup(s.Rendezvous.schedulers, string(task))
	return ok && m.Daemon == s.Self.Daemon
}

// OwnShards returns the shards that this daemon schedules.
func (s *Snapshot) OwnShards() []mangoconfig.Shard {
	var own []mangoconfig.Shard
	for _, shard := range s.Catalog.Shards(s.Self.DataCentre) {
		if m, ok := s.Owner(shard.ID); ok && m.Daemon == s.Self.Daemon {
			own = append(own, shard)
		}
	}
	return own
}

// ShardsFor returns the shards that can serve a model, best first: those of
// the local data centre, then of the local region, then of other regions.
// Within a data centre the affinity selects the first shard.
func (s *Snapshot) ShardsFor(model mangomodel.ModelID, affinity uint64) []mangomodel.ShardID {
	var shards []mangomodel.ShardID
	for _, count := range s.nearestFirst(s.Catalog.ShardCounts(model)) {
		first := int(affinity % uint64(count.Shards))
		for i := range count.Shards {
			index := (first + i) % count.Shards
			shards = append(shards, mangomodel.ShardID{DataCentre: count.DataCentre, Model: model, Index: index})
		}
	}
	return shards
}

// ServiceServers returns the servers of a plain service that accept new work,
// best first: servers without a recent failure, then by distance. The key
// spreads calls over servers that compare equal.
func (s *Snapshot) ServiceServers(now time.Time, service mangomodel.ModelID, key string) []mangoconfig.Host {
	var hosts []mangoconfig.Host
	for _, h := range s.Catalog.Services(service) {
		if s.acceptsWork(h) {
			hosts = append(hosts, h)
		}
	}
	weight := func(h mangoconfig.Host) uint64 { return xxhash.Sum64String(key + string(h.ID)) }
	slices.SortFunc(hosts, func(a, b mangoconfig.Host) int {
		return cmp.Or(
			cmp.Compare(s.failureRank(now, a), s.failureRank(now, b)),
			cmp.Compare(s.distance(a.DataCentre, a.Region), s.distance(b.DataCentre, b.Region)),
			cmp.Compare(weight(a), weight(b)),
		)
	})
	return hosts
}

func (s *Snapshot) acceptsWork(h mangoconfig.Host) bool {
	return h.State == mangomodel.ServerLive && !s.HostList.IsLeaving(mangomodel.ServerID(h.ID))
}

// failureRank is 1 for a server with a failed call within the last
// failureCooldown, and 0 otherwise.
func (s *Snapshot) failureRank(now time.Time, h mangoconfig.Host) int {
	at, ok := s.LastFailure[mangomodel.ServerID(h.ID)]
	if ok && now.Sub(at) < failureCooldown {
		return 1
	}
	return 0
}

// distance is 0 within the local data centre, 1 within the local region and 2
// elsewhere.
func (s *Snapshot) distance(dc mangomodel.DataCentreID, region mangomodel.RegionID) int {
	switch {
	case dc == s.Self.DataCentre:
		return 0
	case region == s.Self.Region:
		return 1
	default:
		return 2
	}
}

// nearestFirst returns shard counts in order of distance.
func (s *Snapshot) nearestFirst(counts []mangoconfig.ShardCount) []mangoconfig.ShardCount {
	sorted := slices.Clone(counts)
	slices.SortStableFunc(sorted, func(a, b mangoconfig.ShardCount) int {
		return cmp.Compare(s.distance(a.DataCentre, a.Region), s.distance(b.DataCentre, b.Region))
	})
	return sorted
}

// HoldingsByScheduler returns the grants that this daemon holds, grouped by the
// current owner of their shard.
func (s *Snapshot) HoldingsByScheduler() []SchedulerHoldings {
	groups := make(map[mangomodel.DaemonID]*SchedulerHoldings)
	for _, h := range s.Holdings.All() {
		owner, ok := s.Owner(h.Grant.Shard)
		if !ok {
			continue
		}
		g, ok := groups[owner.Daemon]
		if !ok {
			g = &SchedulerHoldings{Scheduler: owner}
			groups[owner.Daemon] = g
		}
		g.Grants = append(g.Grants, h.Grant)
	}
	list := make([]SchedulerHoldings, 0, len(groups))
	for _, g := range groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b SchedulerHoldings) int {
		return cmp.Compare(a.Scheduler.Daemon, b.Scheduler.Daemon)
	})
	return list
}

// SchedulerHoldings are the grants to renew with one daemon: the scheduler of
// their shards or, for another data centre, the daemon that forwards to it.
type SchedulerHoldings struct {
	Scheduler mangomember.Member
	Grants    []mangomodel.Grant
}

// ByShard returns the numbers of the grants, grouped by shard.
func (h SchedulerHoldings) ByShard() []mangomodel.ShardGrants {
	numbers := make(map[mangomodel.ShardID][]uint64)
	for _, g := range h.Grants {
		numbers[g.Shard] = append(numbers[g.Shard], g.ID.Number)
	}
	lists := make([]mangomodel.ShardGrants, 0, len(numbers))
	for shard, list := range numbers {
		lists = append(lists, mangomodel.ShardGrants{Shard: shard, Numbers: list})
	}
	return lists
}

// UnknownGrants returns the numbers of those of a holder's grants that this
// daemon's scheduler does not have.
func (s *Snapshot) UnknownGrants(holder mangomodel.Holder, lists []mangomodel.ShardGrants) []uint64 {
	var unknown []uint64
	for _, list := range lists {
		for _, n := range list.Numbers {
			if _, ok := s.Grants.Get(mangomodel.GrantID{Holder: holder, Number: n}); !ok {
				unknown = append(unknown, n)
			}
		}
	}
	return unknown
}

// KeyOf returns n in hexadecimal, for use in a key that is hashed.
func KeyOf(n uint64) string { return strconv.FormatUint(n, 16) }
