package mangoconfig

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"mangolane/core/mangomodel"
)

// ServersPerShard is how many decode servers one scheduler looks after. It
// bounds a scheduler's state and load as a pool grows.
const ServersPerShard = 16

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
	decode := 0
	for _, h := range hosts {
		if h.Role == mangomodel.RoleDecode {
			decode++
		}
	}
	n := max(1, (decode+ServersPerShard-1)/ServersPerShard)
	shards := make([]Shard, n)
	names := make([]string, n)
	for i := range shards {
		shards[i].ID = mangomodel.ShardID{DataCentre: dc, Model: model, Index: i}
		shards[i].Pool = c.Pool(model)
		names[i] = strconv.Itoa(i)
	}
	ring := rendezvous.New(names, xxhash.Sum64String)
	for _, h := range hosts {
		i := slices.Index(names, ring.Lookup(string(h.ID)))
		shards[i].Servers = append(shards[i].Servers, h)
	}
	return shards
}
