package mangoprocess_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangoload"
)

// plan returns a load on some daemons.
func (s *site) plan(duration time.Duration, answer mangomodel.Tokens, daemons ...string) mangoload.Plan {
	p := mangoload.Plan{
		Workspace: "demo", Key: "key", Model: "summary-llm", Rates: [mangomodel.Ranks]float64{2, 2},
		Prompt: 300, Answer: answer, Duration: duration, Seed: 1,
	}
	for _, id := range daemons {
		p.Fronts = append(p.Fronts, s.addrs[id+"front"])
	}
	return p
}

func (s *site) send(p mangoload.Plan) <-chan []mangoload.Outcome {
	done := make(chan []mangoload.Outcome, 1)
	go func() { done <- mangoload.Send(s.t.Context(), p) }()
	return done
}

// whole checks that every request got its whole answer or, if that is
// allowed, was refused as not run.
func (s *site) whole(outcomes []mangoload.Outcome, refusals bool) {
	for i, o := range outcomes {
		refused := o.Fault.Message != "" && o.Fault.Run == mangomodel.RunNot
		s.g.Expect(o.Complete || refusals && refused).To(gomega.BeTrue(), "request %d: %+v", i, o)
		s.g.Expect(o.Wrong).To(gomega.BeFalse(), "request %d: %+v", i, o)
	}
}

func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	s := newSite(t)
	done := s.send(s.plan(6*time.Second, 300, "a1", "a2"))
	time.Sleep(3 * time.Second)
	s.signal("a2", syscall.SIGTERM)
	s.whole(<-done, true)
	s.g.Expect(s.processes["a2"].Wait()).To(gomega.Succeed(), "the daemon ends by itself")
	delete(s.processes, "a2")
	s.g.Eventually(s.held, 10*time.Second).Should(gomega.BeZero())
}

func TestKilledDaemonLeavesNoEngineMemoryHeld(t *testing.T) {
	s := newSite(t)
	victims := s.send(s.plan(2*time.Second, 2000, "a2"))
	others := s.send(s.plan(8*time.Second, 100, "a1"))
	time.Sleep(3 * time.Second)
	s.g.Expect(s.held()).To(gomega.BeNumerically(">", 0))
	s.signal("a2", syscall.SIGKILL)
	for _, o := range <-victims {
		s.g.Expect(o.Complete).To(gomega.BeFalse(), "an answer that was cut off is not taken for whole")
	}
	s.whole(<-others, false)
	s.g.Eventually(s.held, 20*time.Second).Should(gomega.BeZero())
	s.g.Eventually(func() int { return s.status("a1").Grants }, 10*time.Second).Should(gomega.BeZero())
}

func TestPausedDaemonRunsNothingTwice(t *testing.T) {
	s := newSite(t)
	var running sync.WaitGroup
	stop := time.Now().Add(12 * time.Second)
	for i := range 8 {
		running.Go(func() { s.retireUntil(i, stop) })
	}
	generation := s.send(s.plan(10*time.Second, 100, "a1"))
	for range 2 {
		time.Sleep(time.Second)
		s.signal("a2", syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		s.signal("a2", syscall.SIGCONT)
	}
	running.Wait()
	s.whole(<-generation, true)
	runs := s.retirements()
	s.g.Expect(len(runs)).To(gomega.BeNumerically(">", 8))
	for op, n := range runs {
		s.g.Expect(n).To(gomega.Equal(1), op)
	}
	s.g.Eventually(s.held, 20*time.Second).Should(gomega.BeZero())
}

// retireUntil retires one hat after the other, each with resends to the other
// daemon until it gets an answer.
func (s *site) retireUntil(worker int, stop time.Time) {
	for i := 0; time.Now().Before(stop); i++ {
		op := fmt.Sprintf("hat %d of worker %d", i, worker)
		header := http.Header{mangowire.HeaderIdempotency: {op}}
		for try := range 6 {
			front := []string{"a1front", "a2front"}[(i+try)%2]
			if s.post(front, "/v1/call/demo/retire", header, op, nil) == nil || time.Now().After(stop) {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
