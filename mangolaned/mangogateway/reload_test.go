package mangogateway

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/mangolaned/mangosettings"
)

// TestStartupSettings guards against a changed setting that has no effect although the
// log says that no restart is needed.
func TestStartupSettings(t *testing.T) {
	tests := []struct {
		name    string
		change  func(s *mangosettings.Gateway)
		restart bool
	}{
		{"nothing", func(*mangosettings.Gateway) {}, false},
		{"log level", func(s *mangosettings.Gateway) { s.LogLevel = "debug" }, false},
		{"retry limits", func(s *mangosettings.Gateway) { s.RetryRatio, s.RetryFixed = 0.5, 7 }, false},
		{"seeds", func(s *mangosettings.Gateway) { s.Seeds = []mangomodel.Address{"10.0.0.1:80"} }, true},
		{"grace period", func(s *mangosettings.Gateway) { s.GracePeriod = mangomodel.Duration(time.Second) }, false},
		{"order lease", func(s *mangosettings.Gateway) { s.OrderLease = mangomodel.Duration(time.Second) }, true},
		{"spans", func(s *mangosettings.Gateway) { s.TraceSpans = 9 }, true},
		{"share of a core", func(s *mangosettings.Gateway) { s.CoreShare = 0.1 }, true},
		{"server choice", func(s *mangosettings.Gateway) { s.ServerChoice = mangoload.ChoiceEstimated }, true},
		{"first start", func(s *mangosettings.Gateway) { s.FirstStart = true }, false},
		{"link rate", func(s *mangosettings.Gateway) { s.LinkRate = 20 }, true},
	}
	for _, test := range tests {
		var before, after mangosettings.Gateway
		test.change(&after)
		gomega.NewWithT(t).Expect(sameStartupSettings(after, before)).To(gomega.Equal(!test.restart), test.name)
	}
}

// TestShutdownKeepsToTheGracePeriodInForce guards against a process that is killed during
// its shutdown since the grace period was shortened by a reload.
func TestShutdownKeepsToTheGracePeriodInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	gateway := &Gateway{current: &atomic.Pointer[mangosettings.Gateway]{}, logger: zap.NewNop(), level: zap.NewAtomicLevel()}
	gateway.settings.GracePeriod = mangomodel.Duration(30 * time.Second)
	gateway.current.Store(&gateway.settings)
	path := filepath.Join(t.TempDir(), "gate.json")
	text := `{"Daemon":"d","DataCentre":"a","Regions":{"a":"r"},"Front":"127.0.0.1:1","Readiness":"127.0.0.1:2","Peer":"127.0.0.1:3",
		"Metrics":"127.0.0.1:4","Platform":"127.0.0.1:5","GracePeriod":"5s","RetryRatio":0.2,"RetryFixed":50,"RetryWindow":"10s"}`
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
	gateway.reload(path)
	now := time.Now()
	g.Expect(gateway.shutdownPlan(now).Exit()).To(gomega.BeTemporally("<", now.Add(5*time.Second)))
}
