package mangospeed

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestStepModelFitsALine(t *testing.T) {
	tests := []struct {
		name        string
		base, slope time.Duration
	}{
		{"ordinary", 10 * time.Millisecond, time.Millisecond},
		{"slow", 40 * time.Millisecond, 3 * time.Millisecond},
		{"flat", 15 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := NewStepModel()
			for i := range 200 {
				n := 1 + i%20
				m.Add(float64(n), tt.base+time.Duration(n)*tt.slope)
			}
			for _, n := range []int{1, 10, 20} {
				want := tt.base + time.Duration(n)*tt.slope
				g.Expect(m.Predict(n)).To(gomega.BeNumerically("~", want, want/10), "n = %d", n)
			}
		})
	}
}

func TestArrivalsFollowTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	a := Arrivals{TimeConstant: 10 * time.Second}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g.Expect(a.Rate(now)).To(gomega.BeZero())
	for range 500 {
		now = now.Add(200 * time.Millisecond)
		a.Add(now)
	}
	g.Expect(a.Rate(now)).To(gomega.BeNumerically("~", 5, 0.5))
	g.Expect(a.Rate(now.Add(time.Minute))).To(gomega.BeNumerically("<", 0.05))
}
