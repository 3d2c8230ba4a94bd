package mangokv

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"mangolane/core/mangomodel"
)

// peakOf adds all runs but the first and asks for the peak with that one.
func peakOf(runs []Run) mangomodel.Tokens {
	var p Profile
	if len(runs) == 0 {
		return p.With(Run{})
	}
	for _, r := range runs[1:] {
		p.Add(r)
	}
	return p.With(runs[0])
}

func TestPeak(t *testing.T) {
	tests := []struct {
		name string
		runs []Run
		want mangomodel.Tokens
	}{
		{"none", nil, 0},
		{"one at its end", []Run{{Held: 100, Left: 50}}, 150},
		{"one ends before the other has grown", []Run{{Held: 100, Left: 10}, {Held: 100, Left: 100}}, 220},
		{"the longer one alone needs most", []Run{{Held: 10, Left: 1}, {Held: 100, Left: 500}}, 600},
		{"nothing left", []Run{{Held: 7}, {Held: 8}}, 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(peakOf(test.runs)).To(gomega.Equal(test.want))
		})
	}
}

// TestPeakAgainstSteps compares with a simulation that makes one token of each
// run at a time.
func TestPeakAgainstSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Run {
			return Run{
				Held: mangomodel.Tokens(rapid.IntRange(0, 60).Draw(t, "held")),
				Left: mangomodel.Tokens(rapid.IntRange(0, 40).Draw(t, "left")),
			}
		}), 0, 8).Draw(t, "runs")
		if got, want := peakOf(runs), peakBySteps(runs); got != want {
			t.Fatalf("peak of %v = %d, want %d", runs, got, want)
		}
	})
}

func peakBySteps(runs []Run) mangomodel.Tokens {
	var peak mangomodel.Tokens
	for step := mangomodel.Tokens(0); step <= 40; step++ {
		var held mangomodel.Tokens
		for _, r := range runs {
			if step <= r.Left {
				held += r.Held + step
			}
		}
		peak = max(peak, held)
	}
	return peak
}
