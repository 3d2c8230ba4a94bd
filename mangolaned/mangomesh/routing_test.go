package mangomesh

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// TestConfigurationOverTheWire fetches a large configuration and checks that it
// arrives whole, and packed small enough for a narrow link.
func TestConfigurationOverTheWire(t *testing.T) {
	g := gomega.NewWithT(t)
	const count, mostPerRoute = 1400, 60
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
	packed, err := pack(routing.Document())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(packed)).To(gomega.BeNumerically("<", count*mostPerRoute))

	addr := serve(t, g, routing)
	document, err := NewPeers().Routing(context.Background(), addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := document.Routing()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(routing))
}

func TestNoConfigurationIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := NewPeers().Routing(context.Background(), serve(t, g, nil))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no configuration")))
}

// serve runs a daemon's server on loopback.
func serve(t *testing.T, g *gomega.WithT, routing *mangotraffic.Routing) mangomodel.Address {
	fleet := mangofleet.New(mangofleet.Self{Member: mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}}}, func() mangobudget.Limits {
		return mangobudget.Limits{Window: time.Second}
	})
	go fleet.Run(t.Context())
	if routing != nil {
		g.Expect(fleet.Do(t.Context(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	}
	server, err := NewServer(fleet, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go server.Serve(listener)
	return mangomodel.Address(listener.Addr().String())
}
