package mangofleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobalance"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// press lets demands wait, so that a move is worth its price.
func (x *fixture) press() {
	for range mangopool.MinRequests + 5 {
		d := generation(4000, 4000)
		d.Patience = time.Millisecond
		x.acquire(d)
	}
	time.Sleep(membersInterval)
	x.do(RoutingUnchanged{})
}

func TestScarceStageGetsAnEngine(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
		x.press()
		change, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeTrue())
		x.Expect(change.To).To(gomega.Equal(mangotraffic.StageDecode))
		x.Expect(change.Server.DataCentre).To(gomega.BeEquivalentTo("a2"), "the data centre that has most of them")
		x.do(OrderBegun{Server: change.Server.ID, To: change.To})
		time.Sleep(membersInterval)
		x.do(RoutingUnchanged{})
		_, ok = x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeFalse(), "one at a time")
	})
}

func TestNoMoveWithoutWaiting(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
		x.press()
		time.Sleep(mangopool.PressureWindow + time.Second)
		x.do(RoutingUnchanged{})
		_, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeFalse())
	})
}

func TestEngineThatChangesGetsNothingUntilItHas(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "b1"))
		x.do(OrderBegun{Server: "p1", To: mangotraffic.StageDecode})
		id, lease := x.mustAcquire(generation(100, 100))
		x.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p2"))
		x.do(Release{Lease: id})
		x.list(2, decode("d1", "a1"), decode("p1", "a1"), prefill("p2", "b1"))
		for range 4 {
			x.mustAcquire(generation(100, 100))
		}
		_, lease = x.mustAcquire(generation(100, 100))
		x.Expect(lease.Server.ID).To(gomega.BeElementOf(mangomodel.ServerID("d1"), mangomodel.ServerID("p1")))
	})
}

func TestFailedOrderChangesNothing(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "b1"))
		x.do(OrderBegun{Server: "p1", To: mangotraffic.StageDecode})
		x.do(OrderFailed{Server: "p1"})
		_, lease := x.mustAcquire(generation(100, 100))
		x.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p1"))
	})
}

func TestMovesDoNotTurnBackSoon(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
		x.do(OrderBegun{Server: "p3", To: mangotraffic.StagePrefill})
		time.Sleep(mangobalance.SettleTime)
		x.press()
		_, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeFalse())
		time.Sleep(mangobalance.ReversalCooldown - mangobalance.SettleTime)
		x.press()
		_, ok = x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeTrue())
	})
}
