package mangobroker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// limit is that of the workspace acme in requests.
var limit = mangoworkspace.Limit{Rate: 20, Burst: 20}

// restrict installs a configuration with a limited workspace.
func (d *daemon) restrict(g *gomega.WithT, l mangoworkspace.Limit) {
	document := d.fleet.View().Routing.Document()
	dir, _ := mangoworkspace.NewDirectory([]mangoworkspace.Workspace{{ID: "acme", Limit: l}})
	routing, err := mangotraffic.NewRouting(document.Revision+1, document.Routes, document.Services, document.Limits, mangotraffic.WithWorkspaces(dir))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
}

// take plays a call of acme.
func (d *daemon) take() error {
	return d.fleet.Do(context.Background(), mangofleet.TakeQuota{Workspace: "acme"})
}

// quotaFleet starts some daemons whose configuration limits acme, and waits until they
// agree on the accountant and its bucket is full.
func quotaFleet(g *gomega.WithT, ctx context.Context, m *mesh, n int) []*daemon {
	var list []*daemon
	for i := range n {
		d := m.start(mangomodel.DaemonID(fmt.Sprint("d", i)), 1, "d0", "d1", "d2")
		d.configure(g)
		d.restrict(g, limit)
		list = append(list, d)
	}
	keepCurrent(g, ctx, list...)
	time.Sleep(15 * time.Second)
	return list
}

// sides returns the index of the accountant, and those of the other daemons.
func sides(g *gomega.WithT, list []*daemon) (accountant *daemon, others []*daemon) {
	m, ok := list[0].fleet.View().Accountant()
	g.Expect(ok).To(gomega.BeTrue())
	for _, d := range list {
		if d.broker.self.Holder == m.Holder {
			accountant = d
		} else {
			others = append(others, d)
		}
	}
	return accountant, others
}

// TestDaemonsShareAQuota guards against daemons that each use the whole quota, and against
// a call that is refused although the others have left room for it.
func TestDaemonsShareAQuota(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := quotaFleet(g, ctx, m, 4)
		_, others := sides(g, list)
		for i := range 20 {
			g.Expect(others[i%2].take()).To(gomega.Succeed(), "call %d of the burst", i)
		}
		var f *mangomodel.Fault
		for range 4 {
			if err := others[2].take(); err != nil {
				f = mangomodel.AsFault(err, mangomodel.StepCall)
			}
		}
		g.Expect(f).NotTo(gomega.BeNil())
		g.Expect(f.Code).To(gomega.Equal(mangomodel.CodeQuotaExceeded))
		g.Expect(f.RetryAfter).To(gomega.BeNumerically(">", 0))
		time.Sleep(f.RetryAfter)
		g.Expect(others[2].take()).To(gomega.Succeed(), "after the time that the refusal named")
	})
}

// TestAccountantThatDiesIsReplaced guards against daemons that refuse calls for long, or
// that get a new burst, when the accountant dies.
func TestAccountantThatDiesIsReplaced(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := quotaFleet(g, ctx, m, 4)
		accountant, others := sides(g, list)
		m.set(accountant.broker.self.Address, true)
		began, passed := time.Now(), 0
		var first time.Duration
		for time.Since(began) < 8*time.Second {
			began := began
			if others[passed%3].take() == nil {
				passed++
				if first == 0 {
					first = time.Since(began)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(first).To(gomega.BeNumerically("<", 4*time.Second))
		g.Expect(passed).To(gomega.BeNumerically(">", 40), "three of four shares for some seconds")
		g.Expect(passed).To(gomega.BeNumerically("<=", 8*20+20))
	})
}

// TestLoneDaemonUsesItsPart guards against a daemon that reaches no other and uses the
// whole quota, or nothing of it.
func TestLoneDaemonUsesItsPart(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := quotaFleet(g, ctx, m, 4)
		_, others := sides(g, list)
		for _, d := range list {
			if d != others[0] {
				m.set(d.broker.self.Address, true)
			}
		}
		began, passed := time.Now(), 0
		for time.Since(began) < 12*time.Second {
			if others[0].take() == nil {
				passed++
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(passed).To(gomega.BeNumerically(">", 20))
		g.Expect(passed).To(gomega.BeNumerically("<=", 12*20/4+20/4+5), "a quarter, and some calls from a loan")
	})
}

// TestNothingIsSentWithoutLimits guards against a deployment without limits that sends or
// counts anything for them.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a, b := m.start("a", 1), m.start("b", 1, "a")
		for _, d := range []*daemon{a, b} {
			d.configure(g)
			d.restrict(g, mangoworkspace.Limit{})
		}
		keepCurrent(g, ctx, a, b)
		time.Sleep(3 * time.Second)
		g.Expect(a.take()).To(gomega.Succeed())
		g.Expect(m.asks).To(gomega.Equal(0))
		for _, d := range []*daemon{a, b} {
			g.Expect(d.fleet.View().QuotaReport()).To(gomega.BeNil())
			g.Expect(d.fleet.View().QuotaReply(a.broker.self.Holder)).To(gomega.Equal(mangofleet.QuotaReply{}))
			g.Expect(d.fleet.View().QuotaReply(b.broker.self.Holder)).To(gomega.Equal(mangofleet.QuotaReply{}))
		}
	})
}

// TestAskWaitsForNoLongerThanItsTime guards against a call that waits for an accountant
// that doesn't answer.
func TestAskWaitsForNoLongerThanItsTime(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := quotaFleet(g, ctx, m, 4)
		accountant, others := sides(g, list)
		m.set(accountant.broker.self.Address, true)
		var running sync.WaitGroup
		// The second call becomes part of an ask when that of the first one has failed.
		for _, after := range []time.Duration{0, 100 * time.Millisecond} {
			running.Go(func() {
				time.Sleep(after)
				began := time.Now()
				err := others[0].take()
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", mangoquota.AskTime+time.Millisecond))
				g.Expect(mangomodel.HasCode(err, mangomodel.CodeQuotaExceeded)).To(gomega.BeTrue())
			})
		}
		running.Wait()
	})
}
