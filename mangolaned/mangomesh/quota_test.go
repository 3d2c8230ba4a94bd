package mangomesh

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangoworkspace"
)

// startServer serves a fleet's calls from other daemons until tb ends, and returns its address.
func startServer(tb testing.TB) mangomodel.Address {
	g := gomega.NewWithT(tb)
	self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}}
	fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
	go fleet.Run(tb.Context())
	server, err := NewServer(fleet, nil, mangopanic.Nop{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tb.Cleanup(func() { l.Close() })
	go server.Serve(l)
	return mangomodel.Address(l.Addr().String())
}

var twoCalls = mangofleet.QuotaAsk{
	Holder: mangomodel.Holder{Daemon: "other"}, Number: 7,
	Asks: []mangoquota.Ask{{Workspace: "acme", Costs: []mangoworkspace.Amount{1, 2}}},
}

// TestAskQuota guards against an ask whose answer doesn't arrive, or is that of another ask.
func TestAskQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	answers, err := NewPeers().AskQuota(t.Context(), startServer(t), twoCalls)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Workspace).To(gomega.Equal(mangomodel.WorkspaceID("acme")))
	g.Expect(answers[0].Waits).To(gomega.HaveLen(2), "one for each call")
	g.Expect(answers[0].Waits[0]).To(gomega.BeNumerically(">", 0), "this daemon doesn't know the workspace")
}

// BenchmarkAskQuota measures an ask over net/rpc, both ends.
func BenchmarkAskQuota(b *testing.B) {
	peers, at := NewPeers(), startServer(b)
	for b.Loop() {
		if _, err := peers.AskQuota(b.Context(), at, twoCalls); err != nil {
			b.Fatal(err)
		}
	}
}
