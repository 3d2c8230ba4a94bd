package mangomesh

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobroker"
	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// TestSnapshotOverTheWire fetches a large configuration and server list and checks
// that they arrive complete and packed small enough for a narrow link.
func TestSnapshotOverTheWire(t *testing.T) {
	g := gomega.NewWithT(t)
	const count, maxBytesPerEntry = 1400, 60
	var routes []mangotraffic.Route
	for i := range count {
		routes = append(routes, mangotraffic.Route{
			Name: mangotraffic.RouteName(fmt.Sprintf("r-%d", i*7919)), Host: "hats.example", Prefix: mangotraffic.PathPrefix(fmt.Sprintf("/p%d/", i)),
			Kind: mangotraffic.KindIdempotent, Timeout: time.Second, TargetLatency: 150 * time.Millisecond,
			Targets: []mangotraffic.Target{{Service: "app", Weight: 1}}, MaxAttempts: 2,
		})
	}
	routing, err := mangotraffic.NewRouting(7, routes, []mangotraffic.Service{{Name: "app"}}, mangotraffic.Limits{BodyBytes: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	list := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 9}}
	for i := range count {
		id := mangomodel.ServerID(fmt.Sprintf("i-%x", i*7919))
		server := mangotraffic.Server{ID: id, Service: "app", Address: "10.1.64.9:8101", DataCentre: "almaty-a", Slots: 12, Born: time.UnixMilli(int64(i))}
		list.Changes = append(list.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	version := mangobroker.StateVersion{}
	fleet, broker, addr := serve(t, g)
	g.Expect(fleet.Do(t.Context(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	g.Expect(fleet.Do(t.Context(), list)).To(gomega.Succeed())
	packed, err := pack(broker.Snapshot(version))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(packed)).To(gomega.BeNumerically("<", 2*count*maxBytesPerEntry))

	snapshot, err := NewPeers().Snapshot(context.Background(), addr, version)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	received, err := snapshot.Routing.Routing()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(received).To(gomega.Equal(routing))
	servers := make(map[mangomodel.ServerID]mangotraffic.Server)
	for _, change := range snapshot.List.Changes {
		servers[change.ID] = *change.Server
	}
	g.Expect(servers).To(gomega.Equal(fleet.View().Listed))
	g.Expect(snapshot.List.Age).To(gomega.BeNumerically(">=", packedTTL), "the age covers the time that the snapshot may have been cached")

	rest, err := NewPeers().Snapshot(context.Background(), addr, mangobroker.StateVersion{Revision: 7})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rest.Routing).To(gomega.BeNil())
	g.Expect(rest.List.Cursor).To(gomega.Equal(mangotraffic.Cursor{Position: 9}))
}

// serve runs a daemon's server on loopback.
func serve(t *testing.T, g *gomega.WithT) (*mangofleet.Fleet, *mangobroker.Broker, mangomodel.Address) {
	self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}}
	fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
	go fleet.Run(t.Context())
	broker := mangobroker.New(self, fleet, NewPeers())
	server, err := NewServer(fleet, broker, mangopanic.Nop{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go server.Serve(listener)
	return fleet, broker, mangomodel.Address(listener.Addr().String())
}
