package mangoproof_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/mangostand/mangoservice"
	"mangolane/mangostand/mangostore"
)

// naiveCall is the naive version of an application call: it sends the call to
// one server after the other until one answers.
func (n *node) naiveCall(ctx context.Context, body string) error {
	var err error
	for range 3 {
		_, err = nodeServices{n}.Send(ctx, mangoconfig.Host{ID: "east-a-s0"}, mangoentry.OutgoingCall{Path: "/dispense", Body: []byte(body)})
		if err == nil {
			return nil
		}
	}
	return mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunNot, err)
}

// claims are what callers were told of one operation.
type claims struct {
	mu sync.Mutex
	// done and notRun count answers and refusals that say "not run".
	done, notRun, other int
}

func (c *claims) add(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.done++
	case mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot:
		c.notRun++
	default:
		c.other++
	}
}

// entryFaults are the faults that entries are tried under.
var entryFaults = []struct {
	name   string
	inject func(ctx context.Context, c *cluster)
}{
	{"no fault", func(context.Context, *cluster) {}},
	{"the table service loses answers", func(ctx context.Context, c *cluster) {
		_ = c.store.Inject(ctx, mangostore.Faults{LoseAnswers: true})
		time.Sleep(2 * time.Second)
		_ = c.store.Inject(ctx, mangostore.Faults{})
	}},
	{"the table service is out", func(ctx context.Context, c *cluster) {
		_ = c.store.Inject(ctx, mangostore.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		_ = c.store.Inject(ctx, mangostore.Faults{})
	}},
	{"the table service is slow", func(ctx context.Context, c *cluster) {
		_ = c.store.Inject(ctx, mangostore.Faults{Delay: duration(2500 * time.Millisecond)})
		time.Sleep(10 * time.Second)
		_ = c.store.Inject(ctx, mangostore.Faults{})
	}},
	{"the service loses answers", func(ctx context.Context, c *cluster) {
		_ = c.recorder.Inject(ctx, mangoservice.Faults{LoseAnswers: true})
		time.Sleep(time.Second)
		_ = c.recorder.Inject(ctx, mangoservice.Faults{})
	}},
	{"the service refuses connections", func(ctx context.Context, c *cluster) {
		_ = c.recorder.Inject(ctx, mangoservice.Faults{Down: true})
		time.Sleep(time.Second)
		_ = c.recorder.Inject(ctx, mangoservice.Faults{})
	}},
	{"the service is slower than the call's timeout", func(ctx context.Context, c *cluster) {
		_ = c.recorder.Inject(ctx, mangoservice.Faults{Delay: duration(12 * time.Second)})
		time.Sleep(15 * time.Second)
		_ = c.recorder.Inject(ctx, mangoservice.Faults{})
	}},
	{"a daemon is cut off from the platform", func(_ context.Context, c *cluster) {
		c.net.set(c.nodes[0].place, platformPlace, true)
		time.Sleep(10 * time.Second)
		c.net.set(c.nodes[0].place, platformPlace, false)
	}},
	{"a daemon dies", func(_ context.Context, c *cluster) {
		time.Sleep(300 * time.Millisecond)
		c.nodes[0].crash()
	}},
}

// resend sends an operation to both daemons, up to 12 times, as a caller does
// who does not get its answer.
func (c *cluster) resend(ctx context.Context, op int, told *claims, call func(n *node) error) {
	rng := rand.New(rand.NewPCG(uint64(op), 1))
	for i := range 12 {
		err := call(c.nodes[(op+i)%len(c.nodes)])
		told.add(err)
		if err == nil || mangomodel.HasCode(err, mangomodel.CodeUnknownOutcome) {
			return
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
}

// runEntries has many callers send operations, each from two places at once,
// and returns what they were told, by operation.
func (c *cluster) runEntries(ctx context.Context, ops int, call func(n *node, op string) error) []*claims {
	all := make([]*claims, ops)
	var running sync.WaitGroup
	for i := range ops {
		all[i] = &claims{}
		for copy := range 2 {
			running.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				c.resend(ctx, i+copy, all[i], func(n *node) error { return call(n, fmt.Sprint("pump ", i)) })
			})
		}
	}
	running.Wait()
	return all
}

func (c *cluster) runsOf(i int) int {
	return c.recorder.Counts().Runs(mangoservice.Operation(fmt.Sprint("/dispense pump ", i)))
}

var _ = ginkgo.Describe("a non-idempotent call", func() {
	for _, fault := range entryFaults {
		ginkgo.It("runs at most once, and \"not run\" is true, when "+fault.name, bubble(func(ctx context.Context, g *gomega.WithT) {
			c := newCluster(ctx, g, oneZone)
			go fault.inject(ctx, c)
			all := c.runEntries(ctx, 30, func(n *node, op string) error {
				_, err := n.call(ctx, "dispense", mangomodel.IdempotencyKey("key "+op), op)
				return err
			})
			time.Sleep(time.Minute)
			for i, told := range all {
				g.Expect(c.runsOf(i)).To(gomega.BeNumerically("<=", 1), "operation %d", i)
				if told.done > 0 {
					g.Expect(c.runsOf(i)).To(gomega.Equal(1), "operation %d was reported as done", i)
				}
				if told.done == 0 && told.other == 0 {
					g.Expect(c.runsOf(i)).To(gomega.BeZero(), "operation %d was reported as not run only", i)
				}
			}
		}))
	}

	ginkgo.It("runs twice in the naive version", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		go entryFaults[4].inject(ctx, c)
		c.runEntries(ctx, 30, func(n *node, op string) error { return n.naiveCall(ctx, op) })
		twice := 0
		for i := range 30 {
			if c.runsOf(i) > 1 {
				twice++
			}
		}
		g.Expect(twice).To(gomega.BeNumerically(">", 0), "the check must be able to fail")
	}))

	ginkgo.It("is answered to resends from its stored outcome", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		first, err := c.nodes[0].call(ctx, "dispense", "k", "pump 1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := c.nodes[1].call(ctx, "dispense", "k", "pump 1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.Body).To(gomega.Equal(first.Body))
		_, err = c.nodes[1].call(ctx, "dispense", "k", "pump 2")
		g.Expect(mangomodel.HasCode(err, mangomodel.CodeConflict)).To(gomega.BeTrue())
		_, err = c.nodes[1].call(ctx, "dispense", "", "pump 2")
		g.Expect(mangomodel.HasCode(err, mangomodel.CodeInvalid)).To(gomega.BeTrue())
	}))

	ginkgo.It("takes no more of the table service than the budget, and is refused as not run beyond it", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeZones)
		before := c.store.View().Writes
		const seconds = 10
		var told claims
		var running sync.WaitGroup
		for i := range 600 * seconds {
			running.Go(func() {
				op := fmt.Sprint("pump ", i)
				_, err := c.nodes[i%len(c.nodes)].call(ctx, "dispense", mangomodel.IdempotencyKey(op), op)
				told.add(err)
			})
			time.Sleep(time.Second / 600)
		}
		running.Wait()
		time.Sleep(settle)
		writes := c.store.View().Writes - before
		ginkgo.GinkgoWriter.Printf("600 entries a second: %d done, %d refused, %.0f writes a second\n", told.done, told.notRun, float64(writes)/seconds)
		g.Expect(writes).To(gomega.BeNumerically("<=", (seconds+1)*mangocommand.DefaultTableWrites))
		g.Expect(writes).To(gomega.BeNumerically(">=", seconds*mangocommand.DefaultTableWrites*9/10), "the budget is used")
		g.Expect(told.other).To(gomega.BeZero())
		ran := 0
		for _, n := range c.recorder.Counts().All() {
			g.Expect(n).To(gomega.Equal(1))
			ran++
		}
		g.Expect(ran).To(gomega.Equal(told.done))
	}))

	ginkgo.It("finds a slot while lookups flood the service", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		g.Expect(c.recorder.Inject(ctx, mangoservice.Faults{Delay: duration(time.Second)})).To(gomega.Succeed())
		var lookups, entries claims
		var running sync.WaitGroup
		for i := range 200 {
			running.Go(func() {
				_, err := c.nodes[i%2].call(ctx, "history", "", fmt.Sprint("pump ", i))
				lookups.add(err)
			})
			if i%50 == 0 {
				running.Go(func() {
					_, err := c.nodes[i%2].call(ctx, "dispense", mangomodel.IdempotencyKey(fmt.Sprint(i)), fmt.Sprint("pump ", i))
					entries.add(err)
				})
			}
			time.Sleep(10 * time.Millisecond)
		}
		running.Wait()
		g.Expect(lookups.notRun).To(gomega.BeNumerically(">", 0))
		g.Expect(lookups.other).To(gomega.BeZero())
		g.Expect(entries.done).To(gomega.Equal(4))
	}))

	ginkgo.It("can be sent again after it was refused as not run", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneZone)
		g.Expect(c.recorder.Inject(ctx, mangoservice.Faults{Down: true})).To(gomega.Succeed())
		_, err := c.nodes[0].call(ctx, "dispense", "k", "pump 1")
		g.Expect(mangomodel.AsFault(err, mangomodel.StepCall).Run).To(gomega.Equal(mangomodel.RunNot))
		g.Expect(c.recorder.Inject(ctx, mangoservice.Faults{})).To(gomega.Succeed())
		time.Sleep(time.Second)
		_, err = c.nodes[1].call(ctx, "dispense", "k", "pump 1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(c.recorder.Counts().Runs("/dispense pump 1")).To(gomega.Equal(1))
	}))
})

