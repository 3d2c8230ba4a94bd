package mangofleet

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

func peer(id mangomodel.DaemonID, incarnation mangomodel.Incarnation) mangoroster.Member {
	return mangoroster.Member{
		Holder: mangomodel.Holder{Daemon: id, Incarnation: incarnation}, DataCentre: "a1",
		Address: mangomodel.Address(id + ":1"), Strong: true,
	}
}

func (x *fixture) update(m mangoroster.Member, age time.Duration) {
	x.do(UpdateMembers{Sightings: []mangoroster.Sighting{{Member: m, Age: age}}})
	time.Sleep(membersInterval)
	x.do(RoutingUnchanged{})
}

func (x *fixture) scheduler() mangomodel.DaemonID {
	m, _ := x.fleet.View().Scheduler(engines)
	return m.Holder.Daemon
}

// preferredPeer returns a daemon that is preferred to this one as scheduler.
func (x *fixture) preferredPeer() mangoroster.Member {
	for _, id := range []mangomodel.DaemonID{"r1", "r2", "r3", "r4", "r5", "r6"} {
		x.update(peer(id, 1), 0)
		if x.scheduler() == id {
			return peer(id, 1)
		}
	}
	x.Expect(false).To(gomega.BeTrue(), "no daemon is preferred to this one")
	return mangoroster.Member{}
}

func TestSchedulerIsAliveAndEligible(t *testing.T) {
	tests := []struct {
		name   string
		change func(x *fixture, m mangoroster.Member)
	}{
		{"draining", func(x *fixture, m mangoroster.Member) { m.Draining = true; x.update(m, 0) }},
		{"stale", func(x *fixture, m mangoroster.Member) { m.Stale = true; x.update(m, 0) }},
		{"without the capacity to schedule", func(x *fixture, m mangoroster.Member) { m.Strong = false; x.update(m, 0) }},
		{"failed", func(x *fixture, m mangoroster.Member) { x.do(PeerFailed{Daemon: m.Holder.Daemon}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.list(1, decode("d", "a1"))
				preferred := x.preferredPeer()
				test.change(x, preferred)
				x.list(2, decode("d", "a1"))
				x.Expect(x.scheduler()).NotTo(gomega.Equal(preferred.Holder.Daemon))
			})
		})
	}
}

// TestUnresponsiveSchedulerIsReplaced covers a view that is published while no
// exchange message arrives: the ages of the members have to grow nevertheless.
func TestUnresponsiveSchedulerIsReplaced(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d", "a1"))
		x.preferredPeer()
		time.Sleep(mangoroster.AliveTimeout)
		x.list(2, decode("d", "a1"))
		x.Expect(x.scheduler()).To(gomega.BeEquivalentTo("d1"))
		for _, s := range x.fleet.View().Sightings(time.Now())[1:] {
			x.Expect(s.Age).To(gomega.BeNumerically(">=", mangoroster.AliveTimeout))
		}
	})
}

func TestNewIncarnationOfADaemonIsTriedAtOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d", "a1"))
		preferred := x.preferredPeer()
		x.do(PeerFailed{Daemon: preferred.Holder.Daemon})
		preferred.Holder.Incarnation++
		x.update(preferred, 0)
		x.Expect(x.scheduler()).To(gomega.Equal(preferred.Holder.Daemon))
	})
}

func progress(n uint64, server mangomodel.ServerID, prompt mangomodel.Tokens) mangolease.Progress {
	return mangolease.Progress{Number: n, Server: server, Service: engines, Generation: mangotraffic.Generation{Prompt: prompt, MaxOutput: 100}}
}

func TestNewSchedulerReceivesLeasesBeforeItGrants(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), decode("d2", "a2"), prefill("p", "a1"))
		x.update(peer("d9", 1), 0)
		x.do(Renew{Holder: x.self})
		granted := make(chan mangolease.Lease, 1)
		go func() {
			_, lease := x.mustAcquire(generation(100, 100))
			granted <- lease
		}()
		time.Sleep(takeoverTime / 2)
		x.Expect(granted).NotTo(gomega.Receive())
		x.do(Renew{Holder: peer("d9", 1).Holder, Leases: []mangolease.Progress{progress(1, "d1", 9900)}})
		x.Expect((<-granted).Server.ID).To(gomega.BeEquivalentTo("d2"))
	})
}

