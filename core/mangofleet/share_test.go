package mangofleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// configure installs a revision with two workspaces, of which the second has a priority.
func (x *fixture) configure(rev mangomodel.Revision, priority int) {
	directory, problems := mangoworkspace.NewDirectory([]mangoworkspace.Workspace{
		{ID: "plain"}, {ID: "ranked", Priority: priority, HasPriority: true},
	})
	x.Expect(problems).To(gomega.BeEmpty())
	routing, err := mangotraffic.NewRouting(rev, []mangotraffic.Route{
		{Name: "r", Prefix: "/", Priority: 5, Targets: []mangotraffic.Target{{Service: engines}}},
	}, []mangotraffic.Service{
		{Name: engines, Engine: &mangotraffic.Engine{Slots: 4, KVTokens: 10_000, TokensPerEvent: 10}}, {Name: app},
	}, mangotraffic.Limits{}, mangotraffic.WithWorkspaces(directory))
	x.Expect(err).NotTo(gomega.HaveOccurred())
	x.do(InstallRouting{Routing: routing})
}

func shared(w mangomodel.WorkspaceID, output mangomodel.Tokens) mangolease.Demand {
	d := generation(1000, output)
	d.Workspace, d.Route, d.Priority, d.ClientLeft = w, "r", 5, 4*time.Second
	return d
}

// order acquires demands that wait for one engine with its slots taken, and returns the
// names of those that were granted in their order, as slots become free.
func (x *fixture) order(demands map[string]mangolease.Demand, meanwhile func()) []string {
	var taken []mangolease.ID
	for range 4 {
		id, _ := x.mustAcquire(generation(1000, 100))
		x.do(PrefillDone{Lease: id})
		taken = append(taken, id)
	}
	var (
		mu      sync.Mutex
		order   []string
		running sync.WaitGroup
	)
	for name, d := range demands {
		id := x.id()
		running.Go(func() {
			if x.fleet.Do(context.Background(), Acquire{Lease: id, Demand: d}) == nil {
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	meanwhile()
	for _, id := range taken {
		x.do(Release{Lease: id})
		time.Sleep(10 * time.Millisecond)
	}
	running.Wait()
	return order
}

// TestPriorityChangesWhileCallsWait guards against a queue that goes on by a priority that
// a new configuration has changed, or that a daemon sent from an older one.
func TestPriorityChangesWhileCallsWait(t *testing.T) {
	for _, queued := range []bool{true, false} {
		for priority, want := range map[int][]string{0: {"ranked", "plain"}, 9: {"plain", "ranked"}} {
			bubble(t, func(x *fixture) {
				x.list(1, engineList(1)...)
				x.configure(2, 5)
				change := func() { x.configure(3, priority) }
				if !queued {
					change()
				}
				a, b := shared("plain", 100), shared("ranked", 101)
				a.Revision, b.Revision = 2, 2
				if priority == 9 {
					a, b = shared("plain", 101), shared("ranked", 100)
				}
				got := x.order(map[string]mangolease.Demand{"plain": a, "ranked": b}, func() {
					if queued {
						change()
					}
				})
				x.Expect(got).To(gomega.Equal(want), "priority %d, queued %v", priority, queued)
			})
		}
	}
}

// TestClientThatReturnsAsToldGoesFirst guards against a client that is refused again,
// although it came back when it was told to, because cheaper calls arrive all the time.
func TestClientThatReturnsAsToldGoesFirst(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		call  mangomodel.Fingerprint
		first string
	}{
		{"as told", 1200 * time.Millisecond, 7, "returned"},
		{"at the end of its time", 2100 * time.Millisecond, 7, "returned"},
		{"too early", 500 * time.Millisecond, 7, "new"},
		{"too late", 2500 * time.Millisecond, 7, "new"},
		{"another call", 1200 * time.Millisecond, 8, "new"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.configure(2, 5)
				d := shared("plain", 200)
				d.Call, d.Patience = 7, 0
				_, _, err := x.acquire(d)
				x.Expect(err).To(gomega.HaveOccurred())
				x.list(1, engineList(1)...)
				time.Sleep(test.after)
				d.Call, d.Patience = test.call, 2*time.Second
				got := x.order(map[string]mangolease.Demand{"returned": d, "new": shared("plain", 100)}, func() {})
				x.Expect(got).To(gomega.HaveLen(2))
				x.Expect(got[0]).To(gomega.Equal(test.first))
			})
		})
	}
}

// TestHotWorkspaceAtEngines plays a workspace with a burst beside others at real engines'
// limits of slots and memory: those that send as usual must be granted in time.
func TestHotWorkspaceAtEngines(t *testing.T) {
	inTime := make(map[bool]float64)
	for _, shares := range []bool{true, false} {
		bubble(t, func(x *fixture) {
			x.list(1, engineList(4)...)
			x.configure(2, 5)
			var (
				mu          sync.Mutex
				sent, timed float64
				running     sync.WaitGroup
			)
			// 4 engines run 32 generations of 500 tokens a second; the others ask for 20.
			for i := range 60 * 6 {
				w := mangomodel.WorkspaceID("hot")
				if i%3 == 0 {
					w = mangomodel.WorkspaceID(fmt.Sprint("w", i/3%15))
				}
				output := mangomodel.Tokens(50 + (i*i*37)%900)
				d := shared(w, 500)
				d.Generation = &mangotraffic.Generation{Prompt: 1000, MaxOutput: 1000, OutputHint: output}
				if !shares {
					d.Workspace, d.Route = "", ""
				}
				id := x.id()
				running.Go(func() {
					began := time.Now()
					err := x.fleet.Do(context.Background(), Acquire{Lease: id, Demand: d})
					mu.Lock()
					if w != "hot" {
						sent++
						if err == nil && time.Since(began) <= d.OnTimeFor {
							timed++
						}
					}
					mu.Unlock()
					if err == nil {
						x.do(PrefillDone{Lease: id})
						time.Sleep(time.Duration(output) * time.Millisecond)
						x.do(Release{Lease: id})
					}
				})
				time.Sleep(time.Second / 60)
			}
			running.Wait()
			inTime[shares] = timed / sent
		})
	}
	t.Logf("others in time: %.3f with shares, %.3f without", inTime[true], inTime[false])
	gomega.NewWithT(t).Expect(inTime[true]).To(gomega.BeNumerically(">=", 0.95))
}