// flakyTable fails as a script of a random test says.
type flakyTable struct {
	table  mangoentry.Table
	script func() int
}

var errScript = errors.New("as scripted")

// stepsOf returns a function that returns the steps of a script one after the
// other, and 0 after its end.
func stepsOf(script []int) func() int {
	var mu sync.Mutex
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		if len(script) == 0 {
			return 0
		}
		step := script[0]
		script = script[1:]
		return step
	}
}

func (f flakyTable) Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	if f.script() == 1 {
		return mangomodel.Row{}, mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunNot, errScript)
	}
	return f.table.Get(ctx, key)
}

func (f flakyTable) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	fault := mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunUnknown, errScript)
	switch f.script() {
	case 1: // lost on the way
		return 0, fault
	case 2: // done, and its answer lost
		_, _ = f.table.Put(ctx, key, value, expect)
		return 0, fault
	case 3: // still on its way while the writer gives up waiting
		late := context.WithoutCancel(ctx)
		go func() {
			time.Sleep(4 * time.Second)
			_, _ = f.table.Put(late, key, value, expect)
		}()
		return 0, fault
	}
	return f.table.Put(ctx, key, value, expect)
}

// TestReservationsExclude checks, for scripts of failing exchanges, that of
// several processes which reserve one operation at most one holds it at a time
// and that an abandoned reservation never lands afterwards.
func TestReservationsExclude(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 24).Draw(rt, "script")
		writers := rapid.IntRange(2, 4).Draw(rt, "writers")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := mangostore.New(mangostore.WithLatency(time.Millisecond))
			go store.Run(ctx)
			defer func() {
				cancel()
				time.Sleep(longestCleanup)
			}()
			if sent := race(ctx, store, script, writers); sent > 1 {
				rt.Fatalf("%d processes sent the call", sent)
			}
		})
	})
}

