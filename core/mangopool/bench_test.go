package mangopool

import (
	"fmt"
	"testing"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// busyPool returns a pool of engines of which three in four decode. The decode
// engines are three quarters full.
func busyPool(b *testing.B, engines int, now time.Time) *Pool {
	b.Helper()
	const slots = 24
	routing, err := mangotraffic.NewRouting(1, nil, []mangotraffic.Service{
		{Name: "llm", Engine: &mangotraffic.Engine{Slots: slots, KVTokens: 200_000, TokensPerEvent: 72}},
	}, mangotraffic.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	p := New(mangomodel.Holder{Daemon: "d"}, map[mangomodel.DataCentreID]mangomodel.RegionID{"a": "r", "b": "r"})
	p.Configure(routing)
	for i := range engines {
		server := mangotraffic.Server{
			ID: mangomodel.ServerID(fmt.Sprintf("s%d", i)), Service: "llm", DataCentre: "a", Slots: slots, Stage: mangotraffic.StageDecode,
		}
		if i%4 == 0 {
			server.Stage = mangotraffic.StagePrefill
		}
		p.PutServer(server)
	}
	for i := range engines * 3 / 4 * slots * 3 / 4 {
		if !p.Grant(mangolease.NewPendingDemand(benchLease(i), benchDemand(), now), now) {
			b.Fatalf("lease %d was not granted", i)
		}
		p.PrefillDone(benchLease(i), 0)
	}
	p.Renew(p.self, progress(p), now)
	return p
}

// progress returns the progress that the holder of all leases reports.
func progress(p *Pool) []mangolease.Progress {
	var list []mangolease.Progress
	for id, l := range p.leases {
		list = append(list, mangolease.Progress{Number: id.Number, Server: l.server, Service: "llm", Generation: *l.demand.Generation, Made: 10})
	}
	return list
}

func benchLease(i int) mangolease.ID {
	return mangolease.ID{Holder: mangomodel.Holder{Daemon: "d"}, Number: uint64(i)}
}

func benchDemand() mangolease.Demand {
	return mangolease.Demand{
		Service: "llm", Origin: "a", Generation: &mangotraffic.Generation{Prompt: 5000, MaxOutput: 140},
		OnTimeFor: time.Second, Patience: time.Second,
	}
}

// BenchmarkGrant measures one grant with its release. The size is the number of
// engines in the pool.
func BenchmarkGrant(b *testing.B) {
	for _, engines := range []int{18, 60, 168} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			now := time.Now()
			p := busyPool(b, engines, now)
			next := 1 << 30
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				next++
				id := benchLease(next)
				if !p.Grant(mangolease.NewPendingDemand(id, benchDemand(), now), now) {
					b.Fatal("not granted")
				}
				p.Release(id, now)
			}
		})
	}
}
