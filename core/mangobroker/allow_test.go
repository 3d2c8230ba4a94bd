package mangobroker

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
)

// TestOnlyTheSchedulerAllowsRetries checks that a daemon repeats no call on the
// word of one that does not count for all.
func TestOnlyTheSchedulerAllowsRetries(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.know(g)
		keep(g, ctx, a)
		b := m.start(weak, 1, "a")
		time.Sleep(2 * time.Second)
		g.Expect(b.scheduler()).To(gomega.BeEquivalentTo("a"))
		allowances := mangobudget.Allowances{service: 1}
		tests := []struct {
			from mangomodel.DaemonID
			ok   bool
		}{{"c", false}, {"a", true}}
		for _, test := range tests {
			b.broker.allow(mangoroster.Member{Holder: mangomodel.Holder{Daemon: test.from}}, allowances)
			err := b.fleet.Do(ctx, mangofleet.TakeRetry{Service: service})
			g.Expect(err == nil).To(gomega.Equal(test.ok), "from %s", test.from)
		}
		g.Expect(allowances).To(gomega.HaveLen(1), "the news of others stay as they are")
	})
}

// TestVisitsAllowNothing checks that looking for lost daemons gives no retries.
func TestVisitsAllowNothing(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.know(g)
		keep(g, ctx, a)
		b := m.start(weak, 1, "a")
		time.Sleep(2 * time.Second)
		g.Expect(a.fleet.Do(ctx, mangofleet.AdmitCall{Service: service, Call: 1})).To(gomega.Succeed())
		b.broker.allow(a.broker.self, mangobudget.Allowances{service: 1})
		b.broker.visit(ctx, []mangomodel.Address{"a"})
		g.Expect(b.fleet.Do(ctx, mangofleet.TakeRetry{Service: service})).To(gomega.Succeed(), "the scheduler's word still holds")
	})
}
