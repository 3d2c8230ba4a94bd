package mangobroker

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
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
		_, err := old.broker.Receive(context.Background(), knows.broker.Compose(ExchangeMessage{}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(offerTime + time.Millisecond)
		g.Expect(old.fleet.View().Routing.Revision).To(gomega.Equal(knows.fleet.View().Routing.Revision))
	})
}

// TestLongChangesAreFetched bounds what news name: the rest is fetched, as
// changes if they are known.
func TestLongChangesAreFetched(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.know(g)
		keep(g, ctx, a)
		time.Sleep(time.Second)
		for _, n := range []int{mostChanges, mostChanges + 1} {
			before := a.broker.known()
			cmd := mangofleet.ChangeServers{Cursor: before.Cursor + 1}
			for i := range n {
				s := mangotraffic.Server{ID: mangomodel.ServerID(fmt.Sprint(i)), Service: service}
				cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: s.ID, Server: &s})
			}
			g.Expect(a.fleet.Do(ctx, cmd)).To(gomega.Succeed())
			asker := ExchangeMessage{From: mangoroster.Member{Holder: mangomodel.Holder{Daemon: "b"}}, List: mangofleet.ChangeServers{Cursor: before.Cursor}}
			list := a.broker.Compose(asker).List
			if n <= mostChanges {
				g.Expect(list.Changes).To(gomega.HaveLen(n))
				g.Expect(list.After).To(gomega.Equal(before.Cursor))
				continue
			}
			g.Expect(list.Changes).To(gomega.BeEmpty())
			g.Expect(list.After).To(gomega.Equal(list.Cursor))
			snapshot := a.broker.Snapshot(before)
			g.Expect(snapshot.List.Changes).To(gomega.HaveLen(n))
			g.Expect(snapshot.List.Full).To(gomega.BeFalse())
		}
	})
}
