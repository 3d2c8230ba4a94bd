package mangogateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// TestWorkspaceMetricsAreBounded guards against a metric for each of very many workspaces,
// and against calls that are missing from the sum.
func TestWorkspaceMetricsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := newWorkspaceCounts()
	const workspaces = maxCountedWorkspaces + 10
	for i := range workspaces {
		id := mangomodel.WorkspaceID(fmt.Sprintf("w%04d", i))
		counts.add(id, "OnTime")
		if i >= 100 && i < 100+maxNamedWorkspaces {
			counts.add(id, "Refused")
		}
	}
	counts.add("", "OnTime")
	names, total := make(map[string]bool), int64(0)
	counts.registry().Each(func(name string, metric any) {
		names[strings.Split(name, ".")[1]] = true
		total += metric.(gometrics.Counter).Count()
	})
	g.Expect(names).To(gomega.HaveLen(maxNamedWorkspaces + 1))
	for _, name := range []string{"w0100", "w0163", otherWorkspaces} {
		g.Expect(names).To(gomega.HaveKey(name), "those with the most calls")
	}
	g.Expect(total).To(gomega.BeEquivalentTo(workspaces + maxNamedWorkspaces))
}

// TestRefusedKeyIsLogged guards against a refusal whose key an operator cannot tell from
// others, and against a line that shows it.
func TestRefusedKeyIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	o := observer{logger: zap.New(core), metrics: newMetrics()}
	call := &mangotraffic.Call{
		ID: "r", Key: mangoworkspace.DigestOf("secret"), HasKey: true,
		Header: mangotraffic.HeaderFields{"Authorization": {"Token secret"}},
	}
	err := mangomodel.NewFault(mangomodel.StepAuthorise, "", mangomodel.CodeUnauthorised, mangomodel.RunNot, errors.New("unknown key"))
	o.CallFinished(mangoexchange.Result{Call: call, Err: err, EndedBy: mangoexchange.EndAdmission})
	o.CallFinished(mangoexchange.Result{Call: &mangotraffic.Call{ID: "s", Restricted: true, Workspace: "hats", Key: call.Key, HasKey: true}, Status: 200})
	refused, served := logs.All()[0].ContextMap(), logs.All()[1].ContextMap()
	g.Expect(refused).To(gomega.HaveKeyWithValue("Key", call.Key.String()))
	g.Expect(fmt.Sprint(refused)).NotTo(gomega.ContainSubstring("secret"))
	g.Expect(served).To(gomega.HaveKeyWithValue("Workspace", "hats"))
	g.Expect(served).NotTo(gomega.HaveKey("Key"))
	c, ok := o.metrics.registry.Get("Keys.Unauthorised").(gometrics.Counter)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.Count()).To(gomega.BeEquivalentTo(1))
}
