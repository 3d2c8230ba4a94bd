package mangosched

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

func reportBoot(s *Scheduler, now time.Time, id mangomodel.ServerID, name string) {
	s.RecordLoad(now, mangomodel.Load{Server: id, Boot: name, At: now})
}

// A released grant with a failed stream already marks the server as down. The
// refused connection that follows must still confirm the crash.
func TestCrashIsRecordedWhileServerIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(2, 4)
	reportBoot(s, start, "d0", "one")
	d := demand("x", mangomodel.RankBasic)
	s.Acquire(start, shard0, d)
	failed := s.Grants()[0].Decode
	reportBoot(s, start, failed, "one")
	s.Release(start, grantID(self, "x"), mangomodel.Usage{Failed: failed})
	s.ServerUnreachable(start.Add(time.Second), failed, true)
	g.Expect(s.Suspicions(start.Add(time.Second))).To(gomega.HaveLen(1))
}

func TestStreamFailureOnRunningServerIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	reportBoot(s, start, "d0", "one")
	s.Acquire(start, shard0, demand("x", mangomodel.RankBasic))
	s.Release(start, grantID(self, "x"), mangomodel.Usage{Failed: "d0"})
	g.Expect(s.crashRecords.Suspected(start, mangomodel.FingerprintOf("w", "x"))).To(gomega.BeTrue(), "until the next load report")
	reportBoot(s, start.Add(time.Second), "d0", "one")
	g.Expect(s.crashRecords.Suspected(start.Add(time.Second), mangomodel.FingerprintOf("w", "x"))).To(gomega.BeFalse())
}

func TestWaitingDemandIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	s.ServerUnreachable(start, "d0", false)
	s.Acquire(start, shard0, demand("x", mangomodel.RankBasic))
	g.Expect(s.waiting).To(gomega.HaveLen(1))
	s.MergeSuspicions(start, []mangomodel.Suspicion{{
		Fingerprint: mangomodel.FingerprintOf("w", "x"), Alone: true, Last: start,
		Crashes: []mangomodel.CrashID{{Server: "d0", Boot: "one"}},
	}})
	_, refused := decisions(s)
	g.Expect(refused).To(gomega.HaveLen(1))
}
