package mangoshare

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

const (
	// points is the largest accepted difference of two shares of answers in time.
	points = 0.05
	played = 30 * time.Second
)

// sixteen returns the usual demands of sixteen workspaces that together ask for a part of
// the capacity. The first one is hot times more demanding.
func sixteen(load, hot float64, returns bool) []source {
	list := make([]source, 16)
	for i := range list {
		list[i] = source{workspace: workspaceID(i), rate: load * capacity / 16, returns: returns}
	}
	list[0].rate *= hot
	return list
}

// others adds up the tallies of all but the first workspace.
func others(all map[mangomodel.WorkspaceID]*tally) tally {
	var sum tally
	for id, t := range all {
		if id != workspaceID(0) {
			sum.sent, sum.onTime, sum.granted = sum.sent+t.sent, sum.onTime+t.onTime, sum.granted+t.granted
		}
	}
	return sum
}

// TestHotWorkspaceLeavesTheOthersTheirShare guards against a workspace that sends 7.5
// times its usual demand and takes the slots of fifteen others, also if its refused
// clients return as they are told.
func TestHotWorkspaceLeavesTheOthersTheirShare(t *testing.T) {
	for _, returns := range []bool{false, true} {
		for _, load := range []float64{0.9} {
			g := gomega.NewWithT(t)
			calm := others(newWorld().play(start, played, sixteen(load, 1, returns)...))
			all := newWorld().play(start, played, sixteen(load, 7.5, returns)...)
			hot := others(all)
			t.Logf("load %v, returns %v: others %.3f calm, %.3f beside a hot one; that: %.3f", load, returns, calm.share(), hot.share(), all[workspaceID(0)].share())
			g.Expect(hot.share()).To(gomega.BeNumerically(">=", calm.share()-points))
			mean := 0.0
			for _, x := range all {
				mean += x.granted / 16
			}
			// A workspace cannot be served more often than it asks.
			for _, x := range all {
				g.Expect(x.granted).To(gomega.BeNumerically(">=", min(x.sent, mean)/2))
			}
		}
	}
}

// TestReplacedSchedulerIsFair guards against an order that depends on records that a new
// scheduler does not have.
func TestReplacedSchedulerIsFair(t *testing.T) {
	g := gomega.NewWithT(t)
	calm := others(newWorld().play(start, played, sixteen(0.85, 1, false)...))
	w := newWorld()
	for at := time.Duration(0); at < played; at += 10 * time.Second {
		w.shares = New(DefaultBasicShare)
		w.play(start.Add(at), 10*time.Second, sixteen(0.85, 7.5, false)...)
	}
	g.Expect(others(w.tallies).share()).To(gomega.BeNumerically(">=", calm.share()-points))
}

// TestRanksInOverload guards against less urgent work that gets nothing while urgent work
// asks for more than there is, against more than its minimum then, against urgent work
// that is served less often, and against refusals while slots are idle.
func TestRanksInOverload(t *testing.T) {
	tests := []struct {
		name          string
		urgent, basic float64
	}{
		{"urgent work alone above the capacity", 2, 0.03},
		{"urgent work far above the capacity", 3, 0.5},
		{"plain work alone above the capacity", 0.4, 2},
		{"both", 2, 2},
		{"neither", 0.4, 0.3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			all := newWorld().play(start, played,
				source{workspace: "urgent", priority: 0, rate: test.urgent * capacity},
				source{workspace: "basic", priority: 3, rate: test.basic * capacity})
			urgent, basic := *all["urgent"], *all["basic"]
			t.Logf("served: urgent %.3f (in time %.3f), basic %.3f (%.3f); part of the grants %.3f", urgent.served(), urgent.share(),
				basic.served(), basic.share(), basic.granted/(basic.granted+urgent.granted))
			g.Expect(urgent.served()).To(gomega.BeNumerically(">=", basic.served()-points))
			g.Expect(urgent.share()).To(gomega.BeNumerically(">=", basic.share()-points))
			grants := urgent.granted + basic.granted
			minimum := min(0.9*grants/DefaultBasicShare, 0.8*urgent.served()*basic.sent)
			g.Expect(basic.granted).To(gomega.BeNumerically(">=", minimum))
			if test.urgent < 1 {
				g.Expect(urgent.served()).To(gomega.BeNumerically(">=", 0.99))
				g.Expect(grants).To(gomega.BeNumerically(">=", 0.95*min(urgent.sent+basic.sent, capacity*played.Seconds())))
			}
			if test.urgent > 1 {
				g.Expect(basic.granted).To(gomega.BeNumerically("<=", 1.1*grants/DefaultBasicShare))
			}
		})
	}
}
