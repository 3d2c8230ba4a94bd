package mangoconfig

import (
	"cmp"
	"slices"

	"mangolane/core/mangomodel"
)

// derived holds indexes of the hosts for queries, computed once for each
// change.
type derived struct {
	hosts       []Host
	shards      map[mangomodel.DataCentreID][]Shard
	services    map[mangomodel.ModelID][]Host
	shardCounts map[mangomodel.ModelID][]ShardCount
	// dataCentres is the number of data centres with backend servers.
	dataCentres int
}

// ShardCount is the number of shards of a model's pool in a data centre.
type ShardCount struct {
	DataCentre mangomodel.DataCentreID
	Region     mangomodel.RegionID
	Shards     int
}

// Hosts returns all hosts, sorted by ID. The caller must not modify the slice.
func (c *Catalog) Hosts() []Host { return c.derived.hosts }

// Shards returns the shards of the model engines of a data centre, sorted by
// model and index. The caller must not modify the slice.
func (c *Catalog) Shards(dc mangomodel.DataCentreID) []Shard { return c.derived.shards[dc] }

// Services returns the servers of a plain service, sorted by ID. The caller
// must not modify the slice.
func (c *Catalog) Services(service mangomodel.ModelID) []Host { return c.derived.services[service] }

// ShardCounts returns the shard counts of the data centres with engines of a
// model, sorted by data centre. The caller must not modify the slice.
func (c *Catalog) ShardCounts(model mangomodel.ModelID) []ShardCount {
	return c.derived.shardCounts[model]
}

// DataCentres returns the number of data centres with backend servers.
func (c *Catalog) DataCentres() int { return c.derived.dataCentres }

// derive computes c.derived from the hosts.
func (c *Catalog) derive() {
	c.derived = derived{
		hosts:       c.sortedHosts(),
		shards:      make(map[mangomodel.DataCentreID][]Shard),
		services:    make(map[mangomodel.ModelID][]Host),
		shardCounts: make(map[mangomodel.ModelID][]ShardCount),
	}
	engines := make(map[mangomodel.DataCentreID][]Host)
	dataCentres := make(map[mangomodel.DataCentreID]bool)
	for _, h := range c.derived.hosts {
		dataCentres[h.DataCentre] = true
		if h.Role == mangomodel.RoleService {
			c.derived.services[h.Model] = append(c.derived.services[h.Model], h)
		} else {
			engines[h.DataCentre] = append(engines[h.DataCentre], h)
		}
	}
	c.derived.dataCentres = len(dataCentres)
	for dc, hosts := range engines {
		c.derived.shards[dc] = c.shardsOf(dc, hosts)
		c.addShardCounts(hosts[0])
	}
	for _, counts := range c.derived.shardCounts {
		slices.SortFunc(counts, func(a, b ShardCount) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	}
}

// addShardCounts adds the shard counts of the data centre of h.
func (c *Catalog) addShardCounts(h Host) {
	counts := make(map[mangomodel.ModelID]int)
	for _, s := range c.derived.shards[h.DataCentre] {
		counts[s.ID.Model]++
	}
	for model, n := range counts {
		c.derived.shardCounts[model] = append(c.derived.shardCounts[model], ShardCount{DataCentre: h.DataCentre, Region: h.Region, Shards: n})
	}
}

func (c *Catalog) sortedHosts() []Host {
	hosts := make([]Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h.Value)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}
