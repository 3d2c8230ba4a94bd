package mangogateway

import (
	"testing"

	"github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangolease"
	"mangolane/core/mangotraffic"
)

// TestSharesAreVisible guards against decisions on shares and wasted prefills that neither
// the log of the call nor a metric shows, and against fields on calls without workspaces.
func TestSharesAreVisible(t *testing.T) {
	for _, restricted := range []bool{true, false} {
		g := gomega.NewWithT(t)
		core, logs := zapobserver.New(zap.DebugLevel)
		o := observer{logger: zap.New(core), metrics: newMetrics()}
		call := &mangotraffic.Call{ID: "r", Restricted: restricted}
		place := mangolease.Place{}
		if restricted {
			call.Workspace, call.Priority = "w", 3
			place = mangolease.Place{Priority: 3, Lead: 7, Returned: true, Reserved: true}
		}
		lease := mangolease.Lease{Place: place, Prefill: &mangotraffic.Server{}}
		o.ExchangeFinished(mangoexchange.Exchange{Call: call, Phase: mangoexchange.PhasePrefill, Lease: lease})
		o.ExchangeFinished(mangoexchange.Exchange{Call: call, Phase: mangoexchange.PhaseRun, Lease: lease})
		o.CallFinished(mangoexchange.Result{Call: call, Place: place})
		for _, line := range logs.All() {
			fields := line.ContextMap()
			if !restricted {
				g.Expect(fields).NotTo(gomega.Or(gomega.HaveKey("Workspace"), gomega.HaveKey("Lead"), gomega.HaveKey("Priority")), line.Message)
				continue
			}
			for name, want := range map[string]any{"Workspace": "w", "Priority": int64(3), "Lead": 7.0, "Returned": true, "Reserved": true} {
				g.Expect(fields).To(gomega.HaveKeyWithValue(name, want), line.Message)
			}
		}
		for _, name := range []string{"Grants.Returned", "Grants.Reserved"} {
			want := int64(0)
			if restricted {
				want = 1
			}
			g.Expect(gometrics.GetOrRegisterCounter(name, o.metrics.registry).Count()).To(gomega.Equal(want), name)
		}
	}
	g := gomega.NewWithT(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	o := observer{logger: zap.New(core), metrics: newMetrics()}
	for range 2 {
		o.PrefillWasted(mangoexchange.Waste{Call: &mangotraffic.Call{ID: "r"}, Cause: mangoexchange.WasteHandleExpired, Tokens: 40})
	}
	g.Expect(gometrics.GetOrRegisterCounter("Prompts.Wasted.HandleExpired", o.metrics.registry).Count()).To(gomega.BeEquivalentTo(80))
	g.Expect(logs.All()[0].ContextMap()).To(gomega.And(gomega.HaveKeyWithValue("Request", "r"), gomega.HaveKeyWithValue("Reason", "HandleExpired")))
}
