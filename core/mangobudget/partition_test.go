package mangobudget

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	budgetStep  = 50 * time.Millisecond
	renewSteps  = 5
	playSteps   = 900
	partitions  = 4
	maxBursts   = 40
	maxLedgers  = 5
	budgetPlays = 2000
	// idleTime is the time without renewals after which a daemon that gets them begins to
	// count anew.
	idleTime = 1500 * time.Millisecond
	llm      = mangotraffic.ServiceName("llm")
)

// ledgers plays daemons that renew at the first one of their side that they prefer.
type ledgers struct {
	start         time.Time
	all           []*Ledger
	renewed       []time.Duration
	countingSince []time.Duration
	// taken is how many retries were made in each step.
	taken [playSteps]int
}

func newLedgers(n int, limits Limits) *ledgers {
	w := &ledgers{start: time.UnixMilli(1_000_000)}
	for i := range n {
		w.all = append(w.all, NewLedger(mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint("d", i))}, func() Limits { return limits }))
		w.renewed, w.countingSince = append(w.renewed, -time.Hour), append(w.countingSince, 0)
	}
	return w
}

// renew plays a renewal of a daemon at another one, or at itself.
func (w *ledgers) renew(i, at int, now time.Duration, lost bool) {
	t, l, counting := w.start.Add(now), w.all[i], w.all[at]
	if now-w.renewed[at] > idleTime {
		w.countingSince[at] = now
	}
	w.renewed[at] = now
	allowances := counting.Renew(l.self, l.Usage(t, len(w.all)), len(w.all), now-w.countingSince[at], t)
	if !lost {
		l.SetAllowances(allowances, counting.self.Daemon, t)
	}
}

func (w *ledgers) burst(i, tries int, now time.Duration) int {
	n := 0
	for range tries {
		if w.all[i].Budget(llm).Take(w.start.Add(now), len(w.all)) {
			n++
		}
	}
	return n
}

// cut is a time in which daemons reach only those of their side.
type cut struct {
	from, to int
	sides    []int
	// first is the daemon that all prefer from then on.
	first int
}

func (w *ledgers) scheduler(i int, cuts []cut, step int) int {
	n, first := len(w.all), 0
	reaches := func(int) bool { return true }
	for _, c := range cuts {
		if step >= c.from {
			first = c.first
		}
		if step >= c.from && step < c.to {
			reaches = func(k int) bool { return c.sides[k] == c.sides[i] }
		}
	}
	for k := range n {
		if at := (first + k) % n; reaches(at) {
			return at
		}
	}
	return i
}

// TestSidesOfAPartitionStayWithinTheBudget guards against daemons that cannot reach each
// other and each spend the whole fixed number of retries, and against a daemon that brings
// the part of one side to another.
func TestSidesOfAPartitionStayWithinTheBudget(t *testing.T) {
	set := map[string]string{"rapid.checks": strconv.Itoa(budgetPlays), "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		set["rapid.seed"] = "1"
	}
	for name, value := range set {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	limits := Limits{Fixed: 24, Window: 10 * time.Second}
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, maxLedgers).Draw(rt, "daemons")
		w := newLedgers(n, limits)
		var cuts []cut
		from := 0
		for range rapid.IntRange(1, partitions).Draw(rt, "cuts") {
			from += rapid.IntRange(1, playSteps/3).Draw(rt, "from")
			c := cut{from: from, to: from + rapid.IntRange(5, playSteps).Draw(rt, "length"), first: rapid.IntRange(0, n-1).Draw(rt, "first")}
			for range n {
				c.sides = append(c.sides, rapid.IntRange(0, 2).Draw(rt, "side"))
			}
			cuts = append(cuts, c)
		}
		bursts := make(map[int][2]int)
		for range rapid.IntRange(maxBursts/2, maxBursts).Draw(rt, "bursts") {
			bursts[rapid.IntRange(220, playSteps-1).Draw(rt, "at")] = [2]int{rapid.IntRange(0, n-1).Draw(rt, "daemon"), rapid.IntRange(1, 30).Draw(rt, "tries")}
		}
		losses := rapid.IntRange(0, 7).Draw(rt, "losses")
		for step := range playSteps {
			now := time.Duration(step) * budgetStep
			for i := range n {
				if (step+i)%renewSteps == 0 {
					w.renew(i, w.scheduler(i, cuts, step), now, losses > 0 && (step/renewSteps+i*3)%(losses+2) == 0)
				}
			}
			if b, ok := bursts[step]; ok {
				w.taken[step] = w.burst(b[0], b[1], now)
				served += w.taken[step]
			}
		}
		// The budget counts its window in parts.
		const window = int((10*time.Second - 10*time.Second/windowParts) / budgetStep)
		sum := 0
		for step := range playSteps {
			sum += w.taken[step]
			if step >= window {
				sum -= w.taken[step-window]
			}
			if float64(sum) > limits.Fixed {
				rt.Fatalf("%d retries within a window that ends at %v", sum, time.Duration(step)*budgetStep)
			}
		}
	})
	if !t.Failed() && served == 0 {
		t.Error("no retry was made")
	}
	t.Logf("%d retries in %d plays", served, budgetPlays)
}

// TestDaemonThatChangesSidesBringsNoPart guards against a daemon whose part one side has
// used and that raises the budget of another one. It also checks that both sides can use
// their parts.
func TestDaemonThatChangesSidesBringsNoPart(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newLedgers(4, Limits{Fixed: 24, Window: 10 * time.Second})
	for _, l := range w.all {
		l.Budget(llm)
	}
	now, cuts := time.Duration(0), []cut(nil)
	play := func(d time.Duration) {
		for end := now + d; now < end; now += budgetStep {
			for i := range w.all {
				if (int(now/budgetStep)+i)%renewSteps == 0 {
					w.renew(i, w.scheduler(i, cuts, 0), now, false)
				}
			}
		}
	}
	// take makes as many retries as possible at a daemon within four seconds.
	take := func(i int) int {
		n := 0
		for range 16 {
			n += w.burst(i, 100, now)
			play(250 * time.Millisecond)
		}
		return n
	}
	play(12 * time.Second)
	cuts = []cut{{to: 1, sides: []int{0, 0, 0, 1}}}
	play(15 * time.Second)
	g.Expect(take(3)).To(gomega.Equal(6), "the part of the side of one daemon")
	play(12 * time.Second)
	first := take(0)
	g.Expect(first).To(gomega.BeNumerically(">=", 16), "the parts of the side of three")
	cuts[0].sides = []int{0, 0, 1, 1}
	play(2 * time.Second)
	g.Expect(first + take(2) + take(3)).To(gomega.BeNumerically("<=", 24))
}
