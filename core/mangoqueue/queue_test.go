package mangoqueue

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

var start = time.Unix(1_000, 0)

// demand returns a demand that arrived so long after start and is late a second
// later.
func demand(at time.Duration, prompt, output mangomodel.Tokens, change func(d *mangolease.Demand)) *mangolease.PendingDemand {
	d := mangolease.Demand{
		Generation: &mangotraffic.Generation{Prompt: prompt, MaxOutput: 2 * output, OutputHint: output},
		OnTimeFor:  time.Second, Patience: 2 * time.Second,
	}
	if change != nil {
		change(&d)
	}
	return mangolease.NewPendingDemand(mangolease.ID{}, d, start.Add(at))
}

func TestOrder(t *testing.T) {
	small, large := demand(time.Millisecond, 1000, 100, nil), demand(0, 1000, 900, nil)
	longPrompt := demand(0, 9000, 100, nil)
	old, young := demand(0, 1000, 100, nil), demand(time.Millisecond, 1000, 100, nil)
	late := demand(0, 1000, 100, func(d *mangolease.Demand) { d.OnTimeFor = -time.Second })
	goesOn := demand(0, 1000, 100, func(d *mangolease.Demand) { d.OnTimeFor, d.Bound = -time.Second, true })
	basic := demand(0, 10, 10, func(d *mangolease.Demand) { d.Priority = 2 })
	cached := demand(0, 9000, 900, func(d *mangolease.Demand) { d.OnTimeFor, d.Priority, d.Prefilled = -time.Second, 2, true })
	plain := demand(0, 0, 0, func(d *mangolease.Demand) { d.Generation = nil })
	tests := []struct {
		name          string
		first, second *mangolease.PendingDemand
	}{
		{"a computed KV cache before all others", cached, small},
		{"on time before late", large, late},
		{"a stream that goes on before late ones", goesOn, late},
		{"a stream that goes on has its place among those on time", goesOn, large},
		{"late basic work after urgent work on time", large, late},
		{"urgent before basic, also if it costs more", large, basic},
		{"less output first, also if younger", small, large},
		{"shorter prompt first, also if younger", small, longPrompt},
		{"older first", old, young},
		{"calls without a generation cost nothing", plain, small},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(Compare(test.first, test.second, start)).To(gomega.Equal(-1))
			g.Expect(Compare(test.second, test.first, start)).To(gomega.Equal(1))
			g.Expect(Compare(test.first, test.first, start)).To(gomega.Equal(0))
		})
	}
}

// play counts arrivals and grants at even rates while demands wait.
func play(f *Flow, d time.Duration, arrivals, grants int) time.Time {
	f.SetWaiting(true, start)
	const steps = 1000
	now := start
	for i := range steps {
		now = start.Add(d * time.Duration(i+1) / steps)
		for range (i+1)*arrivals/steps - i*arrivals/steps {
			f.Arrived(now)
		}
		for range (i+1)*grants/steps - i*grants/steps {
			f.Granted(now)
		}
	}
	return now
}

func TestPredictedWait(t *testing.T) {
	tests := []struct {
		name   string
		played time.Duration
		grants int
		ahead  int
		want   time.Duration
		known  bool
	}{
		{"at 20 a second", time.Second, 20, 9, 500 * time.Millisecond, true},
		{"the first in the queue", time.Second, 20, 0, 50 * time.Millisecond, true},
		{"over a long burst", 20 * time.Second, 400, 9, 500 * time.Millisecond, true},
		{"too little time", 200 * time.Millisecond, 4, 9, 0, false},
		{"no grant", time.Second, 0, 9, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := &Flow{}
			now := play(f, test.played, 2*test.grants, test.grants)
			wait, ok := f.Wait(test.ahead, now)
			g.Expect(ok).To(gomega.Equal(test.known))
			g.Expect(wait).To(gomega.BeNumerically("~", test.want, test.want/10))
		})
	}
}

func TestHopeless(t *testing.T) {
	tests := []struct {
		name  string
		ahead int
		limit time.Duration
		want  bool
	}{
		{"within the limit", 9, time.Second, false},
		{"a little beyond it", 9, 450 * time.Millisecond, false},
		{"far beyond it", 39, time.Second, true},
		{"without a limit left", 0, 0, true},
	}
	for _, test := range tests {
		f := &Flow{}
		now := play(f, time.Second, 40, 20)
		_, got := f.Hopeless(test.ahead, test.limit, now)
		gomega.NewWithT(t).Expect(got).To(gomega.Equal(test.want), test.name)
	}
	_, unknown := (&Flow{}).Hopeless(1000, time.Millisecond, start)
	gomega.NewWithT(t).Expect(unknown).To(gomega.BeFalse(), "nothing measured")
}

// TestRateFollowsTheLoad guards against a rate from the beginning of a long burst:
// when servers take an eighth of the demands that they took, the predicted wait at
// least doubles within observedWindow.
func TestRateFollowsTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Flow{}
	now := play(f, 10*time.Second, 800, 400)
	before, _ := f.Wait(9, now)
	for end := now.Add(observedWindow); now.Before(end); {
		now = now.Add(200 * time.Millisecond)
		f.Granted(now)
	}
	wait, ok := f.Wait(9, now)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(wait).To(gomega.BeNumerically(">=", 2*before))
}

// TestClientsReturnAsTheQueueDrains checks that refused clients return one after the
// other at the pace at which the service has room for them, and that there is no
// prediction while new demands take all of it.
func TestClientsReturnAsTheQueueDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Flow{}
	now := play(f, time.Second, 10, 20)
	var after []time.Duration
	for range 5 {
		after = append(after, f.ReturnAfter(10, now).Round(time.Millisecond))
	}
	g.Expect(slices.IsSorted(after)).To(gomega.BeTrue())
	g.Expect(after[0]).To(gomega.BeNumerically("~", time.Second, 50*time.Millisecond))
	g.Expect(after[4] - after[0]).To(gomega.BeNumerically("~", 400*time.Millisecond, 50*time.Millisecond))
	g.Expect(f.ReturnAfter(0, now.Add(2*time.Second))).To(gomega.BeNumerically("<", 100*time.Millisecond), "all have returned")
	full := &Flow{}
	now = play(full, time.Second, 40, 20)
	g.Expect(full.ReturnAfter(10, now)).To(gomega.BeZero())
}

func TestFlowIsForgottenWithTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Flow{}
	now := play(f, time.Second, 40, 20)
	f.SetWaiting(false, now)
	_, ok := f.Wait(9, now.Add(time.Second))
	g.Expect(ok).To(gomega.BeFalse())
}
