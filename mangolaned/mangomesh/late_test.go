package mangomesh

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// TestLateDemandIsRefused guards against a demand whose wait limit has passed and
// that its scheduler does not refuse: its daemon would take the scheduler for
// unreachable, or the call for one that its client has cancelled.
func TestLateDemandIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet, _, addr := serve(t, g)
	services := []mangotraffic.Service{{Name: "llm", Engine: &mangotraffic.Engine{Slots: 1, KVTokens: 1000}}}
	routing, err := mangotraffic.NewRouting(1, nil, services, mangotraffic.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fleet.Do(t.Context(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	g.Expect(fleet.Do(t.Context(), mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 1}})).To(gomega.Succeed())
	peers, scheduler := NewPeers(), mangoroster.Member{Address: addr}
	for i, patience := range []time.Duration{50 * time.Millisecond, -100 * time.Millisecond, -700 * time.Millisecond, -3 * time.Second} {
		demand := mangolease.Demand{Service: "llm", Generation: &mangotraffic.Generation{Prompt: 100, MaxOutput: 10}, Patience: patience}
		for range 20 {
			_, err := peers.Acquire(t.Context(), scheduler, mangolease.ID{Number: uint64(i)}, demand)
			g.Expect(mangomodel.HasCode(err, mangomodel.CodeOverloaded)).To(gomega.BeTrue(), "wait limit %v: %v", patience, err)
		}
	}
}
