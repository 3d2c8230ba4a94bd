package mangobalance

import (
	"testing"

	"github.com/onsi/gomega"
)

// work is similar to the workload in the users' specifications.
var work = Workload{Prompt: 5200, Output: 5000, PrefillRate: 50_000, DecodeRate: 1450, Slots: 12, KVTokens: 85_000}

func TestPrefillers(t *testing.T) {
	tests := []struct {
		name                 string
		work                 Workload
		prefillers, decoders int
		want                 int
		change               bool
	}{
		{"balanced", work, 5, 13, 5, false},
		{"decode engines lost", work, 5, 6, 3, true},
		{"prefill engines lost", work, 1, 17, 5, true},
		{"long prompts", Workload{Prompt: 50_000, Output: 500, PrefillRate: 50_000, DecodeRate: 1450, Slots: 12, KVTokens: 85_000}, 5, 5, 8, true},
		{"no workload recorded", Workload{}, 5, 5, 5, false},
		{"one engine", work, 0, 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n, change := Prefillers(test.work, test.prefillers, test.decoders)
			g.Expect(change).To(gomega.Equal(test.change))
			g.Expect(n).To(gomega.Equal(test.want))
		})
	}
}

// TestDecisionIsStable checks that a decision, once carried out, is not followed
// by another one.
func TestDecisionIsStable(t *testing.T) {
	for prefillers := 1; prefillers < 18; prefillers++ {
		n, _ := Prefillers(work, prefillers, 18-prefillers)
		if again, change := Prefillers(work, n, 18-n); change {
			t.Errorf("from %d to %d, and on to %d", prefillers, n, again)
		}
	}
}

// TestLossIsIncluded covers a stage of few engines, which the loss of one would
// halve.
func TestLossIsIncluded(t *testing.T) {
	small := work
	small.Slots, small.KVTokens = 48, 107_000
	n, change := Prefillers(small, 3, 6)
	g := gomega.NewWithT(t)
	g.Expect(change).To(gomega.BeFalse())
	g.Expect(n).To(gomega.Equal(3))
}
