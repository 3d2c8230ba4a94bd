package mangoproof_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorevision"
	"mangolane/mangostand/mangostore"
)

// inForce is within how long an accepted change must be in force everywhere.
const inForce = 8 * time.Second

// propose publishes a new version of the pool document from a daemon, as its
// admin interface does.
func (n *node) propose(ctx context.Context, id string, expect mangomodel.Revision, floor mangomodel.Share) (mangomodel.Revision, error) {
	pool := n.c.pool
	pool.BasicFloor = floor
	p := mangorevision.NewPublisher(nodeTable{n}, nodeObjects{n}, mangorevision.WithSnapshotEvery(4))
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	return p.Publish(ctx, n.control.Snapshot().Catalog, mangoconfig.Change{
		ID: mangomodel.ChangeID(id), Expect: expect, Pool: &pool,
	})
}

// poolRevision is the revision of the pool's document at a daemon.
func (n *node) poolRevision() mangomodel.Revision {
	return n.control.Snapshot().Catalog.Documents().Pools[0].Revision
}

// watch checks until ctx ends that no daemon's configuration ever reverts.
func (c *cluster) watch(ctx context.Context) <-chan error {
	failed := make(chan error, 1)
	go func() {
		defer close(failed)
		seen := make(map[*node]mangomodel.Revision)
		for ctx.Err() == nil {
			for _, n := range c.nodes {
				rev := n.control.Snapshot().Catalog.Revision()
				if rev < seen[n] {
					failed <- fmt.Errorf("%s went from revision %d to %d", n.place, seen[n], rev)
					return
				}
				seen[n] = rev
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return failed
}

var _ = ginkgo.Describe("an accepted configuration", func() {
	ginkgo.It("is in force at every daemon within seconds and never reverts", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeZones)
		watching, stop := context.WithCancel(ctx)
		reverted := c.watch(watching)
		for i := range 10 {
			n := c.nodes[i%len(c.nodes)]
			rev, err := n.propose(ctx, fmt.Sprint("change ", i), n.poolRevision(), mangomodel.Share(i+1)/100)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(inForce)
			for _, n := range c.nodes {
				g.Expect(n.control.Snapshot().Catalog.Revision()).To(gomega.BeNumerically(">=", rev), "%s", n.place)
			}
		}
		stop()
		g.Expect(<-reverted).To(gomega.Succeed())
	}))

	ginkgo.It("reaches a daemon that is cut off from the platform but not from its peers", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeZones)
		for _, n := range c.nodes[1:] {
			c.net.set(n.place, platformPlace, true)
		}
		rev, err := c.nodes[0].propose(ctx, "x", c.nodes[0].poolRevision(), 0.3)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(inForce)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Catalog.Revision()).To(gomega.Equal(rev), "%s", n.place)
		}
	}))

	ginkgo.It("survives the replacement of every daemon during an outage of the platform", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		rev := c.nodes[0].control.Snapshot().Catalog.Revision()
		g.Expect(c.store.Inject(ctx, mangostore.Faults{Outage: true})).To(gomega.Succeed())
		for i := range 2 {
			c.nodes[i].crash()
			time.Sleep(settle)
			replaced := c.start(oneZone[0], i)
			time.Sleep(2 * settle)
			g.Expect(replaced.control.Snapshot().Catalog.Revision()).To(gomega.Equal(rev))
		}
	}))

	ginkgo.It("is chosen by exactly one of several operators who race", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeZones)
		for round := range 5 {
			if round == 2 {
				g.Expect(c.store.Inject(ctx, mangostore.Faults{LoseAnswers: true})).To(gomega.Succeed())
			}
			expect := c.nodes[0].poolRevision()
			won := c.raceOperators(ctx, round, expect)
			g.Expect(won).To(gomega.HaveLen(1))
			time.Sleep(inForce)
			for _, n := range c.nodes {
				g.Expect(n.control.Snapshot().Catalog.Pool(model).BasicFloor).To(gomega.Equal(won[0]), "%s", n.place)
			}
		}
	}))

	ginkgo.It("is known under the same id when the proposal is repeated", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		expect := c.nodes[0].poolRevision()
		first, err := c.nodes[0].propose(ctx, "same", expect, 0.25)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := c.nodes[1].propose(ctx, "same", expect, 0.25)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again).To(gomega.Equal(first))
	}))

	ginkgo.It("is refused as not run while the platform is out", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		g.Expect(c.store.Inject(ctx, mangostore.Faults{Outage: true})).To(gomega.Succeed())
		before := c.nodes[0].poolRevision()
		_, err := c.nodes[0].propose(ctx, "x", before, 0.25)
		g.Expect(mangomodel.AsFault(err, mangomodel.StepConfigure).Run).To(gomega.Equal(mangomodel.RunNot))
		g.Expect(c.store.Inject(ctx, mangostore.Faults{})).To(gomega.Succeed())
		time.Sleep(inForce)
		g.Expect(c.nodes[0].poolRevision()).To(gomega.Equal(before))
	}))
})

