package mangoproof_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/mangostand/mangoengine"
)

// twoBuilds are the builds of three decode servers.
var twoBuilds = map[mangomodel.ServerID]mangomodel.Build{"east-a-d0": "v1", "east-a-d1": "v2", "east-a-d2": "v1"}

// ofOneBuild reports whether the received text is a prefix of what one build generates.
func (r *response) ofOneBuild() bool {
	for _, build := range []string{"v1", "v2"} {
		if !r.outOfOrder && strings.HasPrefix(mangoengine.ExpectedOutput(build+r.prompt, r.want), r.text.String()) {
			return true
		}
	}
	return false
}

// sent returns how many responses are complete and how many could not be resumed. All of
// them must be of one build.
func sent(g *gomega.WithT, responses []*response) (complete, ended int) {
	for _, r := range responses {
		g.Expect(r.ofOneBuild()).To(gomega.BeTrue(), "%q", r.text.String())
		if r.err == nil && r.nextOffset == r.want {
			complete++
			continue
		}
		f := mangomodel.AsFault(r.err, mangomodel.StepRespond)
		g.Expect(f.Code).To(gomega.Equal(mangomodel.CodeCannotResume), "%v", r.err)
		g.Expect(f.Run).To(gomega.Equal(mangomodel.RunUnknown))
		ended++
	}
	return complete, ended
}

var _ = ginkgo.Describe("engines of several builds", func() {
	ginkgo.DescribeTable("continue responses at the build that began them",
		func(opts ...clusterOption) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, []dataCentre{{"east-a", "lakes-east", 2, 3, 3}}, append(opts, withBuilds(twoBuilds))...)
				go func() {
					time.Sleep(1500 * time.Millisecond)
					_ = c.engines["east-a-d0"].Crash(ctx)
					time.Sleep(3 * time.Second)
					_ = c.engines["east-a-d1"].Crash(ctx)
				}()
				complete, ended := sent(g, c.generateMany(ctx, 40, 150*time.Millisecond, mangomodel.RankBasic, 100))
				g.Expect(complete).To(gomega.Equal(40))
				g.Expect(ended).To(gomega.BeZero())
			})()
		},
		ginkgo.Entry("in one shard"),
		ginkgo.Entry("in a shard each", withShardServers(1)),
	)

	ginkgo.DescribeTable("end responses at once whose build is gone",
		func(opts ...clusterOption) {
			bubble(func(ctx context.Context, g *gomega.WithT) {
				c := newCluster(ctx, g, []dataCentre{{"east-a", "lakes-east", 2, 3, 3}}, append(opts, withBuilds(twoBuilds))...)
				var responses []*response
				var wg sync.WaitGroup
				wg.Go(func() { responses = c.generateMany(ctx, 12, 50*time.Millisecond, mangomodel.RankBasic, 400) })
				time.Sleep(3 * time.Second)
				d1 := c.engines["east-a-d1"]
				g.Expect(runningSet(d1)).NotTo(gomega.BeEmpty(), "the server has work before it leaves")
				g.Expect(d1.Inject(ctx, mangoengine.Faults{Draining: true})).To(gomega.Succeed())
				time.Sleep(time.Second)
				before := len(runningSet(d1))
				crashed := time.Now()
				g.Expect(d1.Crash(ctx)).To(gomega.Succeed())
				wg.Wait()
				complete, ended := sent(g, responses)
				g.Expect(ended).To(gomega.Equal(before))
				g.Expect(complete).To(gomega.Equal(12 - before))
				for _, r := range responses {
					if r.err != nil {
						g.Expect(r.endedAt.Sub(crashed)).To(gomega.BeNumerically("<", 500*time.Millisecond))
					}
				}
			})()
		},
		ginkgo.Entry("in one shard"),
		ginkgo.Entry("in a shard each", withShardServers(1)),
	)
})
