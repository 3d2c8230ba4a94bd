package mangoorigin

import (
	"fmt"
	"testing"
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// BenchmarkRound measures what the goroutine of Run does ten times a second, with 840 servers
// in four services and 2,000 streams.
func BenchmarkRound(b *testing.B) {
	self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, DataCentre: "a1", Strong: true}
	fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
	go fleet.Run(b.Context())
	cmd := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 1}, From: mangofleet.Platform}
	for i := range 840 {
		id := mangomodel.ServerID(fmt.Sprint(i))
		server := mangotraffic.Server{
			ID: id, Service: mangotraffic.ServiceName(fmt.Sprint(i % 4)), Address: "10.0.0.1:1", DataCentre: "a1", Slots: 8, Build: mangomodel.Build(fmt.Sprint(i % 2)),
		}
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	if err := fleet.Do(b.Context(), cmd); err != nil {
		b.Fatal(err)
	}
	o := New(fleet, newTable(), &observer{events: make(map[string]int)})
	c := newController(o)
	c.builds.read, c.unread = true, nil
	for i := range 2000 {
		o.Begin(mangotraffic.StreamID{Service: "0", Request: mangomodel.RequestID(fmt.Sprint(i))}, "0")
	}
	c.streams.busy, c.builds.busy = true, true
	for b.Loop() {
		c.scanned = time.Time{}
		c.round(b.Context(), time.Now())
	}
}
