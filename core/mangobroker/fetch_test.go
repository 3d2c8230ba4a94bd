package mangobroker

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// TestConfigurationIsFetchedFromNearby lets one daemon after the other of two
// regions start, each of which hears of all: only one fetches from afar.
func TestConfigurationIsFetchedFromNearby(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.startAt("b1", "a", 1)
		a.know(g)
		keep(g, ctx, a)
		time.Sleep(time.Second)
		first := m.startAt("a1", "x", 1, "a")
		time.Sleep(time.Second)
		g.Expect(first.fleet.View().Routing).NotTo(gomega.BeNil())
		for _, id := range []mangomodel.DaemonID{"y", "z"} {
			d := m.startAt("a2", id, 1, "a", "x")
			time.Sleep(time.Second)
			g.Expect(d.fleet.View().Routing).NotTo(gomega.BeNil())
		}
		g.Expect(m.fetches).To(gomega.Equal(map[mangomodel.Address]int{"a": 1, "x": 2}))
	})
}

// TestConfigurationIsFetchedOnce checks that renewals do not fetch what is
// known.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.know(g)
		keep(g, ctx, a)
		m.start("b", 1, "a")
		time.Sleep(10 * time.Second)
		g.Expect(m.fetches).To(gomega.Equal(map[mangomodel.Address]int{"a": 1}))
	})
}

// TestReceiverLearnsOfANewerConfiguration covers the other direction: whoever
// is told of a newer revision fetches it too.
func TestReceiverLearnsOfANewerConfiguration(t *testing.T) {
	bubble(t, func(g *gomega.WithT, _ context.Context, m *mesh) {
		old := m.start("old", 1)
		knows := m.start("knows", 1)
		knows.know(g)
		_, err := old.broker.Receive(context.Background(), knows.broker.Compose(News{}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(offerTime + time.Millisecond)
		g.Expect(old.fleet.View().Routing.Revision).To(gomega.Equal(knows.fleet.View().Routing.Revision))
	})
}
