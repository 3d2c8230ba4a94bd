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
	for id, stage := range stages {
		p.PutServer(mangotraffic.Server{ID: id, Service: "llm", DataCentre: "a", Slots: 2, Stage: stage})
	}
	now := time.Now()
	grant := func(i int) mangolease.Lease {
		id := benchLease(i)
		g.Expect(p.Grant(mangolease.NewPendingDemand(id, benchDemand(), now), now)).To(gomega.BeTrue())
		lease, _ := p.Granted().Get(id)
		p.PrefillDone(id, 0)
		return lease
	}
	g.Expect(grant(0).Server.ID).NotTo(gomega.Equal(grant(1).Server.ID), "equal servers get the same work")
	p.Release(benchLease(0), now)
	p.Release(benchLease(1), now)
	for i := range 30 {
		saw := mangolease.OutcomeSuccess
		if i%3 == 0 {
			saw = mangolease.OutcomeFailure
		}
		p.Observe(mangolease.Observation{Server: "d1", Saw: saw}, now)
		p.Observe(mangolease.Observation{Server: "p1", Saw: saw}, now)
	}
	for i, want := range []mangomodel.ServerID{"d2", "d2", "d1"} {
		lease := grant(2 + i)
		g.Expect(lease.Server.ID).To(gomega.Equal(want))
		g.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p2"))
	}
}
