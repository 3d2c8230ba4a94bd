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

// addPressure lets demands wait, so that a stage change is worth its cost.
func (x *fixture) addPressure() {
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
		x.addPressure()
		change, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeTrue())
		x.Expect(change.To).To(gomega.Equal(mangotraffic.StageDecode))
		x.Expect(change.Server.DataCentre).To(gomega.BeEquivalentTo("a2"), "the data centre with most prefill engines")
		x.do(OrderBegun{Server: change.Server.ID, To: change.To})
		time.Sleep(membersInterval)
		x.do(RoutingUnchanged{})
		_, ok = x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeFalse(), "one stage change at a time")
	})
}

func TestNoStageChangeWithoutQueuedDemands(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
		x.addPressure()
		time.Sleep(mangopool.PressureWindow + time.Second)
		x.do(RoutingUnchanged{})
		_, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeFalse())
	})
}

func TestEngineGetsNoWorkDuringStageChange(t *testing.T) {
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

func TestFailedOrderKeepsStage(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "b1"))
		x.do(OrderBegun{Server: "p1", To: mangotraffic.StageDecode})
		x.do(OrderFailed{Server: "p1"})
		_, lease := x.mustAcquire(generation(100, 100))
		x.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p1"))
	})
}

func TestStageChangeIsNotReversedWithinCooldown(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
		x.do(OrderBegun{Server: "p3", To: mangotraffic.StagePrefill})
		time.Sleep(mangobalance.SettleTime)
		x.addPressure()
		_, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeFalse())
		time.Sleep(mangobalance.ReversalCooldown - mangobalance.SettleTime)
		x.addPressure()
		_, ok = x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeTrue())
	})
}

// TestUnansweredOrderIsRepeatedAtTheSameEngine guards against two engines that change
// although one should: an order that got no answer is carried out late, and the next
// one went to another engine.
func TestUnansweredOrderIsRepeatedAtTheSameEngine(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
		x.do(OrderBegun{Server: "p1", To: mangotraffic.StageDecode})
		x.do(OrderFailed{Server: "p1", Run: mangomodel.RunUnknown})
		x.addPressure()
		change, ok := x.fleet.View().StageChange(engines)
		x.Expect(ok).To(gomega.BeTrue())
		x.Expect(change.Server.ID).To(gomega.BeEquivalentTo("p1"))
	})
}

// TestRejectedOrderLeavesNoCooldown guards against an order that no engine took and
// that keeps engines from changing the other way for the reversal cooldown. An order
// without an answer may still be carried out.
func TestRejectedOrderLeavesNoCooldown(t *testing.T) {
	for _, test := range []struct {
		run      mangomodel.Run
		proposed bool
	}{{mangomodel.RunNot, true}, {mangomodel.RunUnknown, false}} {
		bubble(t, func(x *fixture) {
			x.list(1, decode("d1", "a1"), prefill("p1", "a1"), prefill("p2", "a2"), prefill("p3", "a2"))
			x.do(OrderBegun{Server: "p3", To: mangotraffic.StagePrefill})
			x.do(OrderFailed{Server: "p3", Run: test.run})
			x.addPressure()
			_, ok := x.fleet.View().StageChange(engines)
			x.Expect(ok).To(gomega.Equal(test.proposed))
		})
	}
}
