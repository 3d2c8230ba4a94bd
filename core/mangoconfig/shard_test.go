package mangoconfig

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// newTestCatalog returns a catalog with the servers of one pool.
func newTestCatalog(t *testing.T, shardServers, prefill, decode int) *Catalog {
	pool := DefaultPool("m")
	pool.ShardServers = shardServers
	docs := Documents{Revision: 1, Pools: []Versioned[Pool]{{Value: pool}}}
	for i := range prefill + decode {
		role := mangomodel.RoleDecode
		if i < prefill {
			role = mangomodel.RolePrefill
		}
		docs.Hosts = append(docs.Hosts, Versioned[Host]{Value: Host{
			ID: mangomodel.HostID(fmt.Sprint("h", i)), DataCentre: "dc", Region: "r", Model: "m", Role: role, Slots: 20, Pieces: 60,
		}})
	}
	c, err := FromDocuments(docs)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestShardsAreBalanced(t *testing.T) {
	tests := []struct {
		shardServers, prefill, decode int
		want                          int
	}{
		{16, 1, 2, 1},
		{16, 6, 16, 1},
		{16, 6, 17, 2},
		{4, 10, 32, 8},
		{4, 3, 32, 3},
		{8, 0, 32, 1},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			g := gomega.NewWithT(t)
			shards := newTestCatalog(t, tt.shardServers, tt.prefill, tt.decode).Shards("dc")
			g.Expect(shards).To(gomega.HaveLen(tt.want))
			for role, total := range map[mangomodel.Role]int{mangomodel.RolePrefill: tt.prefill, mangomodel.RoleDecode: tt.decode} {
				sum := 0
				for _, s := range shards {
					n := count(s.Servers, role)
					sum += n
					g.Expect(n).To(gomega.BeNumerically("<=", ceilDiv(total, tt.want)), "%s of %s", role, s.ID)
					g.Expect(n > 0).To(gomega.Equal(total > 0), "%s of %s", role, s.ID)
				}
				g.Expect(sum).To(gomega.Equal(total))
			}
		})
	}
}

func TestFewServersMoveWhenOneLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	before := newTestCatalog(t, 8, 16, 64)
	removal := Change{ID: "x", Remove: true, Host: &Host{
		ID: "h20", DataCentre: "dc", Region: "r", Model: "m", Role: mangomodel.RoleDecode, Slots: 20, Pieces: 60, Address: "127.0.0.1:1",
	}}
	after, err := before.Apply(removal)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shardByHost := func(c *Catalog) map[mangomodel.HostID]int {
		m := make(map[mangomodel.HostID]int)
		for _, s := range c.Shards("dc") {
			for _, h := range s.Servers {
				m[h.ID] = s.ID.Index
			}
		}
		return m
	}
	moved, old := 0, shardByHost(before)
	for id, shard := range shardByHost(after) {
		if old[id] != shard {
			moved++
		}
	}
	// Round-robin assignment would move every server of the role after h20.
	g.Expect(moved).To(gomega.BeNumerically("<", 20), "of 80 servers")
}
