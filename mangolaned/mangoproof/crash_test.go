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

// crashes returns the number of crashes of all engines.
func (c *cluster) crashes() int {
	n := 0
	for _, e := range c.engines {
		n += e.View().Stats.Crashes
	}
	return n
}

var _ = ginkgo.Describe("a request that crashes servers", func() {
	ginkgo.DescribeTable("is quarantined after two crashes, also at the other daemon, and concurrent requests are served",
		func(marker string) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				var others []*response
				var wg sync.WaitGroup
				wg.Go(func() {
					others = c.generateMany(ctx, 40, 200*time.Millisecond, mangomodel.RankBasic, 60)
				})
				time.Sleep(time.Second)
				poison := marker + " audit of hat 7"
				first := c.nodes[0].generate(ctx, mangomodel.RankBasic, poison, 50)
				g.Expect(first.err).To(gomega.HaveOccurred())
				time.Sleep(convergenceTime)
				resent := c.nodes[1].generate(ctx, mangomodel.RankBasic, poison, 50)
				g.Expect(mangomodel.HasCode(resent.err, mangomodel.CodeQuarantined)).To(gomega.BeTrue(), "%v", resent.err)
				wg.Wait()
				g.Expect(c.crashes()).To(gomega.Equal(2))
				for _, r := range others {
					g.Expect(r.err).NotTo(gomega.HaveOccurred())
					g.Expect(r.complete()).To(gomega.BeTrue())
				}
			})()
		},
		ginkgo.Entry("in its decode", mangoengine.PoisonDecode),
		ginkgo.Entry("in its prefill", mangoengine.PoisonPrefill),
	)

	ginkgo.It("is not suspected when its stream only stalled", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		go func() {
			for range 8 {
				time.Sleep(500 * time.Millisecond)
				_ = c.engines["east-a-d0"].StallStreams(ctx)
				_ = c.engines["east-a-d1"].StallStreams(ctx)
			}
		}()
		for _, r := range c.generateMany(ctx, 20, 200*time.Millisecond, mangomodel.RankBasic, 60) {
			g.Expect(r.complete()).To(gomega.BeTrue())
		}
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Suspicions).To(gomega.BeEmpty())
		}
	}))

	ginkgo.It("is served when its server only became unreachable, and no grant is left", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		go func() {
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				c.net.setCut(n.endpoint, "east-a-d0", true)
			}
			_ = c.engines["east-a-d0"].StallStreams(ctx)
		}()
		for i, r := range c.generateMany(ctx, 20, 100*time.Millisecond, mangomodel.RankBasic, 100) {
			g.Expect(r.err).NotTo(gomega.HaveOccurred(), "request %d", i)
			g.Expect(r.complete()).To(gomega.BeTrue())
			g.Expect(r.elapsed).To(gomega.BeNumerically("<", maxWait))
		}
		time.Sleep(2 * convergenceTime)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Holdings.Len()).To(gomega.BeZero(), "%s", n.endpoint)
			g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero(), "%s", n.endpoint)
		}
	}))
})
