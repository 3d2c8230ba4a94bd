package mangobroker

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

func TestDaemonsAgreeOnAScheduler(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a, b, c := m.start("a", 1), m.start("b", 1, "a"), m.start("c", 1, "a")
		for _, d := range []*daemon{a, b, c} {
			d.configure(g)
		}
		keepCurrent(g, ctx, a, b, c)
		time.Sleep(3 * time.Second)
		g.Expect(b.scheduler()).To(gomega.Equal(a.scheduler()))
		g.Expect(c.scheduler()).To(gomega.Equal(a.scheduler()))
		var running sync.WaitGroup
		for _, d := range []*daemon{a, b} {
			running.Go(func() {
				grant, err := d.broker.Acquire(ctx, demand())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer grant.Release()
				g.Expect(grant.Lease.Scheduler).To(gomega.Equal(a.scheduler()))
			})
		}
		running.Wait()
	})
}

// TestDaemonThatJoinedWithoutAListIsEligibleLater covers daemons that start
// together. The others record each one as stale before it has read the list, and a
// daemon that schedules for itself sends no renewals that would correct this.
func TestDaemonThatJoinedWithoutAListIsEligibleLater(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a, b, c := m.start("a", 1, "b", "c"), m.start("b", 1, "a", "c"), m.start("c", 1, "a", "b")
		time.Sleep(100 * time.Millisecond)
		for _, d := range []*daemon{a, b, c} {
			d.configure(g)
		}
		keepCurrent(g, ctx, a, b, c)
		time.Sleep(4 * time.Second)
		g.Expect(b.scheduler()).To(gomega.Equal(a.scheduler()))
		g.Expect(c.scheduler()).To(gomega.Equal(a.scheduler()))
	})
}

func TestWaitingDemandMovesToTheNextScheduler(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a, b := m.start("a", 1), m.start("b", 1, "a")
		a.configure(g)
		b.configure(g)
		keepCurrent(g, ctx, a, b)
		time.Sleep(2 * time.Second)
		caller, scheduler := a, b
		if a.scheduler() == "a" {
			caller, scheduler = b, a
		}
		var held []*Grant
		for range 2 {
			grant, err := caller.broker.Acquire(ctx, demand())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			held = append(held, grant)
		}
		granted := make(chan error, 1)
		go func() {
			grant, err := caller.broker.Acquire(ctx, demand())
			if err == nil {
				grant.Release()
			}
			granted <- err
		}()
		time.Sleep(100 * time.Millisecond)
		m.set(scheduler.broker.self.Address, true)
		time.Sleep(time.Second)
		g.Expect(granted).NotTo(gomega.Receive(), "the new scheduler has received the held leases")
		held[0].Release()
		g.Expect(<-granted).To(gomega.Succeed())
		held[1].Release()
	})
}

func TestDaemonSyncsFromOthersWithoutThePlatform(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		time.Sleep(time.Second)
		b := m.start(lowCapacity, 1, "a")
		time.Sleep(2 * time.Second)
		g.Expect(b.fleet.View().Routing).NotTo(gomega.BeNil())
		g.Expect(b.fleet.View().Listed).To(gomega.HaveLen(2))
		g.Expect(b.fleet.View().FollowsScheduler(time.Now())).To(gomega.BeTrue())
		m.set("a", true)
		time.Sleep(2 * time.Second)
		g.Expect(b.fleet.View().FollowsScheduler(time.Now())).To(gomega.BeFalse(), "the daemon reads the platform itself now")
	})
}

func TestCancelledAcquireHoldsNothing(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		time.Sleep(time.Second)
		for range 2 {
			_, err := a.broker.Acquire(ctx, demand())
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		cancelled, cancel := context.WithCancel(ctx)
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := a.broker.Acquire(cancelled, demand())
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.Is(cancelled.Err(), context.Canceled)).To(gomega.BeTrue())
		g.Expect(a.fleet.View().Waiting).To(gomega.Equal(0))
		g.Expect(a.fleet.View().Leases).To(gomega.Equal(2))
	})
}

// slowPeers fails every request for a lease after a delay.
type slowPeers struct {
	link
	delay time.Duration
}

func (p slowPeers) Acquire(context.Context, mangoroster.Member, mangolease.ID, mangolease.Demand) (mangolease.Lease, error) {
	time.Sleep(p.delay)
	return mangolease.Lease{}, errUnreachable
}

