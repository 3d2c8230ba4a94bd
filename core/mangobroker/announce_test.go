package mangobroker

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
)

// TestDaemonsLearnThatAServerLeavesThroughTheScheduler guards against slots at a server
// that only one daemon knows to leave, also after the scheduler that knew it restarted.
func TestDaemonsLearnThatAServerLeavesThroughTheScheduler(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		daemons := map[mangomodel.DaemonID]*daemon{"a": m.start("a", 1), "b": m.start("b", 1, "a"), "c": m.start("c", 1, "a")}
		ends := make(map[mangomodel.DaemonID]context.CancelFunc)
		for id, d := range daemons {
			d.configure(g)
			var listCtx context.Context
			listCtx, ends[id] = context.WithCancel(ctx)
			keepCurrent(g, listCtx, d)
		}
		time.Sleep(3 * time.Second)
		id := daemons["a"].scheduler()
		a := daemons[id]
		delete(daemons, id)
		others := slices.Collect(maps.Values(daemons))
		b, c := others[0], others[1]
		server := b.fleet.View().Listed["d"]
		b.fleet.Announced(mangolease.Announcement{Server: server.Ref(), Leaving: true})
		time.Sleep(2 * checkInterval)
		g.Expect(a.fleet.View().MayUse("d")).To(gomega.BeFalse(), "the scheduler learns it before the next renewal is due")
		time.Sleep(500 * time.Millisecond)
		g.Expect(c.fleet.View().MayUse("d")).To(gomega.BeFalse())
		_, err := c.broker.Acquire(ctx, demand())
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("1 leaving")))
		ends[id]()
		a.stop()
		a = m.start(id, 2, "a", "b", "c")
		a.configure(g)
		keepCurrent(g, ctx, a)
		time.Sleep(time.Second)
		g.Expect(a.fleet.View().MayUse("d")).To(gomega.BeFalse())
	})
}
