package mangobalance

import (
	"testing"

	"github.com/onsi/gomega"
)

// work is about that of the users' sheets.
var work = Workload{Prompt: 5200, Output: 5000, PrefillRate: 50_000, DecodeRate: 1450, Slots: 12, KVTokens: 85_000}

func TestPrefillers(t *testing.T) {
	tests := []struct {
		name                 string
		work                 Workload
		prefillers, decoders int
		want                 int
		move                 bool
	}{
		{"balanced", work, 5, 13, 5, false},
		{"decode engines left", work, 5, 6, 3, true},
		{"prefill engines left", work, 1, 17, 5, true},
		{"long prompts", Workload{Prompt: 50_000, Output: 500, PrefillRate: 50_000, DecodeRate: 1450, Slots: 12, KVTokens: 85_000}, 5, 5, 8, true},
		{"nothing known", Workload{}, 5, 5, 5, false},
		{"one engine", work, 0, 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n, move := Prefillers(test.work, test.prefillers, test.decoders)
			g.Expect(move).To(gomega.Equal(test.move))
			g.Expect(n).To(gomega.Equal(test.want))
		})
	}
}

// TestDecisionIsStable follows the decisions to their end.
func TestDecisionIsStable(t *testing.T) {
	for prefillers := 1; prefillers < 18; prefillers++ {
		n, _ := Prefillers(work, prefillers, 18-prefillers)
		if again, move := Prefillers(work, n, 18-n); move {
			t.Errorf("from %d to %d, and on to %d", prefillers, n, again)
		}
	}
}

// TestLossIsReckonedIn covers a stage of few engines, which the loss of one
// would halve.
func TestLossIsReckonedIn(t *testing.T) {
	small := work
	small.Slots, small.KVTokens = 48, 107_000
	n, move := Prefillers(small, 3, 6)
	g := gomega.NewWithT(t)
	g.Expect(move).To(gomega.BeFalse())
	g.Expect(n).To(gomega.Equal(3))
}
