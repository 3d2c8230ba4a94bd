package mangoproof_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/mangostand/mangoengine"
)

// notForever bounds how long a caller waits for an answer that one fault
// interrupts.
const notForever = 30 * time.Second

var _ = ginkgo.Describe("answers", func() {
	ginkgo.It("are whole and on time without faults", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		for _, a := range c.generateMany(ctx, 40, 100*time.Millisecond, mangomodel.RankUrgent, 50) {
			g.Expect(a.err).NotTo(gomega.HaveOccurred())
			g.Expect(a.whole()).To(gomega.BeTrue())
		}
		for _, n := range c.nodes {
			for _, r := range n.observer.results {
				g.Expect(r.OnTime()).To(gomega.BeTrue(), "TTFT %v, TPOT %v", r.TTFT, r.TPOT)
			}
		}
		time.Sleep(settle)
		g.Expect(c.held()).To(gomega.BeEmpty())
	}))

	ginkgo.DescribeTable("are whole and come once under a fault",
		func(fault func(ctx context.Context, c *cluster)) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneZone)
				go fault(ctx, c)
				for _, a := range c.generateMany(ctx, 40, 100*time.Millisecond, mangomodel.RankBasic, 100) {
					g.Expect(a.err).NotTo(gomega.HaveOccurred())
					g.Expect(a.whole()).To(gomega.BeTrue())
					g.Expect(a.took).To(gomega.BeNumerically("<", notForever))
				}
				time.Sleep(2 * settle)
				g.Expect(c.held()).To(gomega.BeEmpty())
			})()
		},
		ginkgo.Entry("streams go silent", func(ctx context.Context, c *cluster) {
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

	ginkgo.It("leave no engine memory held when callers go away", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		callers, leave := context.WithTimeout(ctx, 2*time.Second)
		defer leave()
		for _, a := range c.generateMany(callers, 30, 100*time.Millisecond, mangomodel.RankBasic, 500) {
			g.Expect(a.err).To(gomega.HaveOccurred())
			g.Expect(a.partial()).To(gomega.BeTrue())
		}
		time.Sleep(settle)
		g.Expect(c.held()).To(gomega.BeEmpty())
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Grants.Len()).To(gomega.BeZero())
			g.Expect(n.control.Snapshot().Holdings.Len()).To(gomega.BeZero())
		}
	}))

	ginkgo.DescribeTable("leave no engine memory held when a daemon dies",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneZone)
				go c.generateMany(ctx, 20, 50*time.Millisecond, mangomodel.RankBasic, 2000)
				time.Sleep(3 * time.Second)
				g.Expect(c.held()).To(gomega.HaveLen(20))
				c.nodes[victim].crash()
				time.Sleep(20 * time.Second)
				g.Expect(c.held()).To(gomega.HaveLen(10), "the other daemon's requests go on")
				for _, seq := range c.held() {
					g.Expect(seq.Holder).To(gomega.Equal(c.nodes[1-victim].self.Holder()))
				}
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})
