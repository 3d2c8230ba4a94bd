package mangoproof_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/mangostand/mangoengine"
)

// maxWait bounds how long a caller waits for a response that one fault
// interrupts.
const maxWait = 30 * time.Second

var _ = ginkgo.Describe("responses", func() {
	ginkgo.It("are complete and on time without faults", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		for _, r := range c.generateMany(ctx, 40, 100*time.Millisecond, mangomodel.RankUrgent, 50) {
			g.Expect(r.err).NotTo(gomega.HaveOccurred())
			g.Expect(r.complete()).To(gomega.BeTrue())
		}
		for _, n := range c.nodes {
			for _, r := range n.observer.results {
				g.Expect(r.OnTime()).To(gomega.BeTrue(), "TTFT %v, TPOT %v", r.TTFT, r.TPOT)
			}
		}
		time.Sleep(convergenceTime)
		g.Expect(c.runningSequences()).To(gomega.BeEmpty())
	}))

	ginkgo.DescribeTable("are complete and delivered once under a fault",
		func(fault func(ctx context.Context, c *cluster)) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				go fault(ctx, c)
				for _, r := range c.generateMany(ctx, 40, 100*time.Millisecond, mangomodel.RankBasic, 100) {
					g.Expect(r.err).NotTo(gomega.HaveOccurred())
					g.Expect(r.complete()).To(gomega.BeTrue())
					g.Expect(r.elapsed).To(gomega.BeNumerically("<", maxWait))
				}
				time.Sleep(2 * convergenceTime)
				g.Expect(c.runningSequences()).To(gomega.BeEmpty())
			})()
		},
		ginkgo.Entry("streams stall", func(ctx context.Context, c *cluster) {
			for range 5 {
				time.Sleep(700 * time.Millisecond)
				_ = c.engines["east-a-d0"].StallStreams(ctx)
			}
		}),
		ginkgo.Entry("chunks of other requests arrive", func(ctx context.Context, c *cluster) {
			_ = c.engines["east-a-d0"].Inject(ctx, mangoengine.Faults{CrossChunks: true})
		}),
		ginkgo.Entry("chunks arrive twice", func(ctx context.Context, c *cluster) {
			_ = c.engines["east-a-d1"].Inject(ctx, mangoengine.Faults{RepeatChunks: true})
		}),
		ginkgo.Entry("transfers stall for a while", func(ctx context.Context, c *cluster) {
			_ = c.engines["east-a-p0"].Inject(ctx, mangoengine.Faults{StallTransfers: true})
			time.Sleep(1500 * time.Millisecond)
			_ = c.engines["east-a-p0"].Inject(ctx, mangoengine.Faults{})
		}),
		ginkgo.Entry("a decode server crashes", func(ctx context.Context, c *cluster) {
			time.Sleep(2 * time.Second)
			_ = c.engines["east-a-d0"].Crash(ctx)
		}),
	)

	ginkgo.It("leave no engine memory held when callers cancel", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		callersCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		for _, r := range c.generateMany(callersCtx, 30, 100*time.Millisecond, mangomodel.RankBasic, 500) {
			g.Expect(r.err).To(gomega.HaveOccurred())
			g.Expect(r.isPrefix()).To(gomega.BeTrue())
		}
		time.Sleep(convergenceTime)
		g.Expect(c.runningSequences()).To(gomega.BeEmpty())
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero())
			g.Expect(n.control.Snapshot().Holdings.Len()).To(gomega.BeZero())
		}
	}))

	ginkgo.DescribeTable("leave no engine memory held when a daemon crashes",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				go c.generateMany(ctx, 20, 50*time.Millisecond, mangomodel.RankBasic, 2000)
				time.Sleep(3 * time.Second)
				g.Expect(c.runningSequences()).To(gomega.HaveLen(20))
				c.nodes[victim].crash()
				time.Sleep(20 * time.Second)
				g.Expect(c.runningSequences()).To(gomega.HaveLen(10), "the requests of the other daemon continue")
				for _, seq := range c.runningSequences() {
					g.Expect(seq.Holder).To(gomega.Equal(c.nodes[1-victim].self.Holder()))
				}
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})