func TestLeasesOfUnresponsiveAndOldHoldersExpire(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d1", "a1"), prefill("p", "a1"))
		h := peer("d9", 1).Holder
		x.do(Renew{Holder: h, Leases: []mangolease.Progress{progress(1, "d1", 100), progress(2, "d1", 100)}})
		time.Sleep(mangopool.NewLeaseGrace + time.Millisecond)
		x.do(Renew{Holder: h, Leases: []mangolease.Progress{progress(1, "d1", 100)}})
		x.Expect(x.fleet.View().Leases).To(gomega.Equal(1), "a lease that is no longer renewed")
		x.do(Renew{Holder: mangomodel.Holder{Daemon: "d9", Incarnation: 2}, Leases: []mangolease.Progress{progress(1, "d1", 100)}})
		x.Expect(x.fleet.View().Leases).To(gomega.Equal(1), "a lease of an earlier incarnation")
		time.Sleep(2 * mangopool.HolderTimeout)
		x.do(RoutingUnchanged{})
		x.Expect(x.fleet.View().Leases).To(gomega.Equal(0), "a lease of an unresponsive holder")
	})
}

// TestAllowancesNeverExceedTheRemainder lets many daemons renew before any of them
// reports how many retries it made.
func TestAllowancesNeverExceedTheRemainder(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.do(AdmitCall{Service: app, Call: 1})
		x.do(Renew{Holder: x.self})
		for range 50 {
			time.Sleep(mangopool.RenewInterval)
			x.do(Renew{Holder: x.self})
		}
		x.do(SetAllowances{Allowances: x.fleet.View().Allowances(x.self), From: x.self.Daemon})
		total := x.fleet.View().Allowances(x.self)[app].Now
		for i := range 8 {
			h := mangomodel.Holder{Daemon: mangomodel.DaemonID(rune('a' + i)), Incarnation: 1}
			x.update(mangoroster.Member{Holder: h}, 0)
			x.do(Renew{Holder: h, Usages: mangobudget.Usages{app: mangobudget.Usage{}}})
			total += x.fleet.View().Allowances(h)[app].Now
		}
		x.Expect(total).To(gomega.BeNumerically("<=", testLimits.Fixed+1))
		x.Expect(total).To(gomega.BeNumerically(">", testLimits.Fixed/2))
	})
}

// TestAllowancesAreSpread checks that in a large fleet half of the daemons may
// retry a call at the same time: the loss of one engine ends calls of many daemons.
func TestAllowancesAreSpread(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.do(AdmitCall{Service: app, Call: 1})
		const daemons = 40
		holder := func(i int) mangomodel.Holder {
			return mangomodel.Holder{Daemon: mangomodel.DaemonID(rune('a' + i)), Incarnation: 1}
		}
		for range 50 {
			time.Sleep(mangopool.RenewInterval)
			x.do(Renew{Holder: x.self})
		}
		var all []mangoroster.Sighting
		for i := range daemons {
			all = append(all, mangoroster.Sighting{Member: mangoroster.Member{Holder: holder(i)}})
		}
		x.do(UpdateMembers{Sightings: all})
		withAllowance := 0
		for i := range daemons {
			x.do(Renew{Holder: holder(i), Usages: mangobudget.Usages{app: mangobudget.Usage{}}})
			if x.fleet.View().Allowances(holder(i))[app].Now > 0 {
				withAllowance++
			}
		}
		x.Expect(withAllowance).To(gomega.BeNumerically(">=", daemons/2))
	})
}

func TestNewSchedulerAllowsNoRetriesAtFirst(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.do(AdmitCall{Service: app, Call: 1})
		x.do(Renew{Holder: x.self})
		x.Expect(x.fleet.View().Allowances(x.self)[app].Now).To(gomega.Equal(0))
	})
}

func TestRetriesAreRefusedBeyondTheBudget(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.do(SetAllowances{Allowances: mangobudget.Allowances{app: {Now: 1}}})
		x.do(TakeRetry{Service: app})
		err := x.fleet.Do(context.Background(), TakeRetry{Service: app})
		x.Expect(mangomodel.HasCode(err, mangomodel.CodeOverloaded)).To(gomega.BeTrue())
		x.do(RefundRetry{Service: app})
		x.do(TakeRetry{Service: app})
	})
}

// TestPublishedCrashesExpire guards against a view that names crashes past their
// retention, which the other daemons would count again.
func TestPublishedCrashesExpire(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.do(CallAborted{Call: 7})
		x.Expect(x.fleet.View().Crashes(true).News).To(gomega.HaveLen(1))
		time.Sleep(mangocrash.Retention + time.Second)
		x.do(AdmitCall{Service: app, Call: 8})
		x.Expect(x.fleet.View().Crashes(true).News).To(gomega.BeEmpty())
		x.Expect(x.fleet.View().Crashes(false).Table).To(gomega.BeEmpty())
	})
}
