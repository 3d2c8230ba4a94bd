package mangofleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

func leaves(s mangotraffic.Server) mangolease.Announcement {
	return mangolease.Announcement{Request: "r", Server: s.Ref(), Leaving: true}
}

// TestAnnouncedServerStaysWithdrawn guards against a list that puts a leaving server
// back into use: an older one, a snapshot, a newer entry that still says ready, or an
// entry that vanished and returned.
func TestAnnouncedServerStaysWithdrawn(t *testing.T) {
	s1 := plain("s1", "a1")
	newer := s1
	newer.Slots = 3
	put := func(position uint64, s *mangotraffic.Server) ChangeServers {
		return ChangeServers{After: mangotraffic.Cursor{Position: position - 1}, Cursor: mangotraffic.Cursor{Position: position}, Changes: []mangotraffic.ServerChange{{ID: "s1", Server: s}}}
	}
	snapshot := put(9, &s1)
	snapshot.Full = true
	tests := []struct {
		name string
		cmds []Command
	}{
		{"the list names it as ready", nil},
		{"older list", []Command{put(3, &s1)}},
		{"newer entry of the same incarnation", []Command{put(6, &newer)}},
		{"snapshot", []Command{snapshot}},
		{"entry lost and restored", []Command{put(6, nil), put(7, &s1)}},
		{"entry lost in an outage and restored", []Command{ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 6}, Changes: []mangotraffic.ServerChange{{ID: "s1", Grace: grace}, {ID: "s2", Grace: grace}}}, put(7, &s1)}},
		{"renewals without it", []Command{Renew{Holder: mangomodel.Holder{Daemon: "d2"}}, Withdraw{From: "d2"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.list(5, s1, plain("s2", "b1"))
				x.fleet.Announced(leaves(s1))
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse())
				for _, cmd := range test.cmds {
					x.do(cmd)
				}
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse())
				x.Expect(x.observed.withdrawn).To(gomega.HaveLen(1))
				s2 := plain("s2", "b1")
				x.do(ChangeServers{Cursor: mangotraffic.Cursor{Position: 10}, Changes: []mangotraffic.ServerChange{{ID: "s2", Server: &s2}}})
				_, lease := x.mustAcquire(call())
				x.Expect(lease.Server.ID).To(gomega.BeEquivalentTo("s2"))
				restarted := s1
				restarted.Born = s1.Born.Add(time.Second)
				x.do(ChangeServers{Cursor: mangotraffic.Cursor{Position: 11}, Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &restarted}}})
				x.fleet.Announced(leaves(s1))
				x.do(Withdraw{Servers: []mangotraffic.ServerRef{s1.Ref()}, From: "d2"})
				x.Expect(x.fleet.View().HasWithdrawn([]mangotraffic.ServerRef{s1.Ref()})).To(gomega.BeTrue())
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeTrue(), "a late answer of the earlier incarnation does not count")
				_, lease = x.mustAcquire(call())
				x.Expect(lease.Server.ID).To(gomega.BeEquivalentTo("s1"))
			})
		})
	}
}

// TestAnnouncementBeforeTheListHolds guards against a daemon without a list that uses a
// server again which has told it that it leaves.
func TestAnnouncementBeforeTheListHolds(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1 := plain("s1", "a1")
		x.fleet.Announced(leaves(s1))
		x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse())
		x.Expect(x.fleet.View().MayUse("s2")).To(gomega.BeTrue())
		x.list(1, s1)
		x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse())
	})
}

// TestWithdrawalsAreReportedUntilTheListConfirms guards against messages that grow with
// servers that every daemon knows from the list.
func TestWithdrawalsAreReportedUntilTheListConfirms(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1, s2 := plain("s1", "a1"), plain("s2", "a1")
		x.list(1, s1, s2)
		x.fleet.Announced(leaves(s1))
		x.do(Withdraw{Servers: []mangotraffic.ServerRef{s2.Ref()}, From: "d2"})
		x.Expect(x.fleet.View().Withdrawals(true)).To(gomega.ConsistOf(s1.Ref()))
		x.Expect(x.fleet.View().Withdrawals(false)).To(gomega.ConsistOf(s1.Ref(), s2.Ref()))
		s1.State = mangotraffic.StateLeaving
		x.list(2, s1)
		x.Expect(x.fleet.View().Withdrawals(false)).To(gomega.BeEmpty())
	})
}

