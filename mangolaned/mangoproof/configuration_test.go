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

// activationTime is the time within which an accepted change must be active at
// every daemon.
const activationTime = 8 * time.Second

// propose publishes a new version of the pool document from a daemon, as the
// admin interface does. It times out after 10 s.
func (n *node) propose(ctx context.Context, id string, expect mangomodel.Revision, floor mangomodel.Share) (mangomodel.Revision, error) {
	pool := n.c.pool
	pool.BasicFloor = floor
	p := mangorevision.NewPublisher(nodeTable{n}, nodeObjects{n}, mangorevision.WithSnapshotInterval(4))
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	return p.Publish(ctx, n.control.Snapshot().Catalog, mangoconfig.Change{
		ID: mangomodel.ChangeID(id), Expect: expect, Pool: &pool,
	})
}

// poolRevision returns the revision of the pool document at a daemon.
func (n *node) poolRevision() mangomodel.Revision {
	return n.control.Snapshot().Catalog.Documents().Pools[0].Revision
}

// watchRevisions checks until ctx is done that the configuration of no daemon
// returns to an earlier revision. The channel delivers the first violation and
// is then closed.
func (c *cluster) watchRevisions(ctx context.Context) <-chan error {
	failed := make(chan error, 1)
	go func() {
		defer close(failed)
		seen := make(map[*node]mangomodel.Revision)
		for ctx.Err() == nil {
			for _, n := range c.nodes {
				rev := n.control.Snapshot().Catalog.Revision()
				if rev < seen[n] {
					failed <- fmt.Errorf("%s reverted from revision %d to %d", n.endpoint, seen[n], rev)
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
	ginkgo.It("is active at every daemon within seconds and never reverts", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeDataCentres)
		watching, stop := context.WithCancel(ctx)
		reverted := c.watchRevisions(watching)
		for i := range 10 {
			n := c.nodes[i%len(c.nodes)]
			rev, err := n.propose(ctx, fmt.Sprint("change ", i), n.poolRevision(), mangomodel.Share(i+1)/100)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(activationTime)
			for _, n := range c.nodes {
				g.Expect(n.control.Snapshot().Catalog.Revision()).To(gomega.BeNumerically(">=", rev), "%s", n.endpoint)
			}
		}
		stop()
		g.Expect(<-reverted).To(gomega.Succeed())
	}))

	ginkgo.It("reaches a daemon that is cut off from the platform but not from its peers", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeDataCentres)
		for _, n := range c.nodes[1:] {
			c.net.setCut(n.endpoint, platformEndpoint, true)
		}
		rev, err := c.nodes[0].propose(ctx, "x", c.nodes[0].poolRevision(), 0.3)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(activationTime)
		for _, n := range c.nodes {
			g.Expect(n.control.Snapshot().Catalog.Revision()).To(gomega.Equal(rev), "%s", n.endpoint)
		}
	}))

	ginkgo.It("survives the replacement of every daemon during an outage of the platform", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		rev := c.nodes[0].control.Snapshot().Catalog.Revision()
		g.Expect(c.store.Inject(ctx, mangostore.Faults{Outage: true})).To(gomega.Succeed())
		for i := range 2 {
			c.nodes[i].crash()
			time.Sleep(convergenceTime)
			replaced := c.start(oneDataCentre[0], i)
			time.Sleep(2 * convergenceTime)
			g.Expect(replaced.control.Snapshot().Catalog.Revision()).To(gomega.Equal(rev))
		}
	}))

	ginkgo.It("is accepted from exactly one of several concurrent operators", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeDataCentres)
		for round := range 5 {
			if round == 2 {
				g.Expect(c.store.Inject(ctx, mangostore.Faults{LoseAnswers: true})).To(gomega.Succeed())
			}
			expect := c.nodes[0].poolRevision()
			accepted := c.proposeConcurrently(ctx, round, expect)
			g.Expect(accepted).To(gomega.HaveLen(1))
			time.Sleep(activationTime)
			for _, n := range c.nodes {
				g.Expect(n.control.Snapshot().Catalog.Pool(model).BasicFloor).To(gomega.Equal(accepted[0]), "%s", n.endpoint)
			}
		}
	}))

	ginkgo.It("keeps its revision when the proposal is retried under the same id", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		expect := c.nodes[0].poolRevision()
		first, err := c.nodes[0].propose(ctx, "same", expect, 0.25)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := c.nodes[1].propose(ctx, "same", expect, 0.25)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again).To(gomega.Equal(first))
	}))

	ginkgo.It("is refused as not run while the platform is unavailable", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		g.Expect(c.store.Inject(ctx, mangostore.Faults{Outage: true})).To(gomega.Succeed())
		before := c.nodes[0].poolRevision()
		_, err := c.nodes[0].propose(ctx, "x", before, 0.25)
		g.Expect(mangomodel.AsFault(err, mangomodel.StepConfigure).Run).To(gomega.Equal(mangomodel.RunNot))
		g.Expect(c.store.Inject(ctx, mangostore.Faults{})).To(gomega.Succeed())
		time.Sleep(activationTime)
		g.Expect(c.nodes[0].poolRevision()).To(gomega.Equal(before))
	}))
})

