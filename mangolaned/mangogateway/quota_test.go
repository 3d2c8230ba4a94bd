package mangogateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// TestRefusalsByQuotaAreLogged guards against a 429 whose workspace or figures an operator
// can't find.
func TestRefusalsByQuotaAreLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	o := observer{logger: zap.New(core), metrics: newMetrics()}
	r := &mangoquota.Refusal{
		Workspace: "acme", Limit: mangoworkspace.Limit{Unit: mangoworkspace.UnitTokens, Rate: 29_000, Burst: 30_000},
		Cost: 7_000, Used: 28_000, Age: time.Second, After: 2 * time.Second,
	}
	o.QuotaRefused(r)
	o.QuotaAsked(3)
	o.QuotaWaited(time.Millisecond)
	o.CallFinished(mangoexchange.Result{
		Call: &mangotraffic.Call{ID: "r"},
		Err:  mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeQuotaExceeded, mangomodel.RunNot, r),
	})
	fields := logs.FilterMessage("call finished").All()[0].ContextMap()
	for name, want := range map[string]any{
		"Workspace": "acme", "Unit": "Tokens", "Rate": 29_000., "Burst": 30_000., "Cost": 7_000., "Used": 28_000.,
		"UsedAge": time.Second, "ReturnAfter": 2 * time.Second, "Code": "QuotaExceeded",
	} {
		g.Expect(fields).To(gomega.HaveKeyWithValue(name, want))
	}
	for name, want := range map[string]int64{"Quota.Refused": 1, "Quota.Asked": 3, "Quota.Waited": 1} {
		g.Expect(o.metrics.registry.Get(name).(gometrics.Counter).Count()).To(gomega.Equal(want), name)
	}
}
