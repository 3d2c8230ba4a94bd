package mangobroker

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// position returns a position in the record of servers.
func position(era mangotraffic.Era, n uint64) mangotraffic.Cursor {
	return mangotraffic.Cursor{Era: era, Position: n}
}

// server returns the entry of an incarnation of a server.
func server(id mangomodel.ServerID, born int64, written mangotraffic.Cursor) mangotraffic.ServerChange {
	return mangotraffic.ServerChange{ID: id, Server: &mangotraffic.Server{
		ID: id, Service: service, DataCentre: "a1", Stage: mangotraffic.StageDecode, Slots: 2, Born: time.UnixMilli(born), Written: written,
	}}
}

// TestDaemonThatStartsAfterADrillLearnsWhoLeft guards against a server that has left and that
// a new daemon uses, since the older copy names it, whoever the list comes from.
func TestDaemonThatStartsAfterADrillLearnsWhoLeft(t *testing.T) {
	older := func(era mangotraffic.Era) mangofleet.ChangeServers {
		return mangofleet.ChangeServers{Full: true, Cursor: position(era, 3), From: mangofleet.Platform, Changes: []mangotraffic.ServerChange{
			server("left", 1, position(era, 2)), server("stays", 1, position(era, 1)),
		}}
	}
	gone := []mangotraffic.ServerChange{{ID: "left"}}
	later := []mangotraffic.ServerChange{server("left", 2, position(1, 61))}
	again := []mangotraffic.ServerChange{server("left", 1, position(2, 4))}
	tests := []struct {
		name    string
		changed []mangotraffic.ServerChange
		daemon  mangomodel.DaemonID
		// reads is set if the new daemon reads the copy itself.
		reads bool
		// since is written after the drill, and used is set if the server is used then.
		since []mangotraffic.ServerChange
		used  bool
	}{
		{"removed", gone, lowCapacity, false, nil, false},
		{"removed, the new daemon reads the copy", gone, "b", true, nil, false},
		{"earlier incarnation", later, lowCapacity, false, nil, false},
		{"earlier incarnation, the new daemon reads the copy", later, "b", true, nil, false},
		{"written again", gone, lowCapacity, false, again, true},
		{"written again, the new daemon reads it", gone, "b", true, again, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
				do := func(d *daemon, cmd mangofleet.ChangeServers) { g.Expect(d.fleet.Do(ctx, cmd)).To(gomega.Succeed()) }
				a := m.start("a", 1)
				a.configure(g)
				first := older(1)
				first.Cursor = position(1, 60)
				do(a, first)
				do(a, mangofleet.ChangeServers{Cursor: position(1, 61), Changes: test.changed, From: mangofleet.Platform})
				do(a, older(2))
				drilled := time.Now()
				reached := position(2, 3)
				if test.since != nil {
					reached = position(2, 4)
					do(a, mangofleet.ChangeServers{Cursor: reached, Changes: test.since, From: mangofleet.Platform})
				}
				b := m.start(test.daemon, 1, "a")
				if test.reads {
					do(b, older(2))
					do(b, mangofleet.ChangeServers{Cursor: reached, Changes: test.since, From: mangofleet.Platform})
				}
				for range 10 {
					time.Sleep(100 * time.Millisecond)
					do(a, mangofleet.ChangeServers{Cursor: reached, From: mangofleet.Platform})
				}
				g.Expect(b.fleet.View().MayUse("stays")).To(gomega.BeTrue())
				g.Expect(b.fleet.View().MayUse("left")).To(gomega.Equal(test.used))
				if test.since == nil {
					time.Sleep(time.Until(drilled.Add(mangodeparture.ConfirmTime + 10*time.Millisecond)))
					g.Expect(b.fleet.View().MayUse("left")).To(gomega.BeTrue(), "still listed")
				}
			})
		})
	}
}

// TestDaemonThatStartsBeforeADrillLearnsWhoLeft guards against a server that is used after a
// drill by a daemon that started after the server had left.
func TestDaemonThatStartsBeforeADrillLearnsWhoLeft(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		do := func(d *daemon, cmd mangofleet.ChangeServers) { g.Expect(d.fleet.Do(ctx, cmd)).To(gomega.Succeed()) }
		list := []mangotraffic.ServerChange{server("left", 1, position(1, 2)), server("stays", 1, position(1, 1))}
		a := m.start("a", 1)
		a.configure(g)
		do(a, mangofleet.ChangeServers{Full: true, Cursor: position(1, 60), Changes: list})
		do(a, mangofleet.ChangeServers{Cursor: position(1, 61), Changes: []mangotraffic.ServerChange{{ID: "left"}}})
		b := m.start(lowCapacity, 1, "a")
		time.Sleep(time.Second)
		g.Expect(b.fleet.View().MayUse("stays")).To(gomega.BeTrue())
		do(b, mangofleet.ChangeServers{Full: true, Cursor: position(2, 3), Changes: list})
		g.Expect(b.fleet.View().MayUse("left")).To(gomega.BeFalse())
	})
}
