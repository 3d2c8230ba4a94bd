package mangofleet

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobound"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const grace = 2 * time.Second

func (x *fixture) listed() []mangomodel.ServerID {
	var ids []mangomodel.ServerID
	for id := range x.fleet.View().Listed {
		ids = append(ids, id)
	}
	return ids
}

func TestOlderRoutingIsAConflict(t *testing.T) {
	bubble(t, func(x *fixture) {
		newer, err := mangotraffic.NewRouting(5, nil, nil, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		x.do(InstallRouting{Routing: newer})
		older, err := mangotraffic.NewRouting(4, nil, nil, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		err = x.fleet.Do(context.Background(), InstallRouting{Routing: older})
		x.Expect(mangomodel.HasCode(err, mangomodel.CodeConflict)).To(gomega.BeTrue())
		x.Expect(x.fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(5))
	})
}

func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("s1", "a1"), plain("s2", "a1"))
		x.do(ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "s1"}}, Cursor: mangotraffic.Cursor{Position: 2}})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("s2")))
	})
}

func TestEntryLostInAnOutageMayReappear(t *testing.T) {
	bubble(t, func(x *fixture) {
		leaving := plain("s3", "a1")
		leaving.State = mangotraffic.StateLeaving
		x.list(1, plain("s1", "a1"), plain("s2", "a1"), leaving)
		time.Sleep(5 * time.Second)
		x.do(ReadFailed{})
		time.Sleep(time.Second)
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 2}})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("s1"), mangomodel.ServerID("s2")))
		relisted := plain("s1", "a1")
		x.do(ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &relisted}}, Cursor: mangotraffic.Cursor{Position: 3}})
		time.Sleep(grace + time.Millisecond)
		x.do(RoutingUnchanged{})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("s1")))
	})
}

// TestShorterGraceHolds guards against a removal that another one with a longer grace
// outlasts.
func TestShorterGraceHolds(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("s1", "a1"), plain("s2", "a1"))
		x.do(ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "s1", Grace: grace}, {ID: "s2", Grace: grace}}, Cursor: mangotraffic.Cursor{Position: 2}})
		x.do(ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "s1", Grace: grace / 4}}, Cursor: mangotraffic.Cursor{Position: 3}})
		time.Sleep(grace/4 + time.Millisecond)
		x.do(RoutingUnchanged{})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("s2")))
	})
}

func TestOldChangesAreIgnored(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(5, plain("s1", "a1"))
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 4}})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("s1")))
	})
}

func TestNewIncarnationUnderAnOldIDStartsWithoutHistory(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("s1", "a1"))
		x.do(Observe{Observation: mangolease.Observation{Server: "s1", Saw: mangolease.OutcomeUnreachable}})
		_, _, err := x.acquire(mangolease.Demand{Service: app, Origin: "a1", Patience: time.Millisecond})
		x.Expect(err).To(gomega.HaveOccurred())
		restarted := plain("s1", "a1")
		restarted.Born = time.UnixMilli(5)
		x.list(2, restarted)
		x.mustAcquire(call())
	})
}

