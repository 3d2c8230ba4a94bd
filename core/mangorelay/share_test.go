package mangorelay

import (
	"context"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangobroker"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// rankedBroker records the demands of calls.
type rankedBroker struct {
	Broker
	mu      sync.Mutex
	demands []mangolease.Demand
}

func (b *rankedBroker) Acquire(ctx context.Context, d mangolease.Demand) (*mangobroker.Grant, error) {
	b.mu.Lock()
	b.demands = append(b.demands, d)
	b.mu.Unlock()
	return b.Broker.Acquire(ctx, d)
}

// restrict gives the configuration two workspaces, of which "w" has priority 2, and the
// call the key of one.
func (h *harness) restrict(id mangomodel.WorkspaceID) {
	directory, _ := mangoworkspace.NewDirectory([]mangoworkspace.Workspace{
		{ID: "w", Keys: []mangoworkspace.Digest{keyOf("w")}, Priority: 2, HasPriority: true},
		{ID: "none", Keys: []mangoworkspace.Digest{keyOf("none")}},
	})
	routing := *h.fleet.View().Routing
	routing.Workspaces = directory
	h.Expect(h.fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: &routing})).To(gomega.Succeed())
	h.call.Key, h.call.HasKey = keyOf(id), true
}

// TestRankReachesSchedulerAndServers guards against a workspace's priority that does not go
// before the route's, in the queue or at the engines, also for a second prefill and for a
// stream that is resumed, and against any of it without workspaces.
func TestRankReachesSchedulerAndServers(t *testing.T) {
	for workspace, want := range map[mangomodel.WorkspaceID]mangotraffic.Priority{"w": 2, "none": 0, "": 0} {
		withHarness(t, func(h *harness) {
			h.newCall("/resume/1")
			broker := &rankedBroker{Broker: h.relay.broker}
			h.relay.broker = broker
			if workspace != "" {
				h.restrict(workspace)
			}
			h.servers.prefills["p1"] = []step{{err: errNoReply}}
			h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
			h.servers.runs["d2"] = []step{{events: events(3, 4)}}
			h.Expect(h.serve()).To(gomega.BeNil())
			h.Expect(len(h.servers.ranks)).To(gomega.BeNumerically(">=", 5), "%v", h.servers.sent)
			for _, rank := range h.servers.ranks {
				h.Expect(rank).To(gomega.Equal(want))
			}
			h.Expect(len(broker.demands)).To(gomega.BeNumerically(">=", 3))
			for _, d := range broker.demands {
				h.Expect(d.Priority).To(gomega.Equal(want))
				h.Expect(d.Workspace).To(gomega.Equal(workspace))
				h.Expect(d.Shared()).To(gomega.Equal(workspace != ""))
				h.Expect(d.ClientLeft > 0).To(gomega.Equal(workspace != ""))
			}
		})
	}
}
