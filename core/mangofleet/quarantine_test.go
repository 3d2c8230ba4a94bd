package mangofleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoquarantine"
)

// TestSchedulerRefusesQuarantinedParts guards against leases for calls of daemons that do
// not know of a quarantine yet, and against a herd of calls when it ends.
func TestSchedulerRefusesQuarantinedParts(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"))
		acquire := func(parts ...mangomodel.PartID) *mangomodel.Fault {
			d := generation(100, 50)
			d.Parts = parts
			id, _, err := x.acquire(d)
			if err != nil {
				return mangomodel.AsFault(err, mangomodel.StepAdmission)
			}
			x.do(Release{Lease: id})
			return nil
		}
		x.do(MergeQuarantine{mangoquarantine.Message{Verdicts: []mangoquarantine.Verdict{{Part: "p", Crashes: 2, Age: time.Second}}}})
		f := acquire("a", "p")
		x.Expect(f.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
		x.Expect(f.Run).To(gomega.Equal(mangomodel.RunNot))
		x.Expect(f.RetryAfter).To(gomega.BeNumerically(">", time.Second))
		x.Expect(acquire("a")).To(gomega.BeNil())
		time.Sleep(f.RetryAfter)
		x.Expect(acquire("p")).To(gomega.BeNil())
		x.Expect(acquire("p", "b").RetryAfter).To(gomega.Equal(mangoquarantine.ProbeInterval))
		x.do(CallStarted{Parts: []mangomodel.PartID{"p"}})
		x.Expect(acquire("p", "b")).To(gomega.BeNil())
		x.Expect(x.fleet.Do(context.Background(), AdmitCall{Service: engines, Parts: []mangomodel.PartID{"p"}})).To(gomega.Succeed())
		x.Expect(x.observed.parts).To(gomega.HaveLen(2))
	})
}

// TestQueuedCallsAreRefusedWhenTheirPartIsQuarantined guards against calls that wait in the
// queue while a part of their prompt is quarantined, and that are all sent at its end
// without a probe.
func TestQueuedCallsAreRefusedWhenTheirPartIsQuarantined(t *testing.T) {
	bubble(t, func(x *fixture) {
		const waiting = 5
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"))
		first, _ := x.mustAcquire(generation(9000, 100))
		refused := make(chan error, waiting)
		granted := make(chan error, waiting)
		for range waiting {
			d := generation(9000, 100)
			d.Parts, d.Patience = []mangomodel.PartID{"p"}, time.Minute
			go func() {
				if _, _, err := x.acquire(d); err != nil {
					refused <- err
				} else {
					granted <- nil
				}
			}()
		}
		synctest.Wait()
		verdict := mangoquarantine.Verdict{Part: "p", Crashes: 2, Age: time.Second}
		x.do(MergeQuarantine{mangoquarantine.Message{Verdicts: []mangoquarantine.Verdict{verdict}}})
		time.Sleep(queueInterval)
		synctest.Wait()
		x.Expect(refused).To(gomega.HaveLen(waiting))
		f := mangomodel.AsFault(<-refused, mangomodel.StepAdmission)
		x.Expect(f.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
		x.Expect(f.RetryAfter).To(gomega.BeNumerically(">", time.Second))
		x.do(Release{Lease: first})
		x.Expect(granted).To(gomega.BeEmpty())
	})
}
