package mangoshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoqueue"
	"mangolane/core/mangotraffic"
)

func pending(output mangomodel.Tokens, change func(d *mangolease.Demand)) *mangolease.PendingDemand {
	d := mangolease.Demand{
		Service: "llm", Workspace: "w", Generation: &mangotraffic.Generation{Prompt: 1000, MaxOutput: 2 * output, OutputHint: output},
		OnTimeFor: time.Second, Patience: 2 * time.Second,
	}
	if change != nil {
		change(&d)
	}
	return mangolease.NewPendingDemand(mangolease.ID{}, d, start)
}

// TestQueueWithoutWorkspacesIsUnchanged guards against another order of the queues of
// deployments without workspaces.
func TestQueueWithoutWorkspacesIsUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	shares := New(DefaultBasicShare)
	for range 500 {
		g := gomega.NewWithT(t)
		var queue []*mangolease.PendingDemand
		for range random.IntN(40) {
			queue = append(queue, pending(mangomodel.Tokens(1+random.IntN(5)), func(d *mangolease.Demand) {
				d.Workspace, d.Service = "", mangotraffic.ServiceName([]string{"a", "b"}[random.IntN(2)])
				d.Priority, d.Prefilled = mangotraffic.Priority(random.IntN(3)), random.IntN(8) == 0
				d.OnTimeFor, d.Age = time.Duration(random.IntN(3)-1)*time.Second, time.Duration(random.IntN(3))
			}))
		}
		want := slices.Clone(queue)
		slices.SortStableFunc(want, func(a, b *mangolease.PendingDemand) int { return mangoqueue.Compare(a, b, start) })
		Sort(shares, queue, start)
		for i := range queue {
			g.Expect(queue[i]).To(gomega.BeIdenticalTo(want[i]))
			g.Expect(queue[i].Place).To(gomega.BeZero())
			shares.Arrived(&queue[i].Demand, start)
			shares.Granted(queue[i], start)
		}
		g.Expect(shares.services).To(gomega.BeEmpty())
	}
}

// TestOrderOfSharedDemands checks each step of the order against the next one.
func TestOrderOfSharedDemands(t *testing.T) {
	rich := func(d *mangolease.Demand) { d.Workspace = "rich" }
	tests := []struct {
		name          string
		first, second *mangolease.PendingDemand
		returned      bool
	}{
		{name: "a computed KV cache first", first: pending(900, func(d *mangolease.Demand) { d.Workspace, d.Prefilled, d.Priority = "rich", true, 9 }), second: pending(1, nil)},
		{name: "on time before late", first: pending(900, rich), second: pending(1, func(d *mangolease.Demand) { d.OnTimeFor = -1 })},
		{name: "rank before share", first: pending(900, rich), second: pending(1, func(d *mangolease.Demand) { d.Priority = 1 })},
		{name: "share before return and cost", first: pending(900, nil), second: pending(1, rich), returned: true},
		{name: "return before cost", first: pending(900, nil), second: pending(1, nil), returned: true},
		{name: "cost", first: pending(1, nil), second: pending(2, func(d *mangolease.Demand) { d.Age = time.Second })},
		{name: "age", first: pending(1, func(d *mangolease.Demand) { d.Age = time.Second }), second: pending(1, nil)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shares := New(DefaultBasicShare)
			shares.Granted(pending(500, rich), start)
			returned := test.first
			if test.second.Demand.Workspace == "rich" {
				returned = test.second
			}
			returned.Place.Returned = test.returned
			queue := []*mangolease.PendingDemand{test.second, test.first}
			Sort(shares, queue, start)
			gomega.NewWithT(t).Expect(queue[0]).To(gomega.BeIdenticalTo(test.first))
		})
	}
}

// TestReservedGrantsGoToAllRanks guards against a second rank whose reserved grants keep
// the others from having any.
func TestReservedGrantsGoToAllRanks(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := New(4)
	served := make(map[mangotraffic.Priority]int)
	for range 400 {
		var queue []*mangolease.PendingDemand
		for _, p := range []mangotraffic.Priority{0, 1, 2} {
			queue = append(queue, pending(100, func(d *mangolease.Demand) { d.Priority = p }))
			for range 2 {
				shares.Arrived(&queue[len(queue)-1].Demand, start)
			}
		}
		Sort(shares, queue, start)
		shares.Granted(queue[0], start)
		served[queue[0].Demand.Priority]++
		g.Expect(queue[0].Place.Reserved).To(gomega.Equal(queue[0].Demand.Priority > 0))
	}
	g.Expect(served).To(gomega.Equal(map[mangotraffic.Priority]int{0: 300, 1: 50, 2: 50}))
}

// TestLateDemandHasNoReservedGrant guards against a late demand, for which servers keep
// more slots free, that holds up urgent ones which could be granted.
func TestLateDemandHasNoReservedGrant(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := New(2)
	for range 6 {
		urgent, late := pending(1, nil), pending(1, func(d *mangolease.Demand) { d.Priority, d.OnTimeFor = 1, -1 })
		queue := []*mangolease.PendingDemand{late, urgent}
		shares.Arrived(&urgent.Demand, start)
		shares.Arrived(&late.Demand, start)
		Sort(shares, queue, start)
		g.Expect(queue[0]).To(gomega.BeIdenticalTo(urgent))
		shares.Granted(queue[0], start)
	}
}

// BenchmarkSort sorts a full queue of one daemon.
func BenchmarkSort(b *testing.B) {
	shares := New(DefaultBasicShare)
	queue := make([]*mangolease.PendingDemand, 2000)
	for i := range queue {
		queue[i] = pending(mangomodel.Tokens(1+i%97), func(d *mangolease.Demand) {
			d.Workspace, d.Priority = workspaceID(i%260), mangotraffic.Priority(i%3)
		})
		shares.Arrived(&queue[i].Demand, start)
	}
	for b.Loop() {
		Sort(shares, queue, start)
		shares.Granted(queue[0], start)
	}
}

// TestStreamThatGoesOnTakesNoReservedTurns guards against a rank that gets no server, since a
// stream of it waits for those of one build.
func TestStreamThatGoesOnTakesNoReservedTurns(t *testing.T) {
	grants := func(waits bool) (basic int) {
		s, now := New(DefaultBasicShare), start
		var queue []*mangolease.PendingDemand
		arrive := func(priority mangotraffic.Priority, bound bool) {
			p := pending(100, func(d *mangolease.Demand) {
				d.Workspace, d.Priority, d.Bound = mangomodel.WorkspaceID(fmt.Sprint(priority)), priority, bound
			})
			p.ArrivedAt, p.OnTimeUntil, p.Deadline = now, now.Add(500*time.Millisecond), now.Add(time.Hour)
			s.Arrived(&p.Demand, now)
			queue = append(queue, p)
		}
		if waits {
			arrive(9, true)
		}
		for range 120 {
			now = now.Add(50 * time.Millisecond)
			for range 6 {
				arrive(0, false)
			}
			arrive(9, false)
			Sort(s, queue, now)
			free := 3
			queue = slices.DeleteFunc(queue, func(p *mangolease.PendingDemand) bool {
				if p.Demand.Bound || free == 0 {
					return p.Late(now)
				}
				free--
				s.Granted(p, now)
				if p.Demand.Priority > 0 {
					basic++
				}
				return true
			})
		}
		return basic
	}
	g := gomega.NewWithT(t)
	g.Expect(grants(true)).To(gomega.BeNumerically(">=", grants(false)*3/4))
}