// race has several processes reserve one operation and returns how many of
// them may send the call.
func race(ctx context.Context, store *mangostore.Store, script []int, writers int) int {
	var mu sync.Mutex
	next := stepsOf(script)
	sent := 0
	var running sync.WaitGroup
	for i := range writers {
		running.Go(func() {
			ledger := mangoentry.NewLedger(flakyTable{store, next}, mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint(i)), Incarnation: 1})
			reserveCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			r, existing, err := ledger.Reserve(reserveCtx, "Entry/w/k", 7)
			switch {
			case err != nil && r != nil:
				_ = ledger.Abandon(ctx, r)
			case err == nil && existing == nil:
				mu.Lock()
				sent++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return sent
}

// lateTable delivers writes of one process long after it gave up on them.
type lateTable struct{ mangoentry.Table }

func (l lateTable) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	late := context.WithoutCancel(ctx)
	go func() {
		time.Sleep(8 * time.Second)
		_, _ = l.Table.Put(late, key, value, expect)
	}()
	return 0, mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunUnknown, errScript)
}

// TestLateReservationDoesNotLand checks that an operation which was refused as
// not run can be sent again, though its reservation was still on its way.
func TestLateReservationDoesNotLand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := mangostore.New(mangostore.WithLatency(time.Millisecond))
		go store.Run(ctx)
		defer func() {
			cancel()
			time.Sleep(longestCleanup)
		}()
		reserveCtx, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		table := &switchedTable{Table: lateTable{store}}
		late := mangoentry.NewLedger(table, mangomodel.Holder{Daemon: "late", Incarnation: 1})
		r, _, err := late.Reserve(reserveCtx, "Entry/w/k", 7)
		g.Expect(mangomodel.AsFault(err, mangomodel.StepReserve).Run).To(gomega.Equal(mangomodel.RunNot))
		table.set(store)
		g.Expect(late.Abandon(ctx, r)).To(gomega.Succeed())
		time.Sleep(time.Minute)
		other := mangoentry.NewLedger(store, mangomodel.Holder{Daemon: "other", Incarnation: 1})
		_, existing, err := other.Reserve(ctx, "Entry/w/k", 7)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(existing).To(gomega.BeNil())
	})
}

// switchedTable is a table whose behaviour can be replaced.
type switchedTable struct {
	mu sync.Mutex
	mangoentry.Table
}

func (s *switchedTable) set(t mangoentry.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Table = t
}

func (s *switchedTable) current() mangoentry.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Table
}

func (s *switchedTable) Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	return s.current().Get(ctx, key)
}

func (s *switchedTable) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	return s.current().Put(ctx, key, value, expect)
}
