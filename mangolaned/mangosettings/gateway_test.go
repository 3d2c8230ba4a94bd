package mangosettings

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
)

const gateway = `{
  "Daemon": "d1", "DataCentre": "a1", "Regions": {"a1": "a"},
  "Front": "127.0.0.1:1", "Readiness": "127.0.0.1:2", "Peer": "127.0.0.1:3", "Metrics": "127.0.0.1:4",
  "Platform": "127.0.0.1:5", "GracePeriod": "8s", "RetryRatio": 0.2, "RetryFixed": 52, "RetryWindow": "10s",
  "Seeds": ["127.0.0.1:6"]
}`

func TestGatewaySettings(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := ParseGateway([]byte(gateway))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.LogLevel).To(gomega.Equal("info"))
	g.Expect(s.LogRate).To(gomega.Equal(defaultLogRate))
	g.Expect(s.CanSchedule()).To(gomega.BeTrue())
	g.Expect(s.ServerChoice).To(gomega.Equal(mangoload.ChoiceCounted))
	s, err = ParseGateway([]byte(strings.Replace(gateway, `"Daemon"`, `"ServerChoice": "Estimated", "Daemon"`, 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.ServerChoice).To(gomega.Equal(mangoload.ChoiceEstimated))
}

// TestFirstStartIsRead guards against a daemon that takes any start for the first one of the
// installation, or none.
func TestFirstStartIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]bool{gateway: false, strings.Replace(gateway, `"Daemon"`, `"FirstStart": true, "Daemon"`, 1): true} {
		s, err := ParseGateway([]byte(text))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.FirstStart).To(gomega.Equal(want))
	}
}

func TestInvalidGatewaySettingIsNamed(t *testing.T) {
	tests := []struct{ name, old, new string }{
		{"Daemon", `"d1"`, `""`},
		{"Regions", `{"a1": "a"}`, `{}`},
		{"Front", `"127.0.0.1:1"`, `"host:1"`},
		{"Seeds", `["127.0.0.1:6"]`, `["x"]`},
		{"GracePeriod", `"8s"`, `"8ms"`},
		{"RetryRatio", `0.2`, `2`},
		{"RetryWindow", `"10s"`, `"0s"`},
		{"DrainTime", `"Daemon"`, `"DrainTime": "-1s", "Daemon"`},
		{"ConfigTime", `"Daemon"`, `"ConfigTime": "-1s", "Daemon"`},
		{"QuotaTolerance", `"Daemon"`, `"QuotaTolerance": -0.1, "Daemon"`},
		{"QuotaTolerance", `"Daemon"`, `"QuotaTolerance": 10, "Daemon"`},
		{"ClientConnections", `"Daemon"`, `"ClientConnections": -1, "Daemon"`},
		{"HeadMemory", `"Daemon"`, `"MemoryLimit": 100000000, "HeadMemory": 200000000, "Daemon"`},
		{"ClientStall", `"Daemon"`, `"ClientStall": "-1s", "Daemon"`},
		{"Unknown", `"Daemon"`, `"Unknown": 1, "Daemon"`},
		{"LogLevel", `"Daemon"`, `"LogLevel": "loud", "Daemon"`},
		{"LogRate", `"Daemon"`, `"LogRate": -1, "Daemon"`},
		{"CoreShare", `"Daemon"`, `"CoreShare": -1, "Daemon"`},
		{"BasicShare", `"Daemon"`, `"BasicShare": 1, "Daemon"`},
		{"Choice", `"Daemon"`, `"ServerChoice": "Random", "Daemon"`},
		{"DistanceCost", `"Daemon"`, `"DistanceCost": 2, "Daemon"`},
		{"BodyMemory", `"Daemon"`, `"BodyMemory": -1, "Daemon"`},
		{"BodyMemory", `"Daemon"`, `"MemoryLimit": 50000000, "BodyMemory": 50000001, "Daemon"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseGateway([]byte(strings.Replace(gateway, test.old, test.new, 1)))
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(test.name)))
		})
	}
}

// TestQuotaToleranceIsNotLentWhole guards against a tolerance that leaves nothing for calls
// that were granted before a window and begin in it.
func TestQuotaToleranceIsNotLentWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := ParseGateway([]byte(gateway))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.LentTolerance()).To(gomega.BeZero())
	s.QuotaTolerance = 0.1
	g.Expect(s.LentTolerance()).To(gomega.BeNumerically("~", 0.08))
}

func TestRetryAllowanceGrowsWithUptime(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := ParseGateway([]byte(gateway))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.RetryLimits(0).Fixed).To(gomega.BeZero())
	g.Expect(s.RetryLimits(5 * time.Second).Fixed).To(gomega.BeNumerically("~", s.RetryLimits(time.Minute).Fixed/2))
	g.Expect(s.RetryLimits(time.Minute).Fixed).To(gomega.BeNumerically("<=", 52))
}

func TestBodyMemoryFollowsFromTheMemoryLimit(t *testing.T) {
	tests := []struct {
		settings string
		least    mangomodel.Bytes
		most     mangomodel.Bytes
	}{
		{`"LogLevel": "info"`, 0, 0},
		{`"MemoryLimit": 88000000`, 32 << 20, 44 << 20},
		{`"MemoryLimit": 134000000`, 70 << 20, 80 << 20},
		{`"MemoryLimit": 536000000`, 300 << 20, 322 << 20},
		{`"MemoryLimit": 30000000`, 8 << 20, 8 << 20},
		{`"MemoryLimit": 134000000, "BodyMemory": 16777216`, 16 << 20, 16 << 20},
	}
	for _, test := range tests {
		g := gomega.NewWithT(t)
		s, err := ParseGateway([]byte(strings.Replace(gateway, `"Daemon"`, test.settings+`, "Daemon"`, 1)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.BodyMemory).To(gomega.And(gomega.BeNumerically(">=", test.least), gomega.BeNumerically("<=", test.most)), test.settings)
	}
}
