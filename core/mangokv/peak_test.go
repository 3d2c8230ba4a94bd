package mangokv

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"mangolane/core/mangomodel"
)

// peakOf adds all generations but the first to a profile and returns the peak with
// that one.
func peakOf(generations []Generation) mangomodel.Tokens {
	var p Profile
	if len(generations) == 0 {
		return p.PeakWith(Generation{})
	}
	for _, g := range generations[1:] {
		p.Add(g)
	}
	return p.PeakWith(generations[0])
}

func TestPeak(t *testing.T) {
	tests := []struct {
		name        string
		generations []Generation
		want        mangomodel.Tokens
	}{
		{"none", nil, 0},
		{"one at its end", []Generation{{Held: 100, Remaining: 50}}, 150},
		{"one ends before the other has grown", []Generation{{Held: 100, Remaining: 10}, {Held: 100, Remaining: 100}}, 220},
		{"longer one peaks after the other has ended", []Generation{{Held: 10, Remaining: 1}, {Held: 100, Remaining: 500}}, 600},
		{"with its deviation", []Generation{{Held: 100, Remaining: 50, Deviation: 20}}, 170},
		{"deviations of two are independent", []Generation{{Held: 10, Remaining: 0, Deviation: 30}, {Held: 10, Remaining: 0, Deviation: 40}}, 70},
		{"nothing remaining", []Generation{{Held: 7}, {Held: 8}}, 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(peakOf(test.generations)).To(gomega.Equal(test.want))
		})
	}
}

// TestMoreGenerationsNeedASmallerReserve checks the part of the peak that is kept for
// longer outputs than expected: its share falls with the number of generations.
func TestMoreGenerationsNeedASmallerReserve(t *testing.T) {
	share := func(n int) float64 {
		certain, uncertain := make([]Generation, n), make([]Generation, n)
		for i := range n {
			certain[i] = Generation{Held: 1000, Remaining: 1000}
			uncertain[i] = Generation{Held: 1000, Remaining: 1000, Deviation: 500}
		}
		return float64(peakOf(uncertain))/float64(peakOf(certain)) - 1
	}
	g := gomega.NewWithT(t)
	g.Expect(share(4)).To(gomega.BeNumerically("~", share(1)/2, 0.001))
	g.Expect(share(16)).To(gomega.BeNumerically("~", share(1)/4, 0.001))
}

// TestPeakAgainstSteps compares with a simulation in which each step generates one
// token of every generation.
func TestPeakAgainstSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Generation {
			return Generation{
				Held:      mangomodel.Tokens(rapid.IntRange(0, 60).Draw(t, "held")),
				Remaining: mangomodel.Tokens(rapid.IntRange(0, 40).Draw(t, "left")),
			}
		}), 0, 8).Draw(t, "runs")
		if got, want := peakOf(generations), peakBySteps(generations); got != want {
			t.Fatalf("peak of %v = %d, want %d", generations, got, want)
		}
	})
}

func peakBySteps(generations []Generation) mangomodel.Tokens {
	var peak mangomodel.Tokens
	for step := mangomodel.Tokens(0); step <= 40; step++ {
		var held mangomodel.Tokens
		for _, g := range generations {
			if step <= g.Remaining {
				held += g.Held + step
			}
		}
		peak = max(peak, held)
	}
	return peak
}
