package mangobroker

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestLoadsReachAllDaemons guards against a daemon with few calls that sends them to a
// server that only others know to be slow, and against records that are sent although loads
// are not estimated.
func TestLoadsReachAllDaemons(t *testing.T) {
	for _, estimated := range []bool{true, false} {
		bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
			if estimated {
				m.options = []mangofleet.Option{mangofleet.WithEstimatedLoads(mangoload.DefaultDistanceCost)}
			}
			list := []*daemon{m.start("a", 1), m.start("b", 1, "a"), m.start("c", 1, "a")}
			cmd := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 9}}
			for _, id := range []mangomodel.ServerID{"slow", "s2", "s3"} {
				cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &mangotraffic.Server{ID: id, Service: service, DataCentre: "a1", Slots: 2}})
			}
			for _, d := range list {
				d.configure(g)
			}
			saw := func(d *daemon, id mangomodel.ServerID, took time.Duration) {
				g.Expect(d.fleet.Do(ctx, mangofleet.Observe{Observation: mangolease.Observation{Server: id, Took: took}})).To(gomega.Succeed())
			}
			for i := range 60 {
				for _, d := range list {
					if i%10 == 0 {
						g.Expect(d.fleet.Do(ctx, cmd)).To(gomega.Succeed())
					}
				}
				for _, d := range list[:2] {
					saw(d, "slow", time.Second)
					saw(d, "s2", 20*time.Millisecond)
					saw(d, "s3", 20*time.Millisecond)
				}
				saw(list[2], "s2", 20*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
			}
			atSlow := 0
			for range 30 {
				grant, err := list[2].broker.Acquire(ctx, mangolease.Demand{Service: service, OnTimeFor: time.Second, Patience: time.Second})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if grant.Lease.Server.ID == "slow" {
					atSlow++
				}
				grant.Release()
			}
			if estimated {
				g.Expect(atSlow).To(gomega.BeNumerically("<=", 1))
			} else {
				g.Expect(atSlow).To(gomega.BeNumerically(">", 1))
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			g.Expect(m.records > 0).To(gomega.Equal(estimated))
		})
	}
}