// TestLastServerLeaves guards against calls that wait for a server that takes no work
// again, and against a stream that ends although a server is listed soon.
func TestLastServerLeaves(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d", "a1"), prefill("p", "a1"))
		for range 4 {
			x.mustAcquire(generation(100, 100))
		}
		began, refusal := time.Now(), make(chan error, 1)
		go func() {
			_, _, err := x.acquire(generation(100, 100))
			refusal <- err
		}()
		synctest.Wait()
		x.Expect(refusal).NotTo(gomega.Receive())
		x.fleet.Announced(leaves(decode("d", "a1")))
		_, _, err := x.acquire(generation(100, 100))
		for _, err := range []error{err, <-refusal} {
			x.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
			x.Expect(err.Error()).To(gomega.ContainSubstring("1 leaving"))
		}
		x.Expect(time.Since(began)).To(gomega.BeNumerically("<=", queueInterval))
		time.AfterFunc(time.Second, func() { x.list(2, decode("d2", "a1"), prefill("p", "a1")) })
		begun := generation(100, 100)
		begun.Begun, begun.Prefilled = true, true
		x.mustAcquire(begun)
	})
}

// TestSchedulerPlacesNothingAtAnAnnouncedServer guards against slots and stage changes
// at an engine that a daemon knows to leave.
func TestSchedulerPlacesNothingAtAnAnnouncedServer(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.do(UpdateMembers{Sightings: []mangoroster.Sighting{{Member: mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d2"}}}}})
		x.do(Renew{Holder: mangomodel.Holder{Daemon: "d2"}})
		time.Sleep(takeoverTime)
		x.do(Renew{Holder: mangomodel.Holder{Daemon: "d2"}})
		x.list(1, decode("d1", "a1"), decode("d2", "b1"), prefill("p1", "a1"), prefill("p2", "a2"))
		x.do(Withdraw{Servers: []mangotraffic.ServerRef{ref(decode("d1", "a1")), ref(prefill("p1", "a1"))}, From: "d2"})
		_, lease := x.mustAcquire(generation(100, 100))
		x.Expect(lease.Server.ID).To(gomega.BeEquivalentTo("d2"))
		x.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p2"))
	})
}

func ref(s mangotraffic.Server) mangotraffic.ServerRef { return s.Ref() }

func backsOff(s mangotraffic.Server, d time.Duration) mangolease.Announcement {
	return mangolease.Announcement{Request: "r", Server: s.Ref(), Backoff: d}
}

// TestCallsReturnGraduallyAfterTheTime guards against a call within the time that a server
// asked for, and against a herd at its end: twenty calls wait for the only server.
func TestCallsReturnGraduallyAfterTheTime(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1 := plain("s1", "a1")
		s1.Slots = 40
		x.list(1, s1)
		x.fleet.Announced(backsOff(s1, time.Second))
		began := time.Now()
		granted := make(chan time.Duration, 20)
		for range 20 {
			go func() {
				d := call()
				d.Patience = 3 * time.Second
				x.mustAcquire(d)
				granted <- time.Since(began)
			}()
		}
		time.Sleep(time.Second - time.Nanosecond)
		x.Expect(granted).To(gomega.BeEmpty())
		x.Expect(x.fleet.View().Backoff("s1", time.Now())).To(gomega.Equal(time.Nanosecond))
		x.Expect(x.fleet.View().Backoff("s1", time.Now().Add(1))).To(gomega.BeZero())
		time.Sleep(100 * time.Millisecond)
		x.Expect(granted).To(gomega.HaveLen(1))
		time.Sleep(500 * time.Millisecond)
		x.Expect(granted).To(gomega.HaveLen(20))
	})
}

// TestAllServersAskedForTime guards against calls that wait in vain, and against clients
// that return too early or all at once.
func TestAllServersAskedForTime(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1, s2 := plain("s1", "a1"), plain("s2", "a1")
		x.list(1, s1, s2)
		x.fleet.Announced(backsOff(s1, 5*time.Second))
		x.mustAcquire(call())
		retry := call()
		retry.Avoid = []mangomodel.ServerID{"s2"}
		_, _, err := x.acquire(retry)
		x.Expect(mangomodel.AsFault(err, 0).RetryAfter).To(gomega.BeNumerically("~", 5500*time.Millisecond, 500*time.Millisecond))
		x.fleet.Announced(backsOff(s2, 3*time.Second))
		began, returns := time.Now(), make(map[time.Duration]bool)
		for range 10 {
			_, _, err := x.acquire(call())
			x.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("2 backing off")))
			after := mangomodel.AsFault(err, 0).RetryAfter
			x.Expect(after).To(gomega.BeNumerically("~", 3500*time.Millisecond, 500*time.Millisecond))
			returns[after] = true
		}
		x.Expect(time.Since(began)).To(gomega.BeZero())
		x.Expect(returns).To(gomega.HaveLen(10))
		x.Expect(x.observed.backoffs).To(gomega.HaveLen(2))
	})
}

