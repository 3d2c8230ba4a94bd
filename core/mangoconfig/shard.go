package mangoconfig

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

// defaultShardServers is the value of Pool.ShardServers if the pool does not set
// it.
const defaultShardServers = 8

// Shard is a shard with the parameters of its pool and its servers.
type Shard struct {
	ID      mangomodel.ShardID
	Pool    Pool
	Servers []Host
}

// shardsOf splits the pools of a data centre's engines into shards, sorted by
// model and index. While the number of shards of a pool stays the same, few
// servers change shards when another one joins or leaves.
func (c *Catalog) shardsOf(dc mangomodel.DataCentreID, engines []Host) []Shard {
	pools := make(map[mangomodel.ModelID][]Host)
	for _, h := range engines {
		pools[h.Model] = append(pools[h.Model], h)
	}
	var shards []Shard
	for model, hosts := range pools {
		shards = append(shards, c.split(dc, model, hosts)...)
	}
	slices.SortFunc(shards, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.ID.Model, b.ID.Model), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return shards
}

func (c *Catalog) split(dc mangomodel.DataCentreID, model mangomodel.ModelID, hosts []Host) []Shard {
	pool := c.Pool(model)
	n := max(1, ceilDiv(count(hosts, mangomodel.RoleDecode), pool.ShardServers))
	// A shard without a prefill server could not serve any request.
	n = min(n, max(1, count(hosts, mangomodel.RolePrefill)))
	shards := make([]Shard, n)
	for i := range shards {
		shards[i].ID = mangomodel.ShardID{DataCentre: dc, Model: model, Index: i}
		shards[i].Pool = pool
	}
	for _, role := range []mangomodel.Role{mangomodel.RolePrefill, mangomodel.RoleDecode} {
		distribute(shards, hosts, role)
	}
	return shards
}

// distribute assigns the servers of a role evenly to the shards. A server is
// assigned to the first shard with capacity in its rendezvous hashing order, so
// that few servers change shards when one joins or leaves. The servers that
// remain after an even division are assigned in a second round.
func distribute(shards []Shard, hosts []Host, role mangomodel.Role) {
	assigned := make([]int, len(shards))
	remaining := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Role != role })
	quota := len(remaining) / len(shards)
	for _, limit := range []int{quota, quota + 1} {
		remaining = slices.DeleteFunc(remaining, func(h Host) bool { return assign(shards, assigned, h, limit) })
	}
}

// assign adds a server to the first shard, in the server's rendezvous order,
// that was assigned fewer servers than limit. It reports whether there is one.
func assign(shards []Shard, assigned []int, h Host, limit int) bool {
	for _, i := range rankShards(h.ID, len(shards)) {
		if assigned[i] < limit {
			assigned[i]++
			shards[i].Servers = append(shards[i].Servers, h)
			return true
		}
	}
	return false
}

// rankShards returns the indexes of n shards in the rendezvous hashing order of
// a host.
func rankShards(id mangomodel.HostID, n int) []int {
	weights := make([]uint64, n)
	order := make([]int, n)
	for i := range n {
		weights[i] = xxhash.Sum64String(string(id) + "/" + strconv.Itoa(i))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

func count(hosts []Host, role mangomodel.Role) int {
	n := 0
	for _, h := range hosts {
		if h.Role == role {
			n++
		}
	}
	return n
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
