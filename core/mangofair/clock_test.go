package mangofair

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestFlowsShareByCost guards against a flow that gets more than another because its
// demands cost more, and against one that leaves and joins again to be served first.
func TestFlowsShareByCost(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewClock[string]()
	got := map[string]float64{}
	costs := map[string]float64{"small": 1, "large": 7}
	for range 800 {
		next := "large"
		if c.Start("small") < c.Start("large") {
			next = "small"
		}
		c.Serve(next, costs[next], 1)
		g.Expect(c.Leave(next)).To(gomega.BeFalse())
		got[next] += costs[next]
	}
	g.Expect(got["small"]).To(gomega.BeNumerically("~", got["large"], costs["large"]))
}

// TestIdleFlowGetsNoCredit guards against a flow that takes the whole service after a time
// in which it asked for nothing.
func TestIdleFlowGetsNoCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewClock[string]()
	c.Serve("idle", 1, 1)
	for range 100 {
		c.Serve("busy", 1, 1)
	}
	g.Expect(c.Start("idle")).To(gomega.Equal(c.Now()))
	g.Expect(c.Leave("idle")).To(gomega.BeTrue())
	c.Serve("idle", 2, 1)
	g.Expect(c.Start("idle")).To(gomega.BeNumerically(">", c.Start("busy")))
}
