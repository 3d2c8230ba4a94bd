package mangostage

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobalance"
	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// fleet has an empty view, or the one that a server's report leads to.
type fleet struct{ view mangofleet.View }

func (f *fleet) View() *mangofleet.View                       { return &f.view }
func (f *fleet) Do(context.Context, mangofleet.Command) error { return nil }

// platform keeps one claim and records orders.
type platform struct {
	claim    Claim
	takeErr  error
	orderErr error
	orders   []Order
	// reported is called when the engine is queried.
	reported func()
	// pause is how long the process stands still after it took the claim.
	pause time.Duration
}

func (p *platform) LastClaim(context.Context, mangotraffic.ServiceName) (Claim, error) {
	return p.claim, nil
}

func (p *platform) TakeClaim(_ context.Context, _ mangotraffic.ServiceName, holder mangomodel.DaemonID, last Claim) (FencingToken, error) {
	if p.takeErr != nil {
		return 0, p.takeErr
	}
	time.Sleep(p.pause)
	p.claim = Claim{Holder: holder, Version: last.Version + 1, Era: last.Era, TakenIn: last.Era}
	return NewFencingToken(p.claim.Era, p.claim.Version)
}

func (p *platform) Order(_ context.Context, _ mangotraffic.Server, o Order) error {
	p.orders = append(p.orders, o)
	return p.orderErr
}

func (p *platform) Report(context.Context, mangotraffic.Server) (mangotraffic.LoadReport, error) {
	if p.reported != nil {
		p.reported()
	}
	return mangotraffic.LoadReport{Orders: 3}, nil
}

func TestOrders(t *testing.T) {
	const lease = 3 * time.Second
	lost := errors.New("lost")
	tests := []struct {
		name     string
		platform platform
		ordered  bool
		ok       bool
	}{
		{"first order", platform{}, true, true},
		{"claim of an earlier incarnation", platform{claim: Claim{Holder: "a", Age: 0, Version: 7}}, false, false},
		{"claim of an earlier incarnation long ago", platform{claim: Claim{Holder: "a", Age: mangobalance.SettleTime, Version: 7}}, true, true},
		{"another daemon's claim within the lease", platform{claim: Claim{Holder: "b", Age: lease, Version: 7}}, false, false},
		{"another daemon's claim while its engine changes", platform{claim: Claim{Holder: "b", Age: lease + 2*orderTimeout, Version: 7}}, false, false},
		{"another daemon's claim long ago", platform{claim: Claim{Holder: "b", Age: mangobalance.SettleTime, Version: 7}}, true, true},
		{"claim lost to another daemon", platform{takeErr: lost}, false, false},
		{"rejected by the engine", platform{orderErr: lost}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				p := test.platform
				controller := New(mangomodel.Holder{Daemon: "a"}, &fleet{}, &p, &p, &p, WithOrderLease(lease))
				before := p.claim.Version
				token, err := controller.order(t.Context(), mangopool.StageChange{Service: "llm", Server: mangotraffic.Server{ID: "p"}, To: mangotraffic.StageDecode})
				g.Expect(err == nil).To(gomega.Equal(test.ok))
				if !test.ordered {
					g.Expect(p.orders).To(gomega.BeEmpty())
					return
				}
				g.Expect(p.orders).To(gomega.HaveLen(1))
				g.Expect(p.orders[0].Fence).To(gomega.BeEquivalentTo(before + 1))
				g.Expect(p.orders[0].Holder).To(gomega.BeEquivalentTo("a"))
				g.Expect(p.orders[0].Sequence).To(gomega.BeEquivalentTo(3))
				if test.ok {
					g.Expect(token).To(gomega.Equal(p.orders[0].Fence))
				}
			})
		})
	}
}

// TestOwnClaimDoesNotBlock checks that the claims of an incarnation do not block
// its own orders.
func TestOwnClaimDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := platform{}
		controller := New(mangomodel.Holder{Daemon: "a"}, &fleet{}, &p, &p, &p)
		for range 2 {
			_, err := controller.order(t.Context(), mangopool.StageChange{Service: "llm", Server: mangotraffic.Server{ID: "p"}, To: mangotraffic.StageDecode})
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(p.orders).To(gomega.HaveLen(2))
	})
}

// TestPausedDaemonSendsNoOrder guards against an order on a claim that has run out:
// the daemon stood still between its claim and its order.
func TestPausedDaemonSendsNoOrder(t *testing.T) {
	for pause := time.Second; pause <= 10*time.Second; pause += time.Second {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := platform{pause: pause}
			controller := New(mangomodel.Holder{Daemon: "a"}, &fleet{}, &p, &p, &p)
			_, err := controller.order(t.Context(), mangopool.StageChange{Service: "llm", Server: mangotraffic.Server{ID: "p"}, To: mangotraffic.StageDecode})
			g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
			g.Expect(p.orders).To(gomega.BeEmpty())
		})
	}
}

// TestNoOrderToAnEngineWhoseReportSaysThatItLeaves guards against an order that the
// engine's own report, read just before, rules out.
func TestNoOrderToAnEngineWhoseReportSaysThatItLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &fleet{}
	p := platform{reported: func() {
		f.view = mangofleet.View{ListRead: time.Now(), Listed: map[mangomodel.ServerID]mangotraffic.Server{"p": {ID: "p", State: mangotraffic.StateLeaving}}}
	}}
	controller := New(mangomodel.Holder{Daemon: "a"}, f, &p, &p, &p)
	_, err := controller.order(t.Context(), mangopool.StageChange{Service: "llm", Server: mangotraffic.Server{ID: "p"}, To: mangotraffic.StageDecode})
	g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
	g.Expect(p.orders).To(gomega.BeEmpty())
}

// TestNothingIsSentToAnEngineThatAskedForTime guards against an order or a load query
// within the time that an engine asked this daemon for.
func TestNothingIsSentToAnEngineThatAskedForTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		f := mangofleet.New(mangofleet.Self{Member: mangoroster.Member{Holder: mangomodel.Holder{Daemon: "a"}}}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
		go f.Run(ctx)
		server := mangotraffic.Server{ID: "p", Service: "llm", Stage: mangotraffic.StageDecode}
		g.Expect(f.Do(ctx, mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 1}, Changes: []mangotraffic.ServerChange{{ID: "p", Server: &server}}})).To(gomega.Succeed())
		queried := 0
		p := platform{reported: func() { queried++ }}
		controller := New(mangomodel.Holder{Daemon: "a"}, f, &p, &p, &p)
		g.Expect(controller.scheduled()).To(gomega.HaveLen(1))
		f.Announced(mangolease.Announcement{Server: server.Ref(), Backoff: time.Second})
		g.Expect(controller.scheduled()).To(gomega.BeEmpty())
		change := mangopool.StageChange{Service: "llm", Server: server, To: mangotraffic.StagePrefill}
		_, err := controller.order(ctx, change)
		g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
		g.Expect(queried).To(gomega.BeZero())
		time.Sleep(time.Second)
		g.Expect(controller.scheduled()).To(gomega.HaveLen(1))
		p.reported = func() { f.Announced(mangolease.Announcement{Server: server.Ref(), Backoff: time.Second}) }
		_, err = controller.order(ctx, change)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(p.orders).To(gomega.BeEmpty(), "the engine asked for time in its report")
	})
}
