package mangooutlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

var (
	start   = time.Unix(1_000, 0)
	servers = []mangomodel.ServerID{"a", "b", "c", "d", "e", "f"}
)

// play lets daemons call the servers at random for two seconds, with the given share
// of failures at each server, and returns the board.
func play(daemons, callsPerSecond int, shares map[mangomodel.ServerID]float64) (*Board, time.Time) {
	random := rand.New(rand.NewPCG(3, 3))
	windows := make([]Window, daemons)
	now := start
	for range 2 * callsPerSecond {
		now = now.Add(time.Second / time.Duration(callsPerSecond))
		id := servers[random.IntN(len(servers))]
		windows[random.IntN(daemons)].Add(id, random.Float64() < shares[id], now)
	}
	board := NewBoard()
	for i := range windows {
		board.Record(mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint(i))}, windows[i].Counts(now), now)
	}
	return board, now
}

// TestGreyServerIsFoundByHundredsOfDaemons guards against a server that fails a part
// of its calls unnoticed: each of 195 daemons sends it a call in six seconds.
func TestGreyServerIsFoundByHundredsOfDaemons(t *testing.T) {
	everywhere := func(share float64) map[mangomodel.ServerID]float64 {
		m := make(map[mangomodel.ServerID]float64)
		for _, id := range servers {
			m[id] = share
		}
		return m
	}
	grey := func(share, others float64, ids ...mangomodel.ServerID) map[mangomodel.ServerID]float64 {
		m := everywhere(others)
		for _, id := range ids {
			m[id] = share
		}
		return m
	}
	tests := []struct {
		name   string
		shares map[mangomodel.ServerID]float64
		want   []mangomodel.ServerID
	}{
		{"no failures", everywhere(0), nil},
		{"a few failures everywhere", everywhere(0.03), nil},
		{"a fault of the network", everywhere(0.5), nil},
		{"one grey server", grey(0.45, 0.02, "c"), []mangomodel.ServerID{"c"}},
		{"two grey servers", grey(0.9, 0, "c", "e"), []mangomodel.ServerID{"c", "e"}},
		{"at most a third", grey(1, 0, "a", "b", "c"), nil},
	}
	for _, daemons := range []int{6, 195} {
		for _, test := range tests {
			t.Run(fmt.Sprint(test.name, " ", daemons), func(t *testing.T) {
				board, now := play(daemons, 190, test.shares)
				got := board.Outliers(servers, now)
				if test.name == "at most a third" {
					gomega.NewWithT(t).Expect(len(got)).To(gomega.BeNumerically("<=", 2))
					return
				}
				gomega.NewWithT(t).Expect(got).To(gomega.ConsistOf(test.want))
			})
		}
	}
}

func TestOldCountsAndReportsAreNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	var w Window
	for range 10 {
		w.Add("a", true, start)
	}
	g.Expect(w.Counts(start.Add(halfWindow))).To(gomega.HaveKeyWithValue(mangomodel.ServerID("a"), Counts{10, 10}))
	g.Expect(w.Counts(start.Add(3 * halfWindow))).To(gomega.BeEmpty())
	board := NewBoard()
	board.Record(mangomodel.Holder{Daemon: "d"}, map[mangomodel.ServerID]Counts{"a": {10, 10}}, start)
	g.Expect(board.Outliers(servers, start)).To(gomega.HaveLen(1))
	g.Expect(board.Outliers(servers, start.Add(reportTTL+time.Millisecond))).To(gomega.BeEmpty())
}

// TestOnlyServerIsNeverAnOutlier keeps a service of one or two servers in use.
func TestOnlyServerIsNeverAnOutlier(t *testing.T) {
	board := NewBoard()
	board.Record(mangomodel.Holder{Daemon: "d"}, map[mangomodel.ServerID]Counts{"a": {10, 10}}, start)
	gomega.NewWithT(t).Expect(board.Outliers([]mangomodel.ServerID{"a", "b"}, start)).To(gomega.BeEmpty())
}
