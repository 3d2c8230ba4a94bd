package mangofleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestToldDepartureHoldsOutOnlyEntriesOfTheCopy guards against live servers that are out of
// use, or deferred anew, since another daemon tells that they had left before the drill.
func TestToldDepartureHoldsOutOnlyEntriesOfTheCopy(t *testing.T) {
	at := func(era mangotraffic.Era, position uint64) mangotraffic.Cursor {
		return mangotraffic.Cursor{Era: era, Position: position}
	}
	incarnation := func(n int64, written mangotraffic.Cursor) mangotraffic.Server {
		s := plain("s1", "a1")
		s.Born, s.Written = time.UnixMilli(n), written
		return s
	}
	departure := func(n int64, leaving bool) []Departure {
		s := incarnation(n, mangotraffic.Cursor{})
		return []Departure{{Server: s.Ref(), Leaving: leaving, Age: 3 * time.Second}}
	}
	const confirm = mangodeparture.ConfirmTime
	ofCopy, since := incarnation(2, at(2, 2)), incarnation(2, at(2, 4))
	tests := []struct {
		name  string
		entry mangotraffic.Server
		left  []Departure
		// age is the time since the copy was read, as told.
		age time.Duration
		// used is whether the server is used then, and later once entries are confirmed.
		used, later bool
	}{
		{"entry of the copy", ofCopy, departure(2, false), time.Second, false, true},
		{"entry of the copy, leaving", ofCopy, departure(2, true), time.Second, false, false},
		{"entry of the copy, a later incarnation left", ofCopy, departure(3, false), time.Second, false, true},
		{"an earlier incarnation left", ofCopy, departure(1, false), time.Second, true, true},
		{"written since", since, departure(2, false), time.Second, true, true},
		{"confirmed", ofCopy, departure(2, false), confirm, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: at(2, 4), From: Platform, Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &test.entry}}})
				x.do(ChangeServers{Cursor: at(2, 4), Copy: at(2, 3), CopyAge: test.age, Left: test.left, From: "d2"})
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.Equal(test.used))
				time.Sleep(confirm - test.age)
				synctest.Wait()
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.Equal(test.later))
			})
		})
	}
}

// TestToldDepartureEndsTheGraceOfALostEntry guards against a server that is used for two
// seconds after a drill, although another daemon knows that it had left, or again after that.
func TestToldDepartureEndsTheGraceOfALostEntry(t *testing.T) {
	bubble(t, func(x *fixture) {
		left, lost, earlier := plain("left", "a1"), plain("lost", "a1"), plain("lost", "a1")
		left.Written, lost.Written = mangotraffic.Cursor{Era: 1, Position: 50}, mangotraffic.Cursor{Era: 1, Position: 51}
		lost.Born = earlier.Born.Add(time.Second)
		copied := mangotraffic.Cursor{Era: 2, Position: 3}
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 60}, Changes: []mangotraffic.ServerChange{{ID: "left", Server: &left}, {ID: "lost", Server: &lost}}})
		x.do(ChangeServers{Full: true, Cursor: copied, From: Platform})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("left"), mangomodel.ServerID("lost")))
		x.do(ChangeServers{Cursor: copied, Copy: copied, Left: []Departure{{Server: left.Ref()}, {Server: earlier.Ref()}}, From: "d2"})
		x.Expect(x.listed()).To(gomega.ConsistOf(mangomodel.ServerID("lost")))
		time.Sleep(mangodeparture.ConfirmTime)
		synctest.Wait()
		x.Expect(x.listed()).To(gomega.BeEmpty())
	})
}
