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

// naiveCall is a baseline without entries: it sends the call up to three times
// until it gets a response.
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

// reportCounts counts the outcomes reported to the callers of one operation.
type reportCounts struct {
	mu sync.Mutex
	// done counts responses, notRun faults that state that the operation has
	// not run, other all other faults.
	done, notRun, other int
}

func (c *reportCounts) add(err error) {
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

// entryFaults are the faults injected while entries are sent. An entry is a
// non-idempotent call.
var entryFaults = []struct {
	name   string
	inject func(ctx context.Context, c *cluster)
}{
	{"no fault", func(context.Context, *cluster) {}},
	{"the table service loses responses", func(ctx context.Context, c *cluster) {
		_ = c.store.Inject(ctx, mangostore.Faults{LoseAnswers: true})
		time.Sleep(2 * time.Second)
		_ = c.store.Inject(ctx, mangostore.Faults{})
	}},
	{"the table service is unavailable", func(ctx context.Context, c *cluster) {
		_ = c.store.Inject(ctx, mangostore.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		_ = c.store.Inject(ctx, mangostore.Faults{})
	}},
	{"the table service is slow", func(ctx context.Context, c *cluster) {
		_ = c.store.Inject(ctx, mangostore.Faults{Delay: duration(2500 * time.Millisecond)})
		time.Sleep(10 * time.Second)
		_ = c.store.Inject(ctx, mangostore.Faults{})
	}},
	{"the service loses responses", func(ctx context.Context, c *cluster) {
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
		c.net.setCut(c.nodes[0].endpoint, platformEndpoint, true)
		time.Sleep(10 * time.Second)
		c.net.setCut(c.nodes[0].endpoint, platformEndpoint, false)
	}},
	{"a daemon crashes", func(_ context.Context, c *cluster) {
		time.Sleep(300 * time.Millisecond)
		c.nodes[0].crash()
	}},
}

// resend sends an operation to the daemons in turn, up to 12 times, as a caller
// does that gets no response. It stops at a response or at a fault with
// [mangomodel.CodeUnknownOutcome].
func (c *cluster) resend(ctx context.Context, op int, reported *reportCounts, call func(n *node) error) {
	rng := rand.New(rand.NewPCG(uint64(op), 1))
	for i := range 12 {
		err := call(c.nodes[(op+i)%len(c.nodes)])
		reported.add(err)
		if err == nil || mangomodel.HasCode(err, mangomodel.CodeUnknownOutcome) {
			return
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
}

// runEntries sends operations, each from two concurrent callers, and returns the
// outcomes reported for each operation.
func (c *cluster) runEntries(ctx context.Context, ops int, call func(n *node, op string) error) []*reportCounts {
	all := make([]*reportCounts, ops)
	var wg sync.WaitGroup
	for i := range ops {
		all[i] = &reportCounts{}
		for dup := range 2 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				c.resend(ctx, i+dup, all[i], func(n *node) error { return call(n, fmt.Sprint("pump ", i)) })
			})
		}
	}
	wg.Wait()
	return all
}

func (c *cluster) runsOf(i int) int {
	return c.recorder.Counts().Runs(mangoservice.Operation(fmt.Sprint("/dispense pump ", i)))
}

var _ = ginkgo.Describe("a non-idempotent call", func() {
	for _, fault := range entryFaults {
		ginkgo.It("runs at most once, and never runs if reported only as not run, when "+fault.name, bubble(func(ctx context.Context, g *gomega.WithT) {
			c := newCluster(ctx, g, oneDataCentre)
			go fault.inject(ctx, c)
			all := c.runEntries(ctx, 30, func(n *node, op string) error {
				_, err := n.call(ctx, "dispense", mangomodel.IdempotencyKey("key "+op), op)
				return err
			})
			time.Sleep(time.Minute)
			for i, reported := range all {
				g.Expect(c.runsOf(i)).To(gomega.BeNumerically("<=", 1), "operation %d", i)
				if reported.done > 0 {
					g.Expect(c.runsOf(i)).To(gomega.Equal(1), "operation %d was reported as done", i)
				}
				if reported.done == 0 && reported.other == 0 {
					g.Expect(c.runsOf(i)).To(gomega.BeZero(), "operation %d was reported as not run only", i)
				}
			}
		}))
	}

	ginkgo.It("runs twice with the naive baseline", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
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

	ginkgo.It("gets its stored outcome as the response when it is resent", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
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

	ginkgo.It("writes to the table service within the budget, and is refused as not run beyond it", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, threeDataCentres)
		before := c.store.View().Writes
		const seconds = 10
		var reported reportCounts
		var wg sync.WaitGroup
		for i := range 600 * seconds {
			wg.Go(func() {
				op := fmt.Sprint("pump ", i)
				_, err := c.nodes[i%len(c.nodes)].call(ctx, "dispense", mangomodel.IdempotencyKey(op), op)
				reported.add(err)
			})
			time.Sleep(time.Second / 600)
		}
		wg.Wait()
		time.Sleep(convergenceTime)
		writes := c.store.View().Writes - before
		ginkgo.GinkgoWriter.Printf("600 entries a second: %d done, %d refused, %.0f writes a second\n", reported.done, reported.notRun, float64(writes)/seconds)
		g.Expect(writes).To(gomega.BeNumerically("<=", (seconds+1)*mangocommand.DefaultTableWrites))
		g.Expect(writes).To(gomega.BeNumerically(">=", seconds*mangocommand.DefaultTableWrites*9/10), "the budget is used")
		g.Expect(reported.other).To(gomega.BeZero())
		ran := 0
		for _, n := range c.recorder.Counts().All() {
			g.Expect(n).To(gomega.Equal(1))
			ran++
		}
		g.Expect(ran).To(gomega.Equal(reported.done))
	}))

	ginkgo.It("gets a slot while lookups flood the service", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
		g.Expect(c.recorder.Inject(ctx, mangoservice.Faults{Delay: duration(time.Second)})).To(gomega.Succeed())
		var lookups, entries reportCounts
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				_, err := c.nodes[i%2].call(ctx, "history", "", fmt.Sprint("pump ", i))
				lookups.add(err)
			})
			if i%50 == 0 {
				wg.Go(func() {
					_, err := c.nodes[i%2].call(ctx, "dispense", mangomodel.IdempotencyKey(fmt.Sprint(i)), fmt.Sprint("pump ", i))
					entries.add(err)
				})
			}
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		g.Expect(lookups.notRun).To(gomega.BeNumerically(">", 0))
		g.Expect(lookups.other).To(gomega.BeZero())
		g.Expect(entries.done).To(gomega.Equal(4))
	}))

	ginkgo.It("can be sent again after it was refused as not run", bubble(func(ctx context.Context, g *gomega.WithT) {
		c := newCluster(ctx, g, oneDataCentre)
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

// scriptedTable is a table whose requests fail as the steps of a script say: 0
// succeeds, 1 is lost on the way, 2 takes effect and loses its response, 3 takes
// effect 4 s later. Steps 2 and 3 apply to Put only.
type scriptedTable struct {
	table    mangoentry.Table
	nextStep func() int
}

var errScript = errors.New("scripted failure")

// stepsOf returns a function that returns the steps of a script in order, and 0
// after its end.
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

func (f scriptedTable) Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	if f.nextStep() == 1 {
		return mangomodel.Row{}, mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunNot, errScript)
	}
	return f.table.Get(ctx, key)
}

func (f scriptedTable) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	fault := mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunUnknown, errScript)
	switch f.nextStep() {
	case 1: // request lost
		return 0, fault
	case 2: // takes effect, and its response is lost
		_, _ = f.table.Put(ctx, key, value, expect)
		return 0, fault
	case 3: // takes effect after the writer has timed out
		late := context.WithoutCancel(ctx)
		go func() {
			time.Sleep(4 * time.Second)
			_, _ = f.table.Put(late, key, value, expect)
		}()
		return 0, fault
	}
	return f.table.Put(ctx, key, value, expect)
}