// TestSchedulerExcludesOneDaemon guards against slots at a server that has asked the
// demand's daemon for time, and against such a demand that blocks those of others.
func TestSchedulerExcludesOneDaemon(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d", "a1"), prefill("p", "a1"))
		other := mangomodel.Holder{Daemon: "d2"}
		acquire := func(h mangomodel.Holder) error {
			d := generation(100, 100)
			d.Patience = 600 * time.Millisecond
			return x.fleet.Do(context.Background(), Acquire{Lease: mangolease.ID{Holder: h, Number: x.next.Add(1)}, Demand: d})
		}
		ref := ref(decode("d", "a1"))
		x.do(Renew{Holder: other, Backoffs: []mangobackoff.Entry{{Server: ref, For: 500 * time.Millisecond}}})
		time.Sleep(takeoverTime)
		x.do(Renew{Holder: other, Backoffs: []mangobackoff.Entry{{Server: ref, For: 200 * time.Millisecond}}})
		began, granted := time.Now(), make(chan time.Duration, 1)
		go func() {
			x.Expect(acquire(other)).To(gomega.Succeed())
			granted <- time.Since(began)
		}()
		synctest.Wait()
		x.Expect(acquire(x.self)).To(gomega.Succeed())
		x.Expect(time.Since(began)).To(gomega.BeZero())
		x.Expect(<-granted).To(gomega.BeNumerically("~", 200*time.Millisecond, queueInterval))
	})
}

// TestServerThatAskedManyDaemonsGetsLess guards against the load of the daemons that were
// asked for time on a server, placed by those that were not.
func TestServerThatAskedManyDaemonsGetsLess(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, decode("d", "a1"), prefill("p", "a1"))
		other := mangomodel.Holder{Daemon: "d2"}
		x.do(UpdateMembers{Sightings: []mangoroster.Sighting{{Member: mangoroster.Member{Holder: other}}}})
		for range 2 {
			x.do(Renew{Holder: other, Backoffs: []mangobackoff.Entry{{Server: ref(decode("d", "a1")), For: 10 * time.Second}}})
			time.Sleep(takeoverTime)
		}
		short := generation(100, 100)
		short.Patience = 10 * time.Millisecond
		for range 2 {
			x.mustAcquire(short)
		}
		_, _, err := x.acquire(short)
		x.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("1 full")))
	})
}

// TestTimeEndsWithTheIncarnation guards against a restarted server that stays unused for
// the time that it asked for before.
func TestTimeEndsWithTheIncarnation(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1 := plain("s1", "a1")
		x.list(1, s1)
		x.fleet.Announced(backsOff(s1, time.Minute))
		s1.Slots++
		x.list(2, s1)
		x.Expect(x.fleet.View().Backoff("s1", time.Now())).To(gomega.Equal(time.Minute), "a newer entry of the same incarnation")
		earlier := s1.Ref()
		s1.Born = s1.Born.Add(time.Second)
		x.list(3, s1)
		x.Expect(x.fleet.View().Backoff("s1", time.Now())).To(gomega.BeZero())
		x.fleet.Announced(mangolease.Announcement{Server: earlier, Backoff: time.Minute})
		x.Expect(x.fleet.View().Backoff("s1", time.Now())).To(gomega.BeZero())
		x.mustAcquire(call())
	})
}

// TestRepeatedAnnouncementsBringNoRenewalForward guards against a renewal for each answer
// of a server that leaves or refuses many calls.
func TestRepeatedAnnouncementsBringNoRenewalForward(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1 := plain("s1", "a1")
		x.list(1, s1)
		for range 10 {
			a := backsOff(s1, time.Second)
			a.Leaving = true
			x.fleet.Announced(a)
			time.Sleep(10 * time.Millisecond)
		}
		x.Expect(x.fleet.View().Announced).To(gomega.BeEquivalentTo(2))
	})
}
