package mangofleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// TestStreamThatHasBegunPassesNewOnes guards against streams that cannot go on, since new ones
// that any build could serve take the servers of the build that began them.
func TestStreamThatHasBegunPassesNewOnes(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1, s2 := plain("s1", "a1"), plain("s2", "a1")
		s1.Build, s2.Build = "v1", "v2"
		x.list(1, s1, s2)
		held := make(map[mangomodel.ServerID][]mangolease.ID)
		for {
			d := call()
			d.Patience = time.Millisecond
			id, lease, err := x.acquire(d)
			if err != nil {
				break
			}
			held[lease.Server.ID] = append(held[lease.Server.ID], id)
		}
		granted := make(chan bool, 4)
		wait := func(d mangolease.Demand) {
			go func() {
				if _, _, err := x.acquire(d); err == nil {
					granted <- d.Bound
				}
			}()
			synctest.Wait()
		}
		wait(call())
		wait(call())
		bound := call()
		bound.Build, bound.Bound = "v1", true
		wait(bound)
		x.do(Release{Lease: held["s1"][0]})
		synctest.Wait()
		x.Expect(granted).To(gomega.Receive(gomega.BeTrue()))
		x.do(Release{Lease: held["s2"][0]})
		synctest.Wait()
		x.Expect(granted).To(gomega.Receive(gomega.BeFalse()), "new streams use the other build")
		time.Sleep(call().Patience + time.Second)
	})
}

// TestServersWithRoomAreNotHeld guards against new calls that are refused beside idle servers,
// since a stream waits that may not use them.
func TestServersWithRoomAreNotHeld(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1, s2 := plain("s1", "a1"), plain("s2", "a1")
		s1.Build, s2.Build = "v1", "v2"
		x.list(1, s1, s2)
		bound := call()
		bound.Build, bound.Bound, bound.Avoid = "v1", true, []mangomodel.ServerID{"s1"}
		go x.acquire(bound)
		synctest.Wait()
		used := make(map[mangomodel.ServerID]int)
		for range 8 {
			_, lease := x.mustAcquire(call())
			used[lease.Server.ID]++
		}
		x.Expect(used).To(gomega.Equal(map[mangomodel.ServerID]int{"s1": 4, "s2": 4}))
		time.Sleep(bound.Patience)
	})
}

// TestHeldServersLetNoLessUrgentDemandPass guards against a large demand that others pass all
// the time, since demands behind it are tried while servers are held.
func TestHeldServersLetNoLessUrgentDemandPass(t *testing.T) {
	bubble(t, func(x *fixture) {
		d1, d2 := decode("d1", "a1"), decode("d2", "a1")
		d1.Build, d2.Build = "v1", "v2"
		x.list(1, d1, d2, prefill("p1", "a1"))
		bound := func(build mangomodel.Build, prompt mangomodel.Tokens) mangolease.Demand {
			d := generation(prompt, 10)
			d.Build, d.Bound = build, true
			return d
		}
		for range 4 {
			id, _ := x.mustAcquire(bound("v1", 100))
			x.do(PrefillDone{Lease: id})
		}
		id, _ := x.mustAcquire(bound("v2", 5000))
		x.do(PrefillDone{Lease: id})
		large, small := generation(6000, 10), generation(100, 10)
		small.Priority = 9
		granted := make(chan mangomodel.Tokens, 3)
		for _, d := range []mangolease.Demand{bound("v1", 100), large, small} {
			go func() {
				if _, _, err := x.acquire(d); err == nil {
					granted <- d.Generation.Prompt
				}
			}()
			synctest.Wait()
		}
		x.Expect(granted).To(gomega.BeEmpty())
		x.do(Release{Lease: id})
		synctest.Wait()
		// Both have room then, and their goroutines may run in any order.
		var prompts []mangomodel.Tokens
		for len(granted) > 0 {
			prompts = append(prompts, <-granted)
		}
		x.Expect(prompts).To(gomega.ConsistOf(mangomodel.Tokens(6000), mangomodel.Tokens(100)))
		time.Sleep(5 * time.Second)
	})
}

// TestStreamAtOneBuildIsRefusedAtOnce guards against a stream that waits in vain, since its
// wait is not predicted.
func TestStreamAtOneBuildIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		s := plain("s1", "a1")
		s.Build = "v1"
		x.list(1, s)
		d := call()
		d.OnTimeFor, d.Patience = 30*time.Second, 30*time.Second
		for range 60 {
			go func() {
				if id, _, err := x.acquire(d); err == nil {
					time.Sleep(400 * time.Millisecond)
					x.do(Release{Lease: id})
				}
			}()
		}
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		bound := call()
		bound.Build, bound.Bound = "v1", true
		began := time.Now()
		_, _, err := x.acquire(bound)
		x.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("predicted wait")))
		x.Expect(time.Since(began)).To(gomega.BeZero())
		time.Sleep(d.Patience)
	})
}

// BenchmarkQueueOfHeldServers serves a queue of 500 demands at 400 full engines of two builds.
func BenchmarkQueueOfHeldServers(b *testing.B) {
	s := newState(Self{Member: mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, Strong: true}}, func() mangobudget.Limits { return testLimits })
	routing, err := mangotraffic.NewRouting(1, nil, []mangotraffic.Service{{Name: app}}, mangotraffic.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	s.routing = routing
	s.pool.Configure(routing)
	now := time.Now()
	for i := range 400 {
		server := plain(mangomodel.ServerID(fmt.Sprint("s", i)), "a1")
		server.Build = mangomodel.Build(fmt.Sprint("v", i%2))
		s.pool.PutServer(server)
	}
	number := uint64(0)
	pending := func(bound bool) *mangolease.PendingDemand {
		number++
		d := call()
		d.Patience = time.Hour
		if bound {
			d.Build, d.Bound = "v0", true
		}
		return mangolease.NewPendingDemand(mangolease.ID{Number: number}, d, now)
	}
	for s.pool.Grant(pending(false), now) {
	}
	for i := range 500 {
		s.queue = append(s.queue, &waiter{PendingDemand: pending(i%10 == 0), queued: true})
	}
	for b.Loop() {
		now = now.Add(queueInterval)
		s.serveQueue(now)
	}
}