// TestReservationsAreExclusive checks that at most one of several processes that
// reserve the same operation may send the call, although requests to the table
// fail, lose their responses or take effect late. The call would be sent twice
// if two processes took a failed or late write for their own reservation. A
// process whose reservation fails abandons it; its late write must not take
// effect afterwards.
func TestReservationsAreExclusive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 24).Draw(rt, "script")
		writers := rapid.IntRange(2, 4).Draw(rt, "writers")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := mangostore.New(mangostore.WithLatency(time.Millisecond))
			go store.Run(ctx)
			defer func() {
				cancel()
				time.Sleep(cleanupTime)
			}()
			if sent := reserveConcurrently(ctx, store, script, writers); sent > 1 {
				rt.Fatalf("%d processes may send the call, want at most 1", sent)
			}
		})
	})
}

// reserveConcurrently reserves one operation from several processes at once and
// returns the number of processes that may send the call.
func reserveConcurrently(ctx context.Context, store *mangostore.Store, script []int, writers int) int {
	var mu sync.Mutex
	next := stepsOf(script)
	sent := 0
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			ledger := mangoentry.NewLedger(scriptedTable{store, next}, mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint(i)), Incarnation: 1})
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
	wg.Wait()
	return sent
}

// lateTable reports each write as failed and applies it 8 s later, after its
// writer has timed out.
type lateTable struct{ mangoentry.Table }

func (l lateTable) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	late := context.WithoutCancel(ctx)
	go func() {
		time.Sleep(8 * time.Second)
		_, _ = l.Table.Put(late, key, value, expect)
	}()
	return 0, mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunUnknown, errScript)
}

// TestLateReservationDoesNotTakeEffect checks that an operation that was refused
// as not run can be sent again. The write of its reservation times out at the
// writer but reaches the table later. If Abandon did not block that write, it
// would reserve the operation for a call that is never sent.
func TestLateReservationDoesNotTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := mangostore.New(mangostore.WithLatency(time.Millisecond))
		go store.Run(ctx)
		defer func() {
			cancel()
			time.Sleep(cleanupTime)
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
