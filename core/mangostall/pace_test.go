package mangostall

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestTimeoutOfAStartFollowsThePace(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		took     []time.Duration
		min, max time.Duration
	}{
		{"too few measurements", []time.Duration{100 * ms}, maxStartTimeout, maxStartTimeout},
		{"even", []time.Duration{100 * ms, 100 * ms}, minStartTimeout + 100*ms, minStartTimeout + 150*ms},
		{"uneven", []time.Duration{50 * ms, 150 * ms}, minStartTimeout + 200*ms, minStartTimeout + 400*ms},
		{"slow", []time.Duration{10 * time.Second, 10 * time.Second}, maxStartTimeout, maxStartTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var p Pace
			for range 10 {
				for _, took := range test.took {
					if p.samples < minSamples-1 || len(test.took) > 1 {
						p.Add(took)
					}
				}
			}
			g.Expect(p.Timeout()).To(gomega.And(gomega.BeNumerically(">=", test.min), gomega.BeNumerically("<=", test.max)))
		})
	}
}

func TestTimeoutOfAPrefillFollowsThePrediction(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(PrefillTimeout(0)).To(gomega.Equal(minStartTimeout))
	for _, predicted := range []time.Duration{100 * time.Millisecond, time.Second} {
		g.Expect(PrefillTimeout(predicted)).To(gomega.BeNumerically(">=", minStartTimeout+2*predicted))
	}
}
