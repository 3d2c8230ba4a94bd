package mangoproof_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangoengine"
)

// announceLeaving publishes the host document with the state leaving.
func (c *cluster) announceLeaving(id mangomodel.HostID) {
	catalog := c.nodes[0].control.Snapshot().Catalog
	for _, h := range catalog.Documents().Hosts {
		if h.Value.ID == id {
			h.Value.State = mangomodel.ServerLeaving
			c.publish(mangoconfig.Change{Expect: h.Revision, Host: &h.Value})
		}
	}
}

// newWork returns the sequences that run on an engine and are not in before.
func newWork(e *mangoengine.Engine, before map[mangomodel.Sequence]bool) []mangomodel.Sequence {
	var added []mangomodel.Sequence
	for _, seq := range e.View().Load.Running {
		if !before[seq] {
			added = append(added, seq)
		}
	}
	return added
}

func runningSet(e *mangoengine.Engine) map[mangomodel.Sequence]bool {
	set := make(map[mangomodel.Sequence]bool)
	for _, seq := range e.View().Load.Running {
		set[seq] = true
	}
	return set
}

var _ = ginkgo.Describe("a leaving backend server", func() {
	ginkgo.DescribeTable("gets no new work after a few seconds and finishes its running requests",
		func(leave func(ctx context.Context, c *cluster)) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				var responses []*response
				var wg sync.WaitGroup
				wg.Go(func() { responses = c.generateMany(ctx, 200, 200*time.Millisecond, mangomodel.RankBasic, 100) })
				time.Sleep(5 * time.Second)
				d0 := c.engines["east-a-d0"]
				g.Expect(runningSet(d0)).NotTo(gomega.BeEmpty(), "the server has work before it leaves")
				leave(ctx, c)
				time.Sleep(3 * time.Second)
				before := runningSet(d0)
				for range 20 {
					time.Sleep(time.Second)
					g.Expect(newWork(d0, before)).To(gomega.BeEmpty())
				}
				wg.Wait()
				for _, r := range responses {
					g.Expect(r.err).NotTo(gomega.HaveOccurred())
					g.Expect(r.complete()).To(gomega.BeTrue())
				}
			})()
		},
		ginkgo.Entry("announced by an operator", func(_ context.Context, c *cluster) { c.announceLeaving("east-a-d0") }),
		ginkgo.Entry("shown by the host list", func(ctx context.Context, c *cluster) {
			_ = c.store.SetHosts(ctx, []mangowire.HostEntry{{Host: "east-a-d0", State: mangomodel.ServerLeaving}})
		}),
		ginkgo.Entry("reported by itself", func(ctx context.Context, c *cluster) {
			_ = c.engines["east-a-d0"].Inject(ctx, mangoengine.Faults{Draining: true})
		}),
		ginkgo.Entry("announced while one daemon is cut off from the platform", func(_ context.Context, c *cluster) {
			c.net.setCut(c.nodes[0].endpoint, platformEndpoint, true)
			c.announceLeaving("east-a-d0")
		}),
	)
})

var _ = ginkgo.Describe("a planned stop", func() {
	ginkgo.DescribeTable("cuts off no request and hands the shards over",
		func(victim int) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, oneDataCentre)
				var responses []*response
				var wg sync.WaitGroup
				wg.Go(func() { responses = c.generateMany(ctx, 20, 100*time.Millisecond, mangomodel.RankBasic, 300) })
				time.Sleep(3 * time.Second)
				stopping, staying := c.nodes[victim], c.nodes[1-victim]
				g.Expect(stopping.control.Do(ctx, mangocommand.Stop{})).To(gomega.Succeed())
				time.Sleep(2 * time.Second)
				g.Expect(staying.control.Snapshot().OwnShards()).To(gomega.HaveLen(1))
				g.Expect(stopping.control.Snapshot().OwnShards()).To(gomega.BeEmpty())
				urgent := staying.generate(ctx, mangomodel.RankUrgent, "while the other stops", 10)
				g.Expect(urgent.complete()).To(gomega.BeTrue())
				wg.Wait()
				for _, r := range responses {
					g.Expect(r.err).NotTo(gomega.HaveOccurred())
					g.Expect(r.complete()).To(gomega.BeTrue())
				}
				g.Expect(stopping.control.Snapshot().Holdings.Len()).To(gomega.BeZero())
			})()
		},
		ginkgo.Entry("first daemon", 0),
		ginkgo.Entry("second daemon", 1),
	)
})