func TestChangesAfter(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("s1", "a1"))
		s2 := plain("s2", "a1")
		x.do(ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "s2", Server: &s2}}, Cursor: mangotraffic.Cursor{Position: 2}})
		x.do(ChangeServers{Changes: []mangotraffic.ServerChange{{ID: "s1", Grace: grace}}, Cursor: mangotraffic.Cursor{Position: 3}})
		now, view := time.Now(), x.fleet.View()
		none, ok := view.ChangesAfter(mangotraffic.Cursor{Position: 3}, now)
		x.Expect(ok).To(gomega.BeTrue())
		x.Expect(none.Changes).To(gomega.BeEmpty())
		last, ok := view.ChangesAfter(mangotraffic.Cursor{Position: 2}, now)
		x.Expect(ok).To(gomega.BeTrue())
		x.Expect(last.Full).To(gomega.BeFalse())
		x.Expect(last.Changes).To(gomega.Equal([]mangotraffic.ServerChange{{ID: "s1", Grace: grace}}))
		later, _ := view.ChangesAfter(mangotraffic.Cursor{Position: 2}, now.Add(grace/4))
		x.Expect(later.Changes[0].Grace).To(gomega.Equal(grace * 3 / 4))
		x.Expect(last.Delayed(grace / 4).Changes).To(gomega.Equal(later.Changes))
		x.Expect(last.After).To(gomega.Equal(mangotraffic.Cursor{Position: 2}))
		_, ok = view.ChangesAfter(mangotraffic.Cursor{Position: 0}, now)
		x.Expect(ok).To(gomega.BeFalse(), "the whole list is needed")
		list := view.List(now)
		x.Expect(list.Full).To(gomega.BeTrue())
		x.Expect(list.Changes).To(gomega.Equal([]mangotraffic.ServerChange{{ID: "s2", Server: &s2}}), "the entry of s1 has expired")
	})
}

// TestChangesAfterAGap checks that changes after a position not yet reached are
// not applied, and that a newer position without changes is.
func TestChangesAfterAGap(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(2, plain("s1", "a1"))
		time.Sleep(time.Second)
		x.do(ChangeServers{After: mangotraffic.Cursor{Position: 3}, Cursor: mangotraffic.Cursor{Position: 4}, Changes: []mangotraffic.ServerChange{{ID: "s1"}}})
		x.Expect(x.fleet.View().Listed).To(gomega.HaveLen(1))
		x.Expect(x.fleet.View().ListCursor).To(gomega.Equal(mangotraffic.Cursor{Position: 2}))
		x.Expect(x.fleet.View().Stale(time.Now().Add(mangobound.Within(mangobound.Standard).Age))).To(gomega.BeTrue())
		x.do(ChangeServers{After: mangotraffic.Cursor{Position: 2}, Cursor: mangotraffic.Cursor{Position: 4}})
		x.Expect(x.fleet.View().ListCursor).To(gomega.Equal(mangotraffic.Cursor{Position: 4}))
		x.Expect(x.fleet.View().Stale(time.Now().Add(mangobound.Within(mangobound.Standard).Age))).To(gomega.BeFalse())
	})
}

// TestSlowHostGetsFewerCalls plays two servers of which one says with its responses
// that work takes 2.5 times as long as usual there. What it said is used only for a
// moment.
func TestSlowHostGetsFewerCalls(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("slow", "a1"), plain("fast", "a1"))
		x.do(Observe{Observation: mangolease.Observation{Server: "slow", Load: &mangotraffic.LoadReport{Slowdown: 2.5}}})
		counts := make(map[mangomodel.ServerID]int)
		for range 20 {
			id, lease := x.mustAcquire(call())
			counts[lease.Server.ID]++
			x.do(Release{Lease: id})
		}
		x.Expect(counts).To(gomega.Equal(map[mangomodel.ServerID]int{"fast": 20}))
		time.Sleep(time.Second)
		for range 20 {
			id, lease := x.mustAcquire(call())
			counts[lease.Server.ID]++
			x.do(Release{Lease: id})
		}
		x.Expect(counts["slow"]).To(gomega.BeNumerically(">", 0))
	})
}

// TestRestartedServerIsEmpty guards against leases and measurements of an earlier
// process that count against a server which restarted under the same id.
func TestRestartedServerIsEmpty(t *testing.T) {
	bubble(t, func(x *fixture) {
		d := decode("d", "a1")
		x.list(1, d, prefill("p", "a1"))
		for range 4 {
			id, _ := x.mustAcquire(generation(100, 100))
			x.do(PrefillDone{Lease: id})
		}
		d.Born = time.Now()
		x.list(2, d, prefill("p", "a1"))
		_, lease := x.mustAcquire(generation(100, 100))
		x.Expect(lease.Running).To(gomega.Equal(0))
		x.Expect(lease.Free).To(gomega.Equal(4))
	})
}