// raceOperators proposes a different floor from each daemon at once and
// returns the floors that were accepted.
func (c *cluster) raceOperators(ctx context.Context, round int, expect mangomodel.Revision) []mangomodel.Share {
	var mu sync.Mutex
	var won []mangomodel.Share
	var running sync.WaitGroup
	for i, n := range c.nodes {
		running.Go(func() {
			floor := mangomodel.Share(round*len(c.nodes)+i+1) / 100
			if _, err := n.propose(ctx, fmt.Sprintf("round %d daemon %d", round, i), expect, floor); err == nil {
				mu.Lock()
				defer mu.Unlock()
				won = append(won, floor)
			}
		})
	}
	running.Wait()
	return won
}

// TestPublishersAgree checks, for scripts of failing exchanges, that what
// racing publishers are told is what the sequence of changes holds.
func TestPublishersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 24).Draw(rt, "script")
		writers := rapid.IntRange(1, 4).Draw(rt, "writers")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := mangostore.New(mangostore.WithLatency(time.Millisecond))
			go store.Run(ctx)
			defer func() {
				cancel()
				time.Sleep(longestCleanup)
			}()
			told := publishAll(ctx, store, script, writers)
			time.Sleep(time.Minute)
			checkPublished(ctx, rt, store, told)
		})
	})
}

// publishAll has several publishers create the same pool and returns what each
// was told.
func publishAll(ctx context.Context, store *mangostore.Store, script []int, writers int) []error {
	next := stepsOf(script)
	told := make([]error, writers)
	var running sync.WaitGroup
	for i := range writers {
		running.Go(func() {
			publishCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			pool := mangoconfig.DefaultPool("m")
			p := mangorevision.NewPublisher(flakyTable{store, next}, objects{store})
			_, told[i] = p.Publish(publishCtx, &mangoconfig.Catalog{}, mangoconfig.Change{ID: mangomodel.ChangeID(fmt.Sprint(i)), Pool: &pool})
		})
	}
	running.Wait()
	return told
}

// checkPublished compares what publishers were told with the changes.
func checkPublished(ctx context.Context, rt *rapid.T, store *mangostore.Store, told []error) {
	changes, err := mangorevision.NewReader(store, objects{store}).After(ctx, 0)
	if err != nil {
		rt.Fatal(err)
	}
	accepted := make(map[mangomodel.ChangeID]int)
	for _, c := range changes {
		accepted[c.Change.ID]++
	}
	if len(changes) > 1 {
		rt.Fatalf("%d changes created one document", len(changes))
	}
	for i, err := range told {
		n := accepted[mangomodel.ChangeID(fmt.Sprint(i))]
		if err == nil && n != 1 {
			rt.Fatalf("publisher %d was told that its change is accepted, which it is %d times", i, n)
		}
		if err != nil && mangomodel.AsFault(err, mangomodel.StepConfigure).Run == mangomodel.RunNot && n != 0 {
			rt.Fatalf("publisher %d was told that its change is not accepted, which it is", i)
		}
	}
}
