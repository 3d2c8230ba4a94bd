package mangosched

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

func TestSlowServerGetsNoDemandThatWouldMissItsTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(2, 20)
	for range 50 {
		for n := 1; n <= 20; n++ {
			s.servers["d0"].StepModel.Add(float64(n), 40*time.Millisecond)
		}
	}
	urgent := demand("urgent", mangomodel.RankUrgent)
	urgent.TPOT = 31 * time.Millisecond
	basic := demand("basic", mangomodel.RankBasic)
	basic.TPOT = 60 * time.Millisecond
	s.Acquire(start, shard0, urgent)
	s.Acquire(start, shard0, basic)
	placed := make(map[mangomodel.Rank]mangomodel.ServerID)
	for _, grant := range s.Grants() {
		placed[grant.Rank] = grant.Decode
	}
	g.Expect(placed).To(gomega.Equal(map[mangomodel.Rank]mangomodel.ServerID{
		mangomodel.RankUrgent: "d1", mangomodel.RankBasic: "d0",
	}))
}

func TestStepPredictionRecoversOnIdleServer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 20)
	for range 200 {
		s.servers["d0"].StepModel.Add(10, 200*time.Millisecond)
	}
	d := demand("x", mangomodel.RankUrgent)
	d.TPOT = 31 * time.Millisecond
	g.Expect(s.servers["d0"].MeetsTargets(d)).To(gomega.BeFalse())
	now := start
	for range 2400 {
		now = now.Add(500 * time.Millisecond)
		reportBoot(s, now, "d0", "one")
	}
	g.Expect(s.servers["d0"].MeetsTargets(d)).To(gomega.BeTrue(), "after 20 minutes without work")
}
