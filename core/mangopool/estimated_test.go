package mangopool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestRestartForgetsTheLoad guards against a server that gets few calls for what its earlier
// incarnation showed, and against failures that make a server look fast.
func TestRestartForgetsTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	p := New(mangomodel.Holder{Daemon: "d"}, nil)
	p.EstimateLoads("a", mangoload.DefaultDistanceCost)
	put := func(id mangomodel.ServerID, born time.Time) {
		p.PutServer(mangotraffic.Server{ID: id, Service: "app", DataCentre: "a", Slots: 6, Born: born})
	}
	put("s1", now)
	put("s2", now)
	sent := func() map[mangomodel.ServerID]int {
		sent := make(map[mangomodel.ServerID]int)
		for i := range 20 {
			id := mangolease.ID{Holder: p.self, Number: uint64(i)}
			d := mangolease.Demand{Service: "app", Origin: "a"}
			g.Expect(p.Grant(mangolease.NewPendingDemand(id, d, now), now)).To(gomega.BeTrue())
			sent[p.leases[id].server]++
			p.Release(id, now)
		}
		return sent
	}
	for range 40 {
		p.Observe(mangolease.Observation{Server: "s1", Saw: mangolease.OutcomeFailure, Took: time.Millisecond}, now)
		p.Observe(mangolease.Observation{Server: "s1", Saw: mangolease.OutcomeSuccess, Took: 20 * time.Millisecond}, now)
		p.Observe(mangolease.Observation{Server: "s2", Saw: mangolease.OutcomeSuccess, Took: 20 * time.Millisecond}, now)
	}
	now = now.Add(10 * time.Millisecond)
	g.Expect(sent()["s1"]).To(gomega.BeNumerically("<=", 2))
	put("s1", now)
	g.Expect(sent()["s1"]).To(gomega.BeNumerically("~", 10, 3))
}

// TestWaitingBesideFreeSlotsIsCounted guards against uneven load that no metric shows.
func TestWaitingBesideFreeSlotsIsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	p := New(mangomodel.Holder{Daemon: "d"}, nil)
	for _, id := range []mangomodel.ServerID{"s1", "s2"} {
		p.PutServer(mangotraffic.Server{ID: id, Service: "app", DataCentre: "a", Slots: 2})
	}
	for i := range 12 {
		load := &mangotraffic.LoadReport{Running: 2, Waiting: 3, Slots: 2}
		p.Observe(mangolease.Observation{Server: "s1", Load: load}, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	m := p.TakeMeasures()
	g.Expect(m.WaitedBesideFree).To(gomega.Equal(12))
	g.Expect(m.Uneven).To(gomega.HaveLen(1))
	g.Expect(m.Uneven[0].Window).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(m.Uneven[0].Ratio).To(gomega.BeNumerically("~", 2, 0.01))
	g.Expect(p.TakeMeasures().Uneven).To(gomega.BeEmpty())
}
