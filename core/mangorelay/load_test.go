package mangorelay

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangoload"
)

// TestPlainCallShowsTheSpeedOfItsServer guards against loads that are estimated without how
// long calls took.
func TestPlainCallShowsTheSpeedOfItsServer(t *testing.T) {
	startHarness(t, false, func(h *harness) {
		h.newCall("/read/1")
		h.servers.runs["s1"] = []step{{responseDelay: 120 * time.Millisecond, body: "a"}}
		h.servers.runs["s2"] = h.servers.runs["s1"]
		h.Expect(h.serve()).To(gomega.BeNil())
		loads := h.fleet.View().Loads("d", time.Now())
		h.Expect(loads).To(gomega.HaveLen(1))
		for _, r := range loads {
			h.Expect(r.Seconds / r.Calls).To(gomega.BeNumerically("~", 0.12, 0.001))
		}
	}, mangofleet.WithEstimatedLoads(mangoload.DefaultDistanceCost))
}
