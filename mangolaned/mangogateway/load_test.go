package mangogateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangolease"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// TestUnevenLoadIsShown guards against uneven load, and choices by old figures, that neither
// the metrics nor the lines of exchanges show.
func TestUnevenLoadIsShown(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logs := zapobserver.New(zap.DebugLevel)
	o := observer{logger: zap.New(core), metrics: newMetrics()}
	o.LoadsMeasured(mangopool.LoadMeasures{
		Uneven: []mangopool.Unevenness{{Window: 100 * time.Millisecond, Ratio: 2.5}, {Window: time.Second, Ratio: 1.25}}, WaitedBesideFree: 3,
	})
	o.ExchangeFinished(mangoexchange.Exchange{Call: &mangotraffic.Call{ID: "r"}, Lease: mangolease.Lease{LoadAge: 80 * time.Millisecond, Load: 0.5, Share: 0.2}})
	for name, want := range map[string]int64{"Plain.Uneven.100ms.Percent": 250, "Plain.Uneven.1s.Percent": 125, "Plain.LoadAge.Microseconds": 80_000} {
		h, ok := o.metrics.registry.Get(name).(gometrics.Histogram)
		g.Expect(ok).To(gomega.BeTrue(), name)
		g.Expect(h.Max()).To(gomega.Equal(want), name)
	}
	g.Expect(o.metrics.registry.Get("Plain.WaitedBesideFree").(gometrics.Counter).Count()).To(gomega.BeEquivalentTo(3))
	g.Expect(logs.All()[0].ContextMap()).To(gomega.And(gomega.HaveKey("LoadAge"), gomega.HaveKeyWithValue("Share", 0.2)))
}
