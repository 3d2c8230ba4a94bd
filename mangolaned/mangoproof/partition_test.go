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

// inZone returns the daemons of a data centre.
func (c *cluster) inZone(dc mangomodel.DataCentreID) []*node {
	var nodes []*node
	for _, n := range c.nodes {
		if n.zone.dc == dc {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

var _ = ginkgo.Describe("a data centre that is cut off", func() {
	ginkgo.It("goes on serving generation, refuses entries as not run, and catches up after it", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeZones)
		c.cutDataCentre("west-a", true)
		time.Sleep(settle)
		west, east := c.inZone("west-a"), c.inZone("east-a")
		for i, n := range append(west, east...) {
			a := n.generate(ctx, mangomodel.RankUrgent, promptOf(i, 300), 40)
			g.Expect(a.whole()).To(gomega.BeTrue(), "%s: %v", n.place, a.err)
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
		time.Sleep(inForce)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Catalog.Revision()).To(gomega.Equal(rev), "%s", n.place)
		}
		time.Sleep(2 * settle)
		for _, n := range c.nodes {
			for _, dc := range []mangomodel.DataCentreID{"east-a", "east-b", "west-a"} {
				up := 0
				for _, m := range n.control.Snapshot().Members {
					if m.DataCentre == dc && m.State == mangomember.Alive {
						up++
					}
				}
				g.Expect(up).To(gomega.BeNumerically(">", 0), "%s knows no daemon of %s", n.place, dc)
			}
		}
		g.Expect(c.recorder.Counts().Runs("/dispense pump 1")).To(gomega.BeZero())
		_, err = west[1].call(ctx, "dispense", "k", "pump 1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(c.recorder.Counts().Runs("/dispense pump 1")).To(gomega.Equal(1))
	}))
})

var _ = ginkgo.Describe("another data centre", func() {
	ginkgo.It("serves what the own one cannot", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeZones)
		for _, id := range []mangomodel.HostID{"east-a-d0", "east-a-d1"} {
			c.announceLeaving(id)
			time.Sleep(settle)
		}
		for i, n := range c.inZone("east-a") {
			a := n.generate(ctx, mangomodel.RankBasic, promptOf(i, 300), 40)
			g.Expect(a.whole()).To(gomega.BeTrue(), "%v", a.err)
		}
		time.Sleep(settle)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero(), "%s", n.place)
		}
	}))
})

var _ = ginkgo.Describe("a daemon that is cut off from its peers only", func() {
	ginkgo.DescribeTable("keeps its requests, and all engine memory is freed after them",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneZone)
				var answers []*answer
				var load sync.WaitGroup
				load.Go(func() { answers = c.generateMany(ctx, 16, 100*time.Millisecond, mangomodel.RankBasic, 600) })
				time.Sleep(2 * time.Second)
				c.net.set(c.nodes[victim].place, c.nodes[1-victim].place, true)
				for i, n := range c.nodes {
					a := n.generate(ctx, mangomodel.RankBasic, promptOf(100+i, 300), 20)
					g.Expect(a.whole()).To(gomega.BeTrue(), "%s right after the cut: %v", n.place, a.err)
					g.Expect(a.took).To(gomega.BeNumerically("<", settle))
				}
				load.Wait()
				for _, a := range answers {
					g.Expect(a.err).NotTo(gomega.HaveOccurred())
					g.Expect(a.whole()).To(gomega.BeTrue())
				}
				c.net.set(c.nodes[victim].place, c.nodes[1-victim].place, false)
				time.Sleep(4 * settle)
				g.Expect(c.held()).To(gomega.BeEmpty())
				for _, n := range c.nodes {
					g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero(), "%s", n.place)
				}
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})

var _ = ginkgo.Describe("the death of a daemon", func() {
	ginkgo.DescribeTable("costs the requests of the others no answer, and urgent ones their target for a few seconds at most",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneZone)
				survivor := c.nodes[1-victim]
				const interval = 100 * time.Millisecond
				answers := make([]*answer, 200)
				var running sync.WaitGroup
				died := time.Time{}
				lastLate := time.Time{}
				var mu sync.Mutex
				for i := range answers {
					running.Go(func() {
						sent := time.Now()
						answers[i] = survivor.generate(ctx, mangomodel.RankUrgent, promptOf(i, 300), 20)
						mu.Lock()
						defer mu.Unlock()
						if answers[i].refused() || answers[i].took > time.Second {
							lastLate = sent
						}
					})
					if i == len(answers)/2 {
						died = time.Now()
						c.nodes[victim].crash()
					}
					time.Sleep(interval)
				}
				running.Wait()
				for i, a := range answers {
					g.Expect(a.whole() || a.refused()).To(gomega.BeTrue(), "request %d: %v", i, a.err)
				}
				ginkgo.GinkgoWriter.Printf("last late request %v after the death\n", lastLate.Sub(died))
				g.Expect(lastLate.Sub(died)).To(gomega.BeNumerically("<", settle))
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})
