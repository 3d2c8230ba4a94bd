package mangofollow

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobound"
	"mangolane/core/mangomodel"
)

// TestPatience guards against reads that never last as long as a slow store takes, and
// against reads of a store that is not slow that last longer than a change may take.
func TestPatience(t *testing.T) {
	times := mangobound.Within(mangobound.Standard)
	poll, minPatience := times.Poll, times.Data
	silent := mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, "no data")
	unconnected := mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeUnavailable, mangomodel.RunNot, "no connection")
	type step struct {
		took time.Duration
		err  error
	}
	tests := []struct {
		name  string
		steps []step
		limit time.Duration
	}{
		{"first read", nil, minPatience},
		{"responses at once", []step{{took: poll}, {took: poll + 4*time.Millisecond}}, minPatience},
		{"a response did not come", []step{{poll + minPatience, silent}}, 2 * minPatience},
		{"none came", []step{{poll + minPatience, silent}, {poll + 2*minPatience, silent}, {poll + maxPatience, silent}}, maxPatience},
		{"no connection", []step{{minPatience, unconnected}, {minPatience, unconnected}}, minPatience},
		{"reset at once", []step{{time.Millisecond, silent}, {time.Millisecond, errors.New("reset")}}, minPatience},
		{"slow responses", []step{{poll + minPatience, silent}, {took: poll + 600*time.Millisecond}}, 1200 * time.Millisecond},
		{"no longer slow", []step{{poll + minPatience, silent}, {took: poll + 600*time.Millisecond}, {took: poll + 5*time.Millisecond}}, minPatience},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPatience(times)
			for _, s := range test.steps {
				if w := p.wait(); s.err != nil {
					p.failed(w, s.took, s.err)
				} else {
					p.unchanged(w, s.took)
				}
			}
			gomega.NewWithT(t).Expect(p.wait()).To(gomega.Equal(Wait{Changes: poll, Data: test.limit}))
		})
	}
}
