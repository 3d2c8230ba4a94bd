package mangocrash

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// TestQuarantineEnds guards against daemons that keep a quarantine alive for each
// other: each repeats its last crash counts with every message for as long as it
// has them.
func TestQuarantineEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	const call mangomodel.Fingerprint = 7
	a, b, now := New(), New(), time.Now()
	a.RecordCrash(call, now)
	a.RecordCrash(call, now)
	b.RecordCrash(call, now)
	exchange := func() {
		for _, c := range a.Recent(now) {
			b.Merge("a", c, now)
		}
		for _, c := range b.Recent(now) {
			a.Merge("b", c, now)
		}
	}
	exchange()
	g.Expect(a.Crashes(call, now)).To(gomega.Equal(MaxCrashes))
	g.Expect(b.Crashes(call, now)).To(gomega.Equal(MaxCrashes))
	for end := now.Add(Retention + time.Second); now.Before(end); now = now.Add(250 * time.Millisecond) {
		exchange()
	}
	g.Expect(a.Crashes(call, now)).To(gomega.Equal(0))
	g.Expect(b.Crashes(call, now)).To(gomega.Equal(0))
}

// TestCrashAfterRetentionCountsAnew guards against counts past their retention that
// the next crash revives.
func TestCrashAfterRetentionCountsAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := New(), time.Now()
	s.RecordCrash(7, now)
	s.Merge("a", Crash{Call: 7, Count: 2}, now)
	now = now.Add(Retention + time.Second)
	s.RecordCrash(7, now)
	g.Expect(s.Crashes(7, now)).To(gomega.Equal(1))
}
