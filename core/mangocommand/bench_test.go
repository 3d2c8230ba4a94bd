package mangocommand

import (
	"context"
	"fmt"
	"testing"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// benchControl returns a running Control with a shard of 4 prefill and 16
// decode servers of 20 slots.
func benchControl(b *testing.B) *Control {
	c := New(mangomember.Member{Daemon: "a", Incarnation: 1, DataCentre: "dc", Region: "r"})
	ctx, cancel := context.WithCancel(b.Context())
	go c.Run(ctx)
	b.Cleanup(cancel)
	docs := mangoconfig.Documents{Revision: 1}
	for i := range 20 {
		role := mangomodel.RoleDecode
		if i < 4 {
			role = mangomodel.RolePrefill
		}
		docs.Hosts = append(docs.Hosts, mangoconfig.Versioned[mangoconfig.Host]{Value: mangoconfig.Host{
			ID: mangomodel.HostID(fmt.Sprint("h", i)), Region: "r", DataCentre: "dc", Address: "127.0.0.1:1",
			Role: role, Model: "m", Slots: 20, Pieces: 1000, PrefillRate: 1e9,
		}})
	}
	catalog, err := mangoconfig.FromDocuments(docs)
	if err != nil {
		b.Fatal(err)
	}
	must(b, c.Do(ctx, InstallCatalog{Catalog: catalog}))
	return c
}

func must(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}

func benchDemand(i int) mangomodel.Demand {
	return mangomodel.Demand{
		Grant: mangomodel.GrantID{Holder: mangomodel.Holder{Daemon: "a", Incarnation: 1}, Number: uint64(i)},
		Sequence: mangomodel.Sequence{
			Request: mangomodel.RequestID(fmt.Sprintf("daemon-in-east-a/1796369491689533315/%d", i)), Attempt: 1,
			Holder: mangomodel.Holder{Daemon: "a", Incarnation: 1},
		},
		Workspace: "audit", Model: "m", Prompt: 2000, MaxTokens: 300, Patience: 1e9, Weight: 1,
		Fingerprint: mangomodel.Fingerprint(i),
	}
}

// BenchmarkGrant measures the cost of one request on the control goroutine:
// Acquire, AddHolding, RemoveHolding and Release, while a number of other
// grants is active.
func BenchmarkGrant(b *testing.B) {
	for _, active := range []int{0, 50, 100, 200} {
		b.Run(fmt.Sprint("active ", active), func(b *testing.B) {
			c := benchControl(b)
			ctx := b.Context()
			shard := mangomodel.ShardID{DataCentre: "dc", Model: "m"}
			for i := range active {
				d := benchDemand(i)
				must(b, c.Do(ctx, Acquire{Shard: shard, Demand: d}))
				g, _ := c.Snapshot().Grant(d.Grant)
				must(b, c.Do(ctx, AddHolding{mangoquery.Holding{Grant: g}}))
			}
			b.ReportAllocs()
			i := active
			for b.Loop() {
				i++
				d := benchDemand(i)
				must(b, c.Do(ctx, Acquire{Shard: shard, Demand: d}))
				g, _ := c.Snapshot().Grant(d.Grant)
				must(b, c.Do(ctx, AddHolding{mangoquery.Holding{Grant: g}}))
				must(b, c.Do(ctx, RemoveHolding{Grant: d.Grant}))
				must(b, c.Do(ctx, Release{Grant: d.Grant}))
			}
		})
	}
}

// BenchmarkRecordLoad measures one load report of a server with 20 sequences.
func BenchmarkRecordLoad(b *testing.B) {
	c := benchControl(b)
	load := mangomodel.Load{Server: "h10", Boot: "1"}
	for i := range 20 {
		load.Running = append(load.Running, benchDemand(i).Sequence)
	}
	b.ReportAllocs()
	for b.Loop() {
		must(b, c.Do(b.Context(), RecordLoad{Load: load}))
	}
}
