package mangoquery_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// fleet is the size of a system. Daemons and servers are per data centre.
type fleet struct{ dataCentres, daemons, servers, models, workspaces int }

var fleets = map[string]fleet{
	"today":   {3, 2, 3, 1, 10},
	"quarter": {5, 20, 42, 4, 65},
	"target":  {5, 82, 168, 4, 260},
}

// snapshotOf returns the snapshot of one daemon of a fleet.
func snapshotOf(b testing.TB, f fleet) *mangoquery.Snapshot {
	docs := mangoconfig.Documents{Revision: 1}
	no := false
	docs.Templates = []mangoconfig.Versioned[mangoconfig.Template]{{Value: mangoconfig.Template{ID: "t", Settings: mangoconfig.Settings{
		Models:  []mangomodel.ModelID{"m0"},
		Urgent:  &mangoconfig.Targets{TTFT: mangomodel.Duration(340 * time.Millisecond), TPOT: mangomodel.Duration(31 * time.Millisecond)},
		Basic:   &mangoconfig.Targets{TTFT: mangomodel.Duration(5 * time.Second), TPOT: mangomodel.Duration(60 * time.Millisecond)},
		Calls:   []mangoconfig.Call{{Name: "lookup", Service: "s", Path: "/lookup", NonIdempotent: &no}},
		KeyHash: fmt.Sprintf("%064x", 1),
	}}}}
	for i := range f.workspaces {
		docs.Workspaces = append(docs.Workspaces, mangoconfig.Versioned[mangoconfig.Workspace]{
			Value: mangoconfig.Workspace{ID: mangomodel.WorkspaceID(fmt.Sprint("w", i)), Template: "t"}, Revision: 1,
		})
	}
	for dc := range f.dataCentres {
		for i := range f.servers {
			role := mangomodel.RoleDecode
			if i%4 == 0 {
				role = mangomodel.RolePrefill
			}
			docs.Hosts = append(docs.Hosts, mangoconfig.Versioned[mangoconfig.Host]{Value: mangoconfig.Host{
				ID: mangomodel.HostID(fmt.Sprintf("dc%d-h%d", dc, i)), Region: "r", DataCentre: mangomodel.DataCentreID(fmt.Sprint("dc", dc)),
				Address: "127.0.0.1:1", Role: role, Model: mangomodel.ModelID(fmt.Sprint("m", i/4%f.models)), Slots: 20, Pieces: 60,
			}, Revision: 1})
		}
	}
	catalog, err := mangoconfig.FromDocuments(docs)
	if err != nil {
		b.Fatal(err)
	}
	snap := &mangoquery.Snapshot{Catalog: catalog}
	for i := range f.daemons {
		snap.Members = append(snap.Members, mangomember.Member{
			Daemon: mangomodel.DaemonID(fmt.Sprint("dc0-", i)), DataCentre: "dc0", Region: "r", Address: "127.0.0.1:1",
		})
	}
	snap.Self = snap.Members[0]
	snap.Rendezvous = mangoquery.NewRendezvous(snap.Self, snap.Members)
	return snap
}

func BenchmarkShardsFor(b *testing.B) {
	for name, f := range fleets {
		b.Run(name, func(b *testing.B) {
			snap := snapshotOf(b, f)
			b.ReportAllocs()
			for b.Loop() {
				snap.ShardsFor("m0", 7)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for name, f := range fleets {
		b.Run(name, func(b *testing.B) {
			snap := snapshotOf(b, f)
			b.ReportAllocs()
			for b.Loop() {
				snap.Owner(mangomodel.ShardID{DataCentre: "dc0", Model: "m0"})
			}
		})
	}
}

func BenchmarkOwnShards(b *testing.B) {
	for name, f := range fleets {
		b.Run(name, func(b *testing.B) {
			snap := snapshotOf(b, f)
			b.ReportAllocs()
			for b.Loop() {
				snap.OwnShards()
			}
		})
	}
}

func BenchmarkServiceServers(b *testing.B) {
	for name, f := range fleets {
		b.Run(name, func(b *testing.B) {
			snap := snapshotOf(b, f)
			b.ReportAllocs()
			for b.Loop() {
				snap.ServiceServers(time.Now(), "s", "key")
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes that the catalog and the members of a
// fleet use in a daemon.
func BenchmarkMemory(b *testing.B) {
	for name, f := range fleets {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			var snap *mangoquery.Snapshot
			for b.Loop() {
				snap = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				snap = snapshotOf(b, f)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(snap)
		})
	}
}

// BenchmarkApply measures the application of one configuration change.
func BenchmarkApply(b *testing.B) {
	for name, f := range fleets {
		b.Run(name, func(b *testing.B) {
			catalog := snapshotOf(b, f).Catalog
			pool := mangoconfig.DefaultPool("m0")
			for b.Loop() {
				if _, err := catalog.Apply(mangoconfig.Change{ID: "x", Pool: &pool}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
