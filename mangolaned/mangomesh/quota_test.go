package mangomesh

import (
	"context"
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

// TestAskQuota guards against an ask whose answer doesn't arrive, or is that of another ask.
func TestAskQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}}
	fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go fleet.Run(ctx)
	server, err := NewServer(fleet, nil, mangopanic.Nop{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	go server.Serve(l)
	ask := mangofleet.QuotaAsk{
		Holder: mangomodel.Holder{Daemon: "other"}, Number: 7,
		Asks: []mangoquota.Ask{{Workspace: "acme", Costs: []mangoworkspace.Amount{1, 2}}},
	}
	answers, err := NewPeers().AskQuota(ctx, mangomodel.Address(l.Addr().String()), ask)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Workspace).To(gomega.Equal(mangomodel.WorkspaceID("acme")))
	g.Expect(answers[0].Waits).To(gomega.HaveLen(2), "one for each call")
	g.Expect(answers[0].Waits[0]).To(gomega.BeNumerically(">", 0), "this daemon doesn't know the workspace")
}
