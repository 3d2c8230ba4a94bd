package mangogateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

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
		{"grace period", func(s *mangosettings.Gateway) { s.GracePeriod = mangomodel.Duration(time.Second) }, true},
		{"order lease", func(s *mangosettings.Gateway) { s.OrderLease = mangomodel.Duration(time.Second) }, true},
		{"spans", func(s *mangosettings.Gateway) { s.TraceSpans = 9 }, true},
		{"share of a core", func(s *mangosettings.Gateway) { s.CoreShare = 0.1 }, true},
		{"link rate", func(s *mangosettings.Gateway) { s.LinkRate = 20 }, true},
	}
	for _, test := range tests {
		var before, after mangosettings.Gateway
		test.change(&after)
		gomega.NewWithT(t).Expect(sameStartupSettings(after, before)).To(gomega.Equal(!test.restart), test.name)
	}
}
