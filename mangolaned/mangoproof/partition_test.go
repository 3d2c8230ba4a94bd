package mangoproof_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// inDataCentre returns the daemons of a data centre.
func (c *cluster) inDataCentre(dc mangomodel.DataCentreID) []*node {
	var nodes []*node
	for _, n := range c.nodes {
		if n.dataCentre.id == dc {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

var _ = ginkgo.Describe("a data centre that is cut off", func() {
	ginkgo.It("continues to serve generation, refuses entries as not run, and catches up after the cut", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeDataCentres)
		c.cutDataCentre("west-a", true)
		time.Sleep(convergenceTime)
		west, east := c.inDataCentre("west-a"), c.inDataCentre("east-a")
		for i, n := range append(west, east...) {
			r := n.generate(ctx, mangomodel.RankUrgent, promptOf(i, 300), 40)
			g.Expect(r.complete()).To(gomega.BeTrue(), "%s: %v", n.endpoint, r.err)
		}
		_, err := west[0].call(ctx, "dispense", "k", "pump 1")
		g.Expect(mangomodel.AsFault(err, mangomodel.StepCall).Run).To(gomega.Equal(mangomodel.RunNot))
		_, err = west[0].call(ctx, "history", "", "pump 1")
		g.Expect(err).NotTo(gomega.HaveOccurred(), "lookups need no table service")
		_, err = east[0].call(ctx, "dispense", "k2", "pump 2")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		rev, err := east[0].propose(ctx, "during the cut", east[0].poolRevision(), 0.3)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)

		c.cutDataCentre("west-a", false)
		time.Sleep(activationTime)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Catalog.Revision()).To(gomega.Equal(rev), "%s", n.endpoint)
		}
		time.Sleep(2 * convergenceTime)
		for _, n := range c.nodes {
			for _, dc := range []mangomodel.DataCentreID{"east-a", "east-b", "west-a"} {
				alive := 0
				for _, m := range n.control.Snapshot().Members {
					if m.DataCentre == dc && m.State == mangomember.Alive {
						alive++
					}
				}
				g.Expect(alive).To(gomega.BeNumerically(">", 0), "%s has recorded no live daemon of %s", n.endpoint, dc)
			}
		}
		g.Expect(c.recorder.Counts().Runs("/dispense pump 1")).To(gomega.BeZero())
		_, err = west[1].call(ctx, "dispense", "k", "pump 1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(c.recorder.Counts().Runs("/dispense pump 1")).To(gomega.Equal(1))
	}))
})

var _ = ginkgo.Describe("another data centre", func() {
	ginkgo.It("serves the requests that the local data centre cannot", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeDataCentres)
		for _, id := range []mangomodel.HostID{"east-a-d0", "east-a-d1"} {
			c.announceLeaving(id)
			time.Sleep(convergenceTime)
		}
		for i, n := range c.inDataCentre("east-a") {
			r := n.generate(ctx, mangomodel.RankBasic, promptOf(i, 300), 40)
			g.Expect(r.complete()).To(gomega.BeTrue(), "%v", r.err)
		}
		time.Sleep(convergenceTime)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero(), "%s", n.endpoint)
		}
	}))
})

var _ = ginkgo.Describe("a daemon that is cut off from its peers only", func() {
	ginkgo.DescribeTable("keeps its requests, and all engine memory is freed after them",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				var responses []*response
				var wg sync.WaitGroup
				wg.Go(func() { responses = c.generateMany(ctx, 16, 100*time.Millisecond, mangomodel.RankBasic, 600) })
				time.Sleep(2 * time.Second)
				c.net.setCut(c.nodes[victim].endpoint, c.nodes[1-victim].endpoint, true)
				for i, n := range c.nodes {
					r := n.generate(ctx, mangomodel.RankBasic, promptOf(100+i, 300), 20)
					g.Expect(r.complete()).To(gomega.BeTrue(), "%s immediately after the cut: %v", n.endpoint, r.err)
					g.Expect(r.elapsed).To(gomega.BeNumerically("<", convergenceTime))
				}
				wg.Wait()
				for _, r := range responses {
					g.Expect(r.err).NotTo(gomega.HaveOccurred())
					g.Expect(r.complete()).To(gomega.BeTrue())
				}
				c.net.setCut(c.nodes[victim].endpoint, c.nodes[1-victim].endpoint, false)
				time.Sleep(4 * convergenceTime)
				g.Expect(c.runningSequences()).To(gomega.BeEmpty())
				for _, n := range c.nodes {
					g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero(), "%s", n.endpoint)
				}
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})

var _ = ginkgo.Describe("the crash of a daemon", func() {
	ginkgo.DescribeTable("lets the other daemon complete or refuse each request, and delays urgent ones for a few seconds at most",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				survivor := c.nodes[1-victim]
				const interval = 100 * time.Millisecond
				responses := make([]*response, 200)
				var wg sync.WaitGroup
				crashedAt := time.Time{}
				lastLate := time.Time{}
				var mu sync.Mutex
				for i := range responses {
					wg.Go(func() {
						sent := time.Now()
						responses[i] = survivor.generate(ctx, mangomodel.RankUrgent, promptOf(i, 300), 20)
						mu.Lock()
						defer mu.Unlock()
						if responses[i].refused() || responses[i].elapsed > time.Second {
							lastLate = sent
						}
					})
					if i == len(responses)/2 {
						crashedAt = time.Now()
						c.nodes[victim].crash()
					}
					time.Sleep(interval)
				}
				wg.Wait()
				for i, r := range responses {
					g.Expect(r.complete() || r.refused()).To(gomega.BeTrue(), "request %d: %v", i, r.err)
				}
				ginkgo.GinkgoWriter.Printf("last late request %v after the crash\n", lastLate.Sub(crashedAt))
				g.Expect(lastLate.Sub(crashedAt)).To(gomega.BeNumerically("<", convergenceTime))
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})
