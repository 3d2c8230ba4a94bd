package mangogateway

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangobuilds"
	"mangolane/core/mangoorigin"
	"mangolane/core/mangotraffic"
)

// TestRefusedResumptionIsLogged guards against a stream that cannot be resumed for a reason
// that neither the logs nor the metrics name.
func TestRefusedResumptionIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	o := observer{logger: zap.New(core), metrics: newMetrics()}
	stream := mangotraffic.StreamID{Service: "llm", Request: "r"}
	o.ServiceMixed("llm", []mangobuilds.Span{{Build: "1.9"}, {Build: "2"}})
	o.OriginResolved(stream, mangoorigin.EvidenceRow, nil)
	o.OriginResolved(stream, mangoorigin.EvidenceNone, errors.New("no record"))
	g.Expect(logs.All()).To(gomega.HaveLen(2))
	g.Expect(logs.All()[0].ContextMap()["Builds"]).To(gomega.Equal([]any{"1.9", "2"}))
	fields := logs.All()[1].ContextMap()
	g.Expect(fields["Stream"]).To(gomega.Equal("r"))
	g.Expect(fields["Service"]).To(gomega.Equal("llm"))
	g.Expect(fields).To(gomega.ContainElement(gomega.ContainSubstring("no record")))
	for _, name := range []string{"Builds.Mixed", "Origins.Resolved.Row", "Origins.Resolved.None"} {
		g.Expect(gometrics.GetOrRegisterCounter(name, o.metrics.registry).Count()).To(gomega.BeEquivalentTo(1), name)
	}
}
