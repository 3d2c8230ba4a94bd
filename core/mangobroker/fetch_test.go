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

// TestConfigurationIsFetchedFromNearby starts daemons of two regions one after
// the other. Each receives the offers of all, and only one fetches from the other
// region.
func TestConfigurationIsFetchedFromNearby(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.startAt("b1", "a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
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

// TestConfigurationIsFetchedOnce checks that renewals do not fetch a
// configuration again.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		m.start("b", 1, "a")
		time.Sleep(10 * time.Second)
		g.Expect(m.fetches).To(gomega.Equal(map[mangomodel.Address]int{"a": 1}))
	})
}

// TestReceiverFetchesNewerConfiguration covers the other direction: a daemon that
// receives a message with a newer revision fetches it too.
func TestReceiverFetchesNewerConfiguration(t *testing.T) {
	bubble(t, func(g *gomega.WithT, _ context.Context, m *mesh) {
		old := m.start("old", 1)
		newer := m.start("knows", 1)
		newer.configure(g)
		_, err := old.broker.Receive(context.Background(), newer.broker.Compose(ExchangeMessage{}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(offerWindow + time.Millisecond)
		g.Expect(old.fleet.View().Routing.Revision).To(gomega.Equal(newer.fleet.View().Routing.Revision))
	})
}

// TestLongChangesAreFetched checks the bound on the list changes in a message. More
// changes are fetched in a snapshot, as changes if the journal still has them.
func TestLongChangesAreFetched(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		time.Sleep(time.Second)
		for _, n := range []int{maxChanges, maxChanges + 1} {
			before := a.broker.stateVersion()
			cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: before.Cursor.Position + 1}}
			for i := range n {
				s := mangotraffic.Server{ID: mangomodel.ServerID(fmt.Sprint(i)), Service: service}
				cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: s.ID, Server: &s})
			}
			g.Expect(a.fleet.Do(ctx, cmd)).To(gomega.Succeed())
			request := ExchangeMessage{From: mangoroster.Member{Holder: mangomodel.Holder{Daemon: "b"}}, List: mangofleet.ChangeServers{Cursor: before.Cursor}}
			list := a.broker.Compose(request).List
			if n <= maxChanges {
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