// TestWaitLimitCountsOnce guards against a wait limit from which earlier attempts
// are subtracted twice: a demand of 3 s was given up after 2.4 s.
func TestWaitLimitCountsOnce(t *testing.T) {
	const limit, delay = 3 * time.Second, 800 * time.Millisecond
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := []*daemon{m.start(lowCapacity, 1)}
		for _, id := range []mangomodel.DaemonID{"a", "b", "c", "d", "e", "f"} {
			list = append(list, m.start(id, 1, "weak"))
		}
		for _, d := range list {
			d.configure(g)
		}
		keepCurrent(g, ctx, list...)
		time.Sleep(2 * time.Second)
		self := list[0].broker.self
		caller := New(self, list[0].fleet, slowPeers{link: link{m, self.Address}, delay: delay})
		began, d := time.Now(), demand()
		d.Patience = limit
		_, err := caller.Acquire(ctx, d)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", limit))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", limit+delay))
	})
}

// TestUnconfiguredServiceIsRefusedAtOnce guards against a loop that asks this daemon
// for the servers of a service that its configuration no longer has, without a pause
// and until the wait limit.
func TestUnconfiguredServiceIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a := m.start("a", 1)
		a.configure(g)
		keepCurrent(g, ctx, a)
		time.Sleep(time.Second)
		began, d := time.Now(), demand()
		d.Service = "gone"
		_, err := a.broker.Acquire(ctx, d)
		g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
}

// TestLeaseOfAPausedHolderIsInvalid guards against the use of a lease that ran out
// while its holder stood still or could not renew it.
func TestLeaseOfAPausedHolderIsInvalid(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		a, b := m.start("a", 1), m.start(lowCapacity, 1, "a")
		a.configure(g)
		b.configure(g)
		reads, stopReads := context.WithCancel(ctx)
		keepCurrent(g, reads, a, b)
		time.Sleep(2 * time.Second)
		grant, err := b.broker.Acquire(ctx, demand())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(5 * time.Second)
		g.Expect(grant.Valid()).To(gomega.BeTrue(), "renewed")
		// Nothing renews the lease any more, as in a process that stands still.
		stopReads()
		synctest.Wait()
		b.stop()
		time.Sleep(mangopool.HolderTimeout)
		g.Expect(grant.Valid()).To(gomega.BeFalse())
	})
}

// TestGreyServerIsEjectedByAll plays a plain server that fails part of the calls of
// three daemons, none of which sees three failures in a row.
func TestGreyServerIsEjectedByAll(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := []*daemon{m.start("a", 1), m.start("b", 1, "a"), m.start("c", 1, "a")}
		read := func() {
			cmd := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 9}}
			for _, id := range []mangomodel.ServerID{"s1", "s2", "s3"} {
				cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &mangotraffic.Server{ID: id, Service: service, DataCentre: "a1", Slots: 2}})
			}
			for _, d := range list {
				g.Expect(d.fleet.Do(ctx, cmd)).To(gomega.Succeed())
			}
		}
		for _, d := range list {
			d.configure(g)
		}
		for range 6 {
			read()
			time.Sleep(500 * time.Millisecond)
		}
		saw := func(d *daemon, id mangomodel.ServerID, outcome mangolease.Outcome) {
			g.Expect(d.fleet.Do(ctx, mangofleet.Observe{Observation: mangolease.Observation{Server: id, Saw: outcome}})).To(gomega.Succeed())
		}
		for range 2 {
			read()
			for _, d := range list {
				saw(d, "s1", mangolease.OutcomeFailure)
				saw(d, "s1", mangolease.OutcomeSuccess)
				saw(d, "s2", mangolease.OutcomeSuccess)
				saw(d, "s3", mangolease.OutcomeSuccess)
			}
			time.Sleep(500 * time.Millisecond)
		}
		used := func(d *daemon) map[mangomodel.ServerID]bool {
			used := make(map[mangomodel.ServerID]bool)
			for range 12 {
				grant, err := d.broker.Acquire(ctx, mangolease.Demand{Service: service, OnTimeFor: time.Second, Patience: time.Second})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				used[grant.Lease.Server.ID] = true
				grant.Release()
			}
			return used
		}
		for _, d := range list {
			g.Expect(used(d)).NotTo(gomega.HaveKey(mangomodel.ServerID("s1")), "at %v", d.broker.self.Holder.Daemon)
		}
		for range 14 {
			read()
			time.Sleep(500 * time.Millisecond)
		}
		g.Expect(used(list[1])).To(gomega.HaveKey(mangomodel.ServerID("s1")), "it is tried again")
	})
}
