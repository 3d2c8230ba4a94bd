package mangoquota

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangolane/core/mangoworkspace"
)

const (
	orders     = 2000
	orderSteps = 1000
	// calmSteps is the time in which all daemons are told how many they are.
	calmSteps = 80
	window    = int(8 * time.Second / step)
	// configSteps is the time within which all daemons have a new limit.
	configSteps = int(4 * time.Second / step)
	// A deployment names three daemons. If all of them restart behind a partition, nobody
	// there knows how many others there are; the design note says so.
	minDaemons = 3
	maxDaemons = 7
	maxEvents  = 14
)

// standard is the users' largest limit, divided by ten.
var standard = mangoworkspace.Limit{Unit: mangoworkspace.UnitTokens, Rate: 43_000, Burst: 43_000}

const (
	// over and slack are the users' bounds; slack is that of a deployment with 73,000 tokens
	// beside 430,000 a second.
	over  = 0.1
	slack = 7_300
)

type event int

const (
	eventCut event = iota
	eventHeal
	eventPrefer
	eventRestart
	eventFreeze
	eventKill
	eventLeave
	eventJoin
	eventLimit
	eventRestartAll
	numEvents
)

// happen plays an event.
func (w *world) happen(rt *rapid.T, limits []mangoworkspace.Limit) {
	i := rapid.IntRange(0, len(w.daemons)-1).Draw(rt, "daemon")
	d := w.daemons[i]
	switch event(rapid.IntRange(0, int(numEvents)-1).Draw(rt, "event")) {
	case eventCut:
		sides := rapid.SliceOfN(rapid.IntRange(0, 2), 2*maxDaemons+maxEvents, 2*maxDaemons+maxEvents).Draw(rt, "sides")
		for k := w.step; k < len(w.sides); k++ {
			w.sides[k] = func(i int) int { return sides[i] }
		}
	case eventHeal:
		for k := w.step; k < len(w.sides); k++ {
			w.sides[k] = func(int) int { return 0 }
		}
	case eventPrefer:
		for k := w.step; k < len(w.order); k++ {
			w.order[k] = i
		}
	case eventRestart:
		w.restart(i)
	case eventFreeze:
		d.frozenUntil = w.step + rapid.IntRange(1, 120).Draw(rt, "freeze")
	case eventKill:
		d.gone = true
	case eventLeave:
		d.leavesAt = w.step + rapid.IntRange(20, 60).Draw(rt, "leaves")
	case eventJoin:
		w.join(d.limit)
	case eventLimit:
		l := standard
		l.Rate *= mangoworkspace.Amount(rapid.Float64Range(0.3, 1).Draw(rt, "rate"))
		l.Burst = l.Rate
		for k := w.step; k < len(limits); k++ {
			limits[k] = l
		}
		for _, d := range w.daemons {
			d.limit = l
		}
	case eventRestartAll:
		for i, d := range w.daemons {
			if !d.gone {
				w.restart(i)
			}
		}
	}
}

// TestWindowsStayWithinTheBound guards against two accountants, or daemons that reach none,
// that together let more run within any window than the users allow.
func TestWindowsStayWithinTheBound(t *testing.T) {
	set := map[string]string{"rapid.checks": strconv.Itoa(orders), "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		set["rapid.seed"] = "1"
	}
	for name, value := range set {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	passed, loaned, fullest := 0, 0, 0.0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(minDaemons, maxDaemons).Draw(rt, "daemons"), orderSteps, standard)
		limits := make([]mangoworkspace.Limit, orderSteps)
		for i := range limits {
			limits[i] = standard
		}
		for _, d := range w.daemons {
			d.lag = rapid.IntRange(0, 40).Draw(rt, "lag")
		}
		events := make(map[int]bool)
		for range rapid.IntRange(0, maxEvents).Draw(rt, "events") {
			events[rapid.IntRange(calmSteps, orderSteps-1).Draw(rt, "at")] = true
		}
		// The costs and losses follow from drawn numbers, since a draw for each of them
		// would take most of the time.
		seed := rapid.Uint32().Draw(rt, "seed")
		next := func(n int) int {
			seed = seed*1664525 + 1013904223
			return int(seed>>8) % n
		}
		lossy, overload := rapid.IntRange(0, 20).Draw(rt, "lossy"), rapid.IntRange(1, 12).Draw(rt, "overload")
		w.delay = func() int {
			if w.step > calmSteps && next(100) < lossy {
				return -1 + 8*next(2)
			}
			return next(3)
		}
		for range orderSteps {
			if events[w.step] {
				w.happen(rt, limits)
			}
			for range overload {
				w.call(next(len(w.daemons)), mangoworkspace.Amount([]int{20, 500, 800, 1100}[next(4)]))
			}
			w.play()
		}
		var sum mangoworkspace.Amount
		for k := range orderSteps {
			sum += w.ran[k]
			if k >= window {
				sum -= w.ran[k-window]
			}
			var rate mangoworkspace.Amount
			for _, at := range []int{k, k - window/2, k - window, k - window - configSteps} {
				rate = max(rate, limits[max(at, 0)].Rate)
			}
			for at := max(k-window-configSteps, 0); at <= k; at++ {
				rate = max(rate, limits[at].Rate)
			}
			bound := rate*9*(1+over) + slack
			fullest = max(fullest, float64(sum/bound))
			if sum > bound {
				rt.Fatalf("%.0f tokens within the window that ends at step %d, the bound is %.0f", float64(sum), k, float64(bound))
			}
		}
		passed, loaned = passed+w.passed, loaned+w.loaned
	})
	if !t.Failed() && (passed == 0 || loaned == 0) {
		t.Error("no call ran, or none from a loan")
	}
	t.Logf("%d calls ran, %d from loans; the fullest window had %.2f of the bound", passed, loaned, fullest)
}
