package mangoproof_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/mangostand/mangoengine"
)

// crashes counts the crashes of all engines.
func (c *cluster) crashes() int {
	n := 0
	for _, e := range c.engines {
		n += e.View().Stats.Crashes
	}
	return n
}

var _ = ginkgo.Describe("a request that crashes servers", func() {
	ginkgo.DescribeTable("is quarantined after two crashes, wherever it is sent again, and its fellow passengers are served",
		func(mark string) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneZone)
				var innocent []*answer
				var running sync.WaitGroup
				running.Go(func() {
					innocent = c.generateMany(ctx, 40, 200*time.Millisecond, mangomodel.RankBasic, 60)
				})
				time.Sleep(time.Second)
				poison := mark + " audit of hat 7"
				first := c.nodes[0].generate(ctx, mangomodel.RankBasic, poison, 50)
				g.Expect(first.err).To(gomega.HaveOccurred())
				time.Sleep(settle)
				resent := c.nodes[1].generate(ctx, mangomodel.RankBasic, poison, 50)
				g.Expect(mangomodel.HasCode(resent.err, mangomodel.CodeQuarantined)).To(gomega.BeTrue(), "%v", resent.err)
				running.Wait()
				g.Expect(c.crashes()).To(gomega.Equal(2))
				for _, a := range innocent {
					g.Expect(a.err).NotTo(gomega.HaveOccurred())
					g.Expect(a.whole()).To(gomega.BeTrue())
				}
			})()
		},
		ginkgo.Entry("in its decode", mangoengine.PoisonDecode),
		ginkgo.Entry("in its prefill", mangoengine.PoisonPrefill),
	)

	ginkgo.It("is not suspected when a connection only fell silent", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		go func() {
			for range 8 {
				time.Sleep(500 * time.Millisecond)
				_ = c.engines["east-a-d0"].StallStreams(ctx)
				_ = c.engines["east-a-d1"].StallStreams(ctx)
			}
		}()
		for _, a := range c.generateMany(ctx, 20, 200*time.Millisecond, mangomodel.RankBasic, 60) {
			g.Expect(a.whole()).To(gomega.BeTrue())
		}
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Suspicions).To(gomega.BeEmpty())
		}
	}))

	ginkgo.It("is found to be innocent when its server only vanished, and no grant is left behind", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		go func() {
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				c.net.set(n.place, "east-a-d0", true)
			}
			_ = c.engines["east-a-d0"].StallStreams(ctx)
		}()
		for i, a := range c.generateMany(ctx, 20, 100*time.Millisecond, mangomodel.RankBasic, 100) {
			g.Expect(a.err).NotTo(gomega.HaveOccurred(), "request %d", i)
			g.Expect(a.whole()).To(gomega.BeTrue())
			g.Expect(a.took).To(gomega.BeNumerically("<", notForever))
		}
		time.Sleep(2 * settle)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Holdings.Len()).To(gomega.BeZero(), "%s", n.place)
			g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero(), "%s", n.place)
		}
	}))
})
