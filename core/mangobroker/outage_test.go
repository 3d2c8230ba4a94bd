package mangobroker

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// TestDaemonsDoNotKeepAListCurrentByExchanges guards against two daemons that confirm an
// old list, or an old configuration, to each other.
func TestDaemonsDoNotKeepAListCurrentByExchanges(t *testing.T) {
	bubble(t, func(g *gomega.WithT, _ context.Context, m *mesh) {
		m.delay = 100 * time.Millisecond
		a, b := m.start("a", 1, "b"), m.start("b", 1, "a")
		a.configure(g)
		b.configure(g)
		const passed = 4 * time.Second
		time.Sleep(passed)
		for _, d := range []*daemon{a, b} {
			g.Expect(time.Since(d.fleet.View().ListRead)).To(gomega.BeNumerically(">=", passed))
			g.Expect(time.Since(d.fleet.View().RoutingRead)).To(gomega.BeNumerically(">=", passed))
		}
	})
}

// TestConfigurationIsConfirmedByItsReader guards against daemons that all read the
// configuration although another one does, and against one that takes a revision which it
// lacks for its own.
func TestConfigurationIsConfirmedByItsReader(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		const readInterval = 500 * time.Millisecond
		a, b := m.start("a", 1, "b"), m.start("b", 1, "a")
		a.configure(g)
		b.configure(g)
		for range 8 {
			time.Sleep(readInterval)
			for _, d := range []*daemon{a, b} {
				if d.scheduler() == "a" {
					g.Expect(a.fleet.Do(ctx, mangofleet.RoutingUnchanged{})).To(gomega.Succeed())
				} else {
					g.Expect(b.fleet.Do(ctx, mangofleet.RoutingUnchanged{})).To(gomega.Succeed())
				}
			}
			a.readList(g)
		}
		for _, d := range []*daemon{a, b} {
			g.Expect(time.Since(d.fleet.View().RoutingRead)).To(gomega.BeNumerically("<=", readInterval+mangopool.RenewInterval))
		}
		newer := mangofleet.RoutingConfirmed{Revision: 4}
		time.Sleep(time.Second)
		before := b.fleet.View().RoutingRead
		g.Expect(b.fleet.Do(ctx, newer)).To(gomega.Succeed())
		g.Expect(b.fleet.View().RoutingRead).To(gomega.Equal(before))
	})
}

// TestGraceNeedsFailedReadsOfOthers guards against a removed server that all daemons use
// for longer because one of them could not read the list.
func TestGraceNeedsFailedReadsOfOthers(t *testing.T) {
	const (
		away       = 4 * time.Second
		relistTime = 2 * time.Second
	)
	for _, witness := range []bool{false, true} {
		bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
			m.delay = 100 * time.Millisecond
			a, b := m.start("a", 1, "b"), m.start("b", 1, "a")
			a.configure(g)
			b.configure(g)
			time.Sleep(time.Second)
			failing := []*daemon{a}
			if witness {
				failing = append(failing, b)
			}
			for range away / time.Second {
				for _, d := range failing {
					g.Expect(d.fleet.Do(ctx, mangofleet.ReadFailed{})).To(gomega.Succeed())
				}
				time.Sleep(time.Second)
			}
			removal := mangofleet.ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "d"}}, Cursor: mangotraffic.Cursor{Position: 10}}
			g.Expect(a.fleet.Do(ctx, removal)).To(gomega.Succeed())
			removed := time.Now()
			listed := func(d *daemon) bool {
				_, ok := d.fleet.View().Listed[mangomodel.ServerID("d")]
				return ok
			}
			g.Expect(listed(a)).To(gomega.Equal(witness))
			for b.fleet.View().ListCursor.Position < 10 {
				time.Sleep(50 * time.Millisecond)
				g.Expect(a.fleet.Do(ctx, mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: 10}})).To(gomega.Succeed())
			}
			g.Expect(time.Since(removed)).To(gomega.BeNumerically("<", relistTime))
			g.Expect(listed(b)).To(gomega.Equal(witness))
			time.Sleep(relistTime - time.Since(removed) + time.Millisecond)
			g.Expect(listed(a)).To(gomega.BeFalse())
			g.Expect(listed(b)).To(gomega.BeFalse(), "the grace runs from its begin")
		})
	}
}