// proposeConcurrently proposes a different floor from each daemon at once and
// returns the accepted floors.
func (c *cluster) proposeConcurrently(ctx context.Context, round int, expect mangomodel.Revision) []mangomodel.Share {
	var mu sync.Mutex
	var accepted []mangomodel.Share
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		wg.Go(func() {
			floor := mangomodel.Share(round*len(c.nodes)+i+1) / 100
			if _, err := n.propose(ctx, fmt.Sprintf("round %d daemon %d", round, i), expect, floor); err == nil {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, floor)
			}
		})
	}
	wg.Wait()
	return accepted
}

// TestPublishResultsMatchChanges checks that the results reported to concurrent
// publishers match the stored sequence of changes, although requests to the
// table fail, lose their responses or take effect late. A publisher that
// misreads such a failure would report a change as accepted that is not stored,
// or as not accepted although it is.
func TestPublishResultsMatchChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 24).Draw(rt, "script")
		writers := rapid.IntRange(1, 4).Draw(rt, "writers")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := mangostore.New(mangostore.WithLatency(time.Millisecond))
			go store.Run(ctx)
			defer func() {
				cancel()
				time.Sleep(cleanupTime)
			}()
			errs := publishAll(ctx, store, script, writers)
			time.Sleep(time.Minute)
			checkPublished(ctx, rt, store, errs)
		})
	})
}

// publishAll creates the same pool from several publishers at once and returns
// the result of each.
func publishAll(ctx context.Context, store *mangostore.Store, script []int, writers int) []error {
	next := stepsOf(script)
	errs := make([]error, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			publishCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			pool := mangoconfig.DefaultPool("m")
			p := mangorevision.NewPublisher(scriptedTable{store, next}, objects{store})
			_, errs[i] = p.Publish(publishCtx, &mangoconfig.Catalog{}, mangoconfig.Change{ID: mangomodel.ChangeID(fmt.Sprint(i)), Pool: &pool})
		})
	}
	wg.Wait()
	return errs
}

// checkPublished compares the results of the publishers with the stored changes.
func checkPublished(ctx context.Context, rt *rapid.T, store *mangostore.Store, errs []error) {
	changes, err := mangorevision.NewReader(store, objects{store}).After(ctx, 0)
	if err != nil {
		rt.Fatal(err)
	}
	accepted := make(map[mangomodel.ChangeID]int)
	for _, c := range changes {
		accepted[c.Change.ID]++
	}
	if len(changes) > 1 {
		rt.Fatalf("%d changes created the same document, want at most 1", len(changes))
	}
	for i, err := range errs {
		n := accepted[mangomodel.ChangeID(fmt.Sprint(i))]
		if err == nil && n != 1 {
			rt.Fatalf("publisher %d reported its change as accepted; it is stored %d times, want 1", i, n)
		}
		if err != nil && mangomodel.AsFault(err, mangomodel.StepConfigure).Run == mangomodel.RunNot && n != 0 {
			rt.Fatalf("publisher %d reported its change as not accepted, but it is stored", i)
		}
	}
}
