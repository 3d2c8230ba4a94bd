package mangohealth

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestFailureRate(t *testing.T) {
	g := gomega.NewWithT(t)
	now, r := time.Now(), Reliability{}
	for i := range 200 {
		r = r.Record(i%3 == 0, now)
	}
	g.Expect(r.FailureRate(now)).To(gomega.BeNumerically("~", 0.33, 0.1))
	g.Expect(r.FailureRate(now.Add(rateHalfLife))).To(gomega.BeNumerically("~", r.FailureRate(now)/2, 0.01))
	for range 40 {
		r = r.Record(true, now)
	}
	g.Expect(r.FailureRate(now)).To(gomega.Equal(maxRate))
	for range 40 {
		r = r.Record(false, now)
	}
	g.Expect(r.FailureRate(now)).To(gomega.BeNumerically("<", 0.01))
}
