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

// TestOnlyTheSchedulerAllowsRetries checks that a daemon ignores allowances from
// a daemon that does not count the retries of all daemons.
func TestOnlyTheSchedulerAllowsRetries(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		b := m.start(lowCapacity, 1, "a")
		time.Sleep(2 * time.Second)
		g.Expect(b.scheduler()).To(gomega.BeEquivalentTo("a"))
		allowances := mangobudget.Allowances{service: {Now: 1}}
		tests := []struct {
			from mangomodel.DaemonID
			ok   bool
		}{{"c", false}, {"a", true}}
		for _, test := range tests {
			b.broker.setAllowances(mangoroster.Member{Holder: mangomodel.Holder{Daemon: test.from}}, allowances)
			err := b.fleet.Do(ctx, mangofleet.TakeRetry{Service: service})
			g.Expect(err == nil).To(gomega.Equal(test.ok), "from %s", test.from)
		}
		g.Expect(allowances).To(gomega.HaveLen(1), "the received allowances are not modified")
	})
}

// TestJoinGrantsNoRetries checks that the exchanges of join change no allowances.
func TestJoinGrantsNoRetries(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		b := m.start(lowCapacity, 1, "a")
		time.Sleep(2 * time.Second)
		g.Expect(a.fleet.Do(ctx, mangofleet.AdmitCall{Service: service, Call: 1})).To(gomega.Succeed())
		b.broker.setAllowances(a.broker.self, mangobudget.Allowances{service: {Now: 1}})
		b.broker.exchangeAll(ctx, []mangomodel.Address{"a"})
		g.Expect(b.fleet.Do(ctx, mangofleet.TakeRetry{Service: service})).To(gomega.Succeed(), "the allowance of the scheduler still applies")
	})
}
