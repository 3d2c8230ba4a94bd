package mangoconfig

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

// defaultShardServers is how many decode servers one scheduler looks after
// unless a pool says otherwise.
const defaultShardServers = 8

// Shard is one shard's pool and servers.
type Shard struct {
	ID      mangomodel.ShardID
	Pool    Pool
	Servers []Host
}

// shardsOf splits the pools of a data centre's engines into shards, in order
// of model and index. A server keeps its shard while the number of shards of
// its pool stays the same.
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
	n := max(1, divideUp(count(hosts, mangomodel.RoleDecode), pool.ShardServers))
	// A shard without a prefill server could serve nothing.
	n = min(n, max(1, count(hosts, mangomodel.RolePrefill)))
	shards := make([]Shard, n)
	for i := range shards {
		shards[i].ID = mangomodel.ShardID{DataCentre: dc, Model: model, Index: i}
		shards[i].Pool = pool
	}
	for _, role := range []mangomodel.Role{mangomodel.RolePrefill, mangomodel.RoleDecode} {
		deal(shards, hosts, role)
	}
	return shards
}

// deal gives each shard an even part of the servers of a role. A server goes
// to the shard that ranks first for it by rendezvous hashing and has room, so
// that few servers move when one joins or leaves. What an even part leaves
// over is dealt in a second round.
func deal(shards []Shard, hosts []Host, role mangomodel.Role) {
	dealt := make([]int, len(shards))
	left := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Role != role })
	even := len(left) / len(shards)
	for _, room := range []int{even, even + 1} {
		left = slices.DeleteFunc(left, func(h Host) bool { return dealTo(shards, dealt, h, room) })
	}
}

// dealTo gives a server to the first shard with room, if there is one.
func dealTo(shards []Shard, dealt []int, h Host, room int) bool {
	for _, i := range rankShards(h.ID, len(shards)) {
		if dealt[i] < room {
			dealt[i]++
			shards[i].Servers = append(shards[i].Servers, h)
			return true
		}
	}
	return false
}

// rankShards orders the indexes of n shards for a host by rendezvous hashing.
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

func divideUp(a, b int) int { return (a + b - 1) / b }
