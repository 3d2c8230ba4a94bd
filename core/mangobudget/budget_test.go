package mangobudget

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

var limits = Limits{Ratio: 0.2, Fixed: 10, Window: 10 * time.Second}

func take(b *Budget, now time.Time, daemons, tries int) int {
	n := 0
	for range tries {
		if b.Take(now, daemons) {
			n++
		}
	}
	return n
}

func TestOwnPart(t *testing.T) {
	tests := []struct {
		name           string
		calls, daemons int
		want           int
	}{
		{"the fixed number alone", 0, 1, 10},
		{"an equal part of it", 0, 5, 2},
		{"a share of the calls in addition", 50, 5, 12},
		{"no daemons count as one", 0, 0, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, now := New(limits), time.Now()
			for range test.calls {
				b.AddCall(now)
			}
			gomega.NewWithT(t).Expect(take(b, now, test.daemons, 100)).To(gomega.Equal(test.want))
		})
	}
}

func TestWindowSlides(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := New(limits), time.Now()
	g.Expect(take(b, now, 1, 100)).To(gomega.Equal(10))
	g.Expect(take(b, now.Add(9*time.Second), 1, 100)).To(gomega.Equal(0))
	g.Expect(take(b, now.Add(11*time.Second), 1, 100)).To(gomega.Equal(10))
}

func TestAllowanceReplacesOwnPart(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := New(limits), time.Now()
	b.SetAllowance(Allowance{Now: 3}, now)
	g.Expect(take(b, now, 1, 100)).To(gomega.Equal(3))
	g.Expect(b.Usage(now, 1)).To(gomega.Equal(Usage{Repeats: 3}))
	// After the allowance has expired, nothing was set aside for the daemon alone; after
	// a window it has its own part.
	g.Expect(take(b, now.Add(2*time.Second), 1, 100)).To(gomega.Equal(0))
	g.Expect(take(b, now.Add(limits.Window+aloneMargin), 1, 100)).To(gomega.Equal(10))
}

func TestRefund(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := New(limits), time.Now()
	b.SetAllowance(Allowance{Now: 1}, now)
	g.Expect(b.Take(now, 1)).To(gomega.BeTrue())
	b.Refund(now)
	g.Expect(b.Usage(now, 1)).To(gomega.Equal(Usage{Held: 1}))
	g.Expect(b.Take(now, 1)).To(gomega.BeTrue())
	g.Expect(b.Take(now, 1)).To(gomega.BeFalse())
}

func TestRemaining(t *testing.T) {
	g := gomega.NewWithT(t)
	const name mangotraffic.ServiceName = "llm"
	remaining := func(usages ...Usage) int {
		now := time.Now()
		l := NewLedger(mangomodel.Holder{Daemon: "self"}, func() Limits { return limits })
		holders := []mangomodel.Holder{{Daemon: "a"}, {Daemon: "b"}}
		for i, u := range usages {
			l.Renew(holders[i], Usages{name: u}, 1, time.Minute, now)
		}
		for i, u := range usages {
			l.peers[holders[i]].usages[name] = u
		}
		part := fixedPart{limits.Fixed / 3, 1 + len(usages)}
		return l.remaining([]mangotraffic.ServiceName{name}, l.self, part, limits, now)[name]
	}
	g.Expect(remaining(Usage{Calls: 100, Repeats: 5}, Usage{Calls: 50, Repeats: 10})).To(gomega.Equal(25))
	g.Expect(remaining(Usage{Repeats: 11})).To(gomega.Equal(0))
}

func TestRefundOfARetryThatWasHeldForSomeTime(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(Limits{Fixed: 2, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	g.Expect(b.Take(now, 1)).To(gomega.BeTrue())
	now = now.Add(2 * time.Second)
	b.Refund(now)
	g.Expect(b.Usage(now, 1).Repeats).To(gomega.BeZero())
}

// TestRefundOfAnEarlierAllowance guards against a refund that raises an allowance
// from which the retry was not taken: the allowance was replaced in between.
func TestRefundOfAnEarlierAllowance(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := New(limits), time.Now()
	b.SetAllowance(Allowance{Now: 1}, now)
	g.Expect(b.Take(now, 1)).To(gomega.BeTrue())
	b.SetAllowance(Allowance{Now: 2}, now)
	b.Refund(now)
	g.Expect(take(b, now, 1, 100)).To(gomega.Equal(2))
}

// TestReportedRetriesCountAtOnce guards against allowances that ignore what their
// holder reports with the same renewal: two daemons took 13 of 10 retries.
func TestReportedRetriesCountAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	self := mangomodel.Holder{Daemon: "scheduler"}
	l := NewLedger(self, func() Limits { return Limits{Fixed: 10, Window: 10 * time.Second} })
	const name mangotraffic.ServiceName = "llm"
	used := map[mangomodel.DaemonID]int{}
	for range 5 {
		l.SetAllowances(l.Renew(self, nil, 3, 10*time.Second, now), self.Daemon, now)
		for _, id := range []mangomodel.DaemonID{"a", "b"} {
			allowances := l.Renew(mangomodel.Holder{Daemon: id}, Usages{name: {Repeats: used[id]}}, 3, 10*time.Second, now)
			used[id] += allowances[name].Now
			now = now.Add(100 * time.Millisecond)
		}
	}
	g.Expect(used["a"] + used["b"]).To(gomega.BeNumerically("<=", 10))
	g.Expect(used["a"] + used["b"]).To(gomega.BeNumerically(">=", 9))
}
