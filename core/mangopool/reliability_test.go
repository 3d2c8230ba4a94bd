package mangopool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

func TestEngineThatLosesCallsGetsWorkAfterTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	routing, err := mangotraffic.NewRouting(1, nil, []mangotraffic.Service{
		{Name: "llm", Engine: &mangotraffic.Engine{Slots: 2, KVTokens: 100_000, TokensPerEvent: 72}},
	}, mangotraffic.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p := New(mangomodel.Holder{Daemon: "d"}, map[mangomodel.DataCentreID]mangomodel.RegionID{"a": "r", "b": "r"})
	p.Configure(routing)
	stages := map[mangomodel.ServerID]mangotraffic.Stage{
		"d1": mangotraffic.StageDecode, "d2": mangotraffic.StageDecode, "p1": mangotraffic.StagePrefill, "p2": mangotraffic.StagePrefill,
	}
	centres := map[mangomodel.ServerID]mangomodel.DataCentreID{"d1": "a", "p1": "a", "d2": "b", "p2": "b"}
	for id, stage := range stages {
		p.PutServer(mangotraffic.Server{ID: id, Service: "llm", DataCentre: centres[id], Slots: 2, Stage: stage})
	}
	now := time.Now()
	grant := func(i int) mangolease.Lease {
		id := benchLease(i)
		g.Expect(p.Grant(mangolease.NewPendingDemand(id, benchDemand(), now), now)).To(gomega.BeTrue())
		lease, _ := p.Granted().Get(id)
		p.PrefillDone(id, 0)
		return lease
	}
	first := grant(0)
	g.Expect(first.Server.ID).To(gomega.BeEquivalentTo("d1"))
	g.Expect(first.Prefill.ID).To(gomega.BeEquivalentTo("p1"))
	p.Release(benchLease(0), now)
	for i := range 30 {
		saw := mangolease.OutcomeSuccess
		if i%3 == 0 {
			saw = mangolease.OutcomeFailure
		}
		p.Observe(mangolease.Observation{Server: "d1", Saw: saw}, now)
		p.Observe(mangolease.Observation{Server: "p1", Saw: saw}, now)
	}
	for i, want := range []mangomodel.ServerID{"d2", "d2", "d1"} {
		lease := grant(1 + i)
		g.Expect(lease.Server.ID).To(gomega.Equal(want))
		g.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p2"))
	}
}
