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

// startThree starts three daemons and returns their scheduler, the other two, and a
// function that restarts the scheduler.
func startThree(g *gomega.WithT, ctx context.Context, m *mesh) (scheduler, b, c *daemon, restart func() *daemon) {
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
	scheduler = daemons[id]
	delete(daemons, id)
	others := slices.Collect(maps.Values(daemons))
	return scheduler, others[0], others[1], func() *daemon {
		ends[id]()
		scheduler.stop()
		d := m.start(id, 2, "a", "b", "c")
		d.configure(g)
		keepCurrent(g, ctx, d)
		return d
	}
}

// TestDaemonsLearnThatAServerLeavesThroughTheScheduler guards against slots at a server
// that only one daemon knows to leave, also after the scheduler that knew it restarted.
func TestDaemonsLearnThatAServerLeavesThroughTheScheduler(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a, b, c, restart := startThree(g, ctx, m)
		server := b.fleet.View().Listed["d"]
		b.fleet.Announced(mangolease.Announcement{Server: server.Ref(), Leaving: true})
		time.Sleep(2 * checkInterval)
		g.Expect(a.fleet.View().MayUse("d")).To(gomega.BeFalse(), "the scheduler learns it before the next renewal is due")
		time.Sleep(500 * time.Millisecond)
		g.Expect(c.fleet.View().MayUse("d")).To(gomega.BeFalse())
		_, err := c.broker.Acquire(ctx, demand())
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("1 leaving")))
		a = restart()
		time.Sleep(time.Second)
		g.Expect(a.fleet.View().MayUse("d")).To(gomega.BeFalse())
	})
}

// TestSchedulerLearnsWhichDaemonMayNotUseAServer guards against slots that their daemon
// may not use, and against a time that keeps other daemons away too, also after the
// scheduler restarted.
func TestSchedulerLearnsWhichDaemonMayNotUseAServer(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		_, b, c, restart := startThree(g, ctx, m)
		server := b.fleet.View().Listed["d"]
		b.fleet.Announced(mangolease.Announcement{Server: server.Ref(), Backoff: 20 * time.Second})
		for restarted := range 2 {
			time.Sleep(2 * checkInterval)
			_, err := b.broker.Acquire(ctx, demand())
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("1 backing off")))
			grant, err := c.broker.Acquire(ctx, demand())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			grant.Release()
			if restarted == 0 {
				restart()
				time.Sleep(3 * time.Second)
			}
		}
	})
}
