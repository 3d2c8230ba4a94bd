package mangoload

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

var start = time.Unix(1_000_000, 0)

// TestBoardCountsEachReportOnce guards against calls that count twice when a daemon reports
// again, and against those of a dead daemon that count for ever.
func TestBoardCountsEachReportOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	report := Records{"s": {Loads: 2, Load: 6, Calls: 2, Seconds: 0.1}}
	for i := range 4 {
		b.Record("a", report, start.Add(time.Duration(i)*250*time.Millisecond))
	}
	b.Record("b", report, start.Add(750*time.Millisecond))
	sum := b.Records(start.Add(750 * time.Millisecond))["s"]
	g.Expect(sum.Calls).To(gomega.BeNumerically("~", 4, 1e-9))
	g.Expect(sum.Seconds).To(gomega.BeNumerically("~", 0.2, 1e-9))
	g.Expect(b.Records(start.Add(9 * time.Second))).To(gomega.BeEmpty())
	b.Record("c", report, start.Add(20*time.Second))
	g.Expect(b.reports).To(gomega.HaveLen(1))
}

// TestDaemonsWithTheSameFiguresSpread guards against daemons that all send their next call to
// the server that looked best, and against shares that single daemons do not keep.
func TestDaemonsWithTheSameFiguresSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	first, all := make(map[int]int), make(map[int]int)
	for d := range 100 {
		table := New(mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint(d))}, DefaultDistanceCost)
		table.SetShared(Records{"a": {Calls: 50, Seconds: 0.5}, "b": {Calls: 50, Seconds: 0.6}, "c": {Calls: 50, Seconds: 0.6}}, start)
		for n := range 30 {
			i, _ := table.Choose([]Candidate{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}}, start)
			if n == 0 {
				first[i]++
			}
			all[i]++
		}
	}
	for i := range 3 {
		g.Expect(first[i]).To(gomega.BeNumerically(">", 20), "%v", first)
	}
	g.Expect(all[0]).To(gomega.BeNumerically("~", 1125, 60), "%v", all)
}

// TestFreeServersElsewhereGetNothing guards against calls that leave a data centre because
// daemons begin at different servers or have calls in progress at the near ones.
func TestFreeServersElsewhereGetNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(mangomodel.Holder{Daemon: "d"}, DefaultDistanceCost)
	list := []Candidate{{ID: "near", Slots: 6, Own: 3}, {ID: "far", Slots: 6, Distance: 1}}
	for range 100 {
		i, _ := table.Choose(list, start)
		g.Expect(i).To(gomega.BeZero())
	}
	list[0].Own = 6
	_, estimates := table.Choose(list, start)
	g.Expect(estimates[1].Share).To(gomega.BeNumerically("~", 0.5, 0.01))
}

// TestMeter guards against an unevenness that a mean over the day hides.
func TestMeter(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMeter(2, 100*time.Millisecond, start)
	_, ok := m.Advance([]int{4, 0}, start.Add(60*time.Millisecond))
	g.Expect(ok).To(gomega.BeFalse())
	ratio, ok := m.Advance([]int{0, 4}, start.Add(300*time.Millisecond))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(ratio).To(gomega.BeNumerically("~", 1.2, 1e-9))
	_, ok = m.Advance([]int{0, 0}, start.Add(400*time.Millisecond))
	g.Expect(ok).To(gomega.BeFalse(), "a window without calls")
}
