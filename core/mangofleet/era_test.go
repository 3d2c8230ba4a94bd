package mangofleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestListOfALaterEraIsNeverIgnored guards against a list that is ignored since the store
// came back from an older copy, whose positions are lower. Lists of the earlier era, and
// changes without what the new era began with, are.
func TestListOfALaterEraIsNeverIgnored(t *testing.T) {
	s1, s2 := plain("s1", "a1"), plain("s2", "a1")
	later := mangotraffic.Cursor{Era: 2, Position: 3}
	full := ChangeServers{Full: true, Cursor: later, Changes: []mangotraffic.ServerChange{{ID: "s2", Server: &s2}}}
	tests := []struct {
		name    string
		command ChangeServers
		listed  []mangomodel.ServerID
		cursor  mangotraffic.Cursor
	}{
		{"whole list, position behind", full, []mangomodel.ServerID{"s2"}, later},
		{"changes without the list", ChangeServers{Cursor: mangotraffic.Cursor{Era: 2, Position: 90}, Changes: full.Changes}, []mangomodel.ServerID{"s1"}, mangotraffic.Cursor{Era: 1, Position: 60}},
		{"whole list of an earlier era", ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 90}, Changes: full.Changes}, []mangomodel.ServerID{"s1"}, mangotraffic.Cursor{Era: 1, Position: 60}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 60}, Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &s1}}})
				x.do(test.command)
				view := x.fleet.View()
				x.Expect(view.ListCursor).To(gomega.Equal(test.cursor))
				x.Expect(view.Listed).To(gomega.HaveLen(len(test.listed)))
				for _, id := range test.listed {
					x.Expect(view.Listed).To(gomega.HaveKey(id))
				}
			})
		})
	}
}

// TestOlderConfigurationOfALaterEraIsFollowed guards against a configuration that reverts
// after a drill, and against one that is missed since the position of the old era is kept.
func TestOlderConfigurationOfALaterEraIsFollowed(t *testing.T) {
	bubble(t, func(x *fixture) {
		install := func(rev mangomodel.Revision, at mangotraffic.Cursor) error {
			routing, err := mangotraffic.NewRouting(rev, nil, nil, mangotraffic.Limits{})
			x.Expect(err).NotTo(gomega.HaveOccurred())
			return x.fleet.Do(context.Background(), InstallRouting{Routing: routing, Cursor: at})
		}
		x.Expect(install(7, mangotraffic.Cursor{Era: 1, Position: 60})).To(gomega.Succeed())
		x.Expect(install(5, mangotraffic.Cursor{Era: 2, Position: 3})).NotTo(gomega.Succeed())
		x.Expect(x.fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(7))
		x.Expect(x.fleet.View().RoutingCursor).To(gomega.Equal(mangotraffic.Cursor{Era: 2, Position: 3}))
		x.Expect(install(8, mangotraffic.Cursor{Era: 2, Position: 4})).To(gomega.Succeed())
		x.Expect(x.fleet.View().RoutingCursor).To(gomega.Equal(mangotraffic.Cursor{Era: 2, Position: 4}))
	})
}

// TestServerThatLeftIsNotRevivedByAnOlderCopy guards against work for a server that has left,
// since an older copy of the list still names it. The entry of a removed one is used once
// it is written again, or has outlived the time in which the store removes it.
func TestServerThatLeftIsNotRevivedByAnOlderCopy(t *testing.T) {
	at := func(era mangotraffic.Era, position uint64) mangotraffic.Cursor {
		return mangotraffic.Cursor{Era: era, Position: position}
	}
	s1, leaving, s2 := plain("s1", "a1"), plain("s1", "a1"), plain("s2", "a1")
	leaving.State = mangotraffic.StateLeaving
	list := []mangotraffic.ServerChange{{ID: "s1", Server: &s1}, {ID: "s2", Server: &s2}}
	gone := []mangotraffic.ServerChange{{ID: "s1"}}
	older := ChangeServers{Full: true, Cursor: at(2, 3), Changes: list}
	tests := []struct {
		name  string
		left  []mangotraffic.ServerChange
		then  ChangeServers
		after time.Duration
		used  bool
	}{
		{"removed", gone, ChangeServers{Cursor: at(2, 3)}, mangodeparture.ConfirmTime - time.Millisecond, false},
		{"removed, still listed later", gone, ChangeServers{Cursor: at(2, 3)}, mangodeparture.ConfirmTime, true},
		{"removed, written again", gone, ChangeServers{Cursor: at(2, 4), Changes: list[:1]}, 0, true},
		{"removed, in a further list", gone, ChangeServers{Full: true, Cursor: at(2, 9), Changes: list}, 0, false},
		{"leaving", []mangotraffic.ServerChange{{ID: "s1", Server: &leaving}}, ChangeServers{Cursor: at(2, 3)}, time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: at(1, 60), Changes: list})
				x.do(ChangeServers{Cursor: at(1, 61), Changes: test.left})
				x.do(older)
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse())
				x.Expect(x.fleet.View().MayUse("s2")).To(gomega.BeTrue())
				x.do(test.then)
				time.Sleep(test.after)
				synctest.Wait()
				x.Expect(x.fleet.View().MayUse("s1")).To(gomega.Equal(test.used))
				x.Expect(x.fleet.View().List(time.Now()).Changes).To(gomega.HaveLen(2), "other daemons are told of the entry")
			})
		})
	}
}

// TestRemovalThatIsHeardAgainForgetsNoDeparture guards against a server that is used again
// after a drill, since its removal was heard from two daemons or before two drills.
func TestRemovalThatIsHeardAgainForgetsNoDeparture(t *testing.T) {
	at := func(era mangotraffic.Era, position uint64) mangotraffic.Cursor {
		return mangotraffic.Cursor{Era: era, Position: position}
	}
	s1, s2 := plain("s1", "a1"), plain("s2", "a1")
	list := []mangotraffic.ServerChange{{ID: "s1", Server: &s1}, {ID: "s2", Server: &s2}}
	removed := func(c mangotraffic.Cursor) ChangeServers {
		return ChangeServers{Cursor: c, Changes: []mangotraffic.ServerChange{{ID: "s1"}}}
	}
	older := ChangeServers{Full: true, Cursor: at(2, 3), Changes: list}
	tests := []struct {
		name string
		then []ChangeServers
	}{
		{"from two daemons", []ChangeServers{removed(at(1, 61)), older}},
		{"in a further list", []ChangeServers{{Full: true, Cursor: at(1, 61), Changes: list[1:]}, older}},
		{"again before a second drill", []ChangeServers{older, removed(at(2, 4)), {Full: true, Cursor: at(3, 3), Changes: list}}},
		{"not in a further list before a second drill", []ChangeServers{older, {Full: true, Cursor: at(2, 4), Changes: list[1:]}, {Full: true, Cursor: at(3, 3), Changes: list}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: at(1, 60), Changes: list})
				x.do(removed(at(1, 61)))
				for _, cmd := range test.then {
					x.do(cmd)
					x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse(), "at %v", cmd.Cursor)
				}
			})
		})
	}
}

// TestEntryThatAnOlderCopyLacksIsNotGoneAtOnce guards against live servers that are dropped,
// since the store came back from a copy that is older than their entries, and against servers
// that are used although their entries were removed since.
func TestEntryThatAnOlderCopyLacksIsNotGoneAtOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		var list []mangotraffic.ServerChange
		for id, position := range map[mangomodel.ServerID]uint64{"removed": 2, "lost": 50, "gone": 51} {
			server := plain(id, "a1")
			server.Written = mangotraffic.Cursor{Era: 1, Position: position}
			list = append(list, mangotraffic.ServerChange{ID: id, Server: &server})
		}
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 60}, Changes: list})
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 2, Position: 3}})
		x.Expect(x.fleet.View().MayUse("removed")).To(gomega.BeFalse(), "the copy has it, so that it was removed since")
		time.Sleep(relist - time.Millisecond)
		x.Expect(x.fleet.View().MayUse("gone")).To(gomega.BeTrue())
		lost := plain("lost", "a1")
		x.do(ChangeServers{Cursor: mangotraffic.Cursor{Era: 2, Position: 4}, Changes: []mangotraffic.ServerChange{{ID: "lost", Server: &lost}}})
		time.Sleep(time.Second)
		synctest.Wait()
		x.Expect(x.fleet.View().MayUse("lost")).To(gomega.BeTrue(), "written again in time")
		x.Expect(x.fleet.View().MayUse("gone")).To(gomega.BeFalse(), "still missing after the time in which entries are written again")
	})
}

// TestGraceOfALostEntryIsTwoSeconds guards against a live server that is dropped early, since
// a further list lacks its entry or an outage was none, and against one that is used for
// longer, since the grace begins anew at each daemon.
func TestGraceOfALostEntryIsTwoSeconds(t *testing.T) {
	at := func(era mangotraffic.Era, position uint64) mangotraffic.Cursor {
		return mangotraffic.Cursor{Era: era, Position: position}
	}
	lost := plain("lost", "a1")
	lost.Written = at(1, 50)
	const later = 1500 * time.Millisecond
	own := ChangeServers{Full: true, Cursor: at(2, 3), From: Platform}
	told := ChangeServers{Full: true, Cursor: at(2, 70), Copy: at(2, 3), CopyAge: later, From: "d2"}
	tests := []struct {
		name string
		// failed is set if a read failed before.
		failed bool
		first  ChangeServers
		// then is applied at the time later, if it is set.
		then  Command
		grace time.Duration
	}{
		{"one list", false, own, nil, relist},
		{"a further list", false, own, ChangeServers{Full: true, Cursor: at(2, 4)}, relist},
		{"a further list of another daemon", false, own, ChangeServers{Full: true, Cursor: at(2, 70), Copy: at(2, 3), CopyAge: later, From: "d2"}, relist},
		{"outage that was none", true, own, RecordReads{Daemon: "d2", Reads: Reads{Read: later + 1500*time.Millisecond}}, relist},
		{"removed since", false, own, ChangeServers{Cursor: at(2, 4), Changes: []mangotraffic.ServerChange{{ID: "lost"}}}, later},
		{"another daemon read the first list", false, told, nil, relist - later},
		{"another daemon read it before", false, own, ChangeServers{Cursor: at(2, 3), Copy: at(2, 3), CopyAge: later + 300*time.Millisecond, From: "d2"}, relist - 300*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: at(1, 60), Changes: []mangotraffic.ServerChange{{ID: "lost", Server: &lost}}})
				time.Sleep(time.Second)
				if test.failed {
					x.do(ReadFailed{})
				}
				time.Sleep(2 * time.Second)
				x.do(test.first)
				began := time.Now()
				if test.then != nil {
					time.Sleep(later)
					x.Expect(x.fleet.View().MayUse("lost")).To(gomega.BeTrue(), "before the event")
					x.do(test.then)
				}
				if wait := time.Until(began.Add(test.grace - time.Millisecond)); wait > 0 {
					time.Sleep(wait)
					synctest.Wait()
					x.Expect(x.fleet.View().MayUse("lost")).To(gomega.BeTrue(), "before the end")
				}
				time.Sleep(time.Until(began.Add(test.grace + time.Millisecond)))
				synctest.Wait()
				x.Expect(x.fleet.View().MayUse("lost")).To(gomega.BeFalse(), "after the end")
			})
		})
	}
}

// TestServerWhoseGraceEndedEarlyIsNotRevived guards against a departure that is not recorded,
// since another daemon's reads showed that the outage was none.
func TestServerWhoseGraceEndedEarlyIsNotRevived(t *testing.T) {
	bubble(t, func(x *fixture) {
		s1 := plain("s1", "a1")
		list := []mangotraffic.ServerChange{{ID: "s1", Server: &s1}}
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 60}, Changes: list})
		time.Sleep(time.Second)
		x.do(ReadFailed{})
		time.Sleep(2 * time.Second)
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 61}})
		x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeTrue(), "tolerated after the outage")
		x.do(RecordReads{Daemon: "d2", Reads: Reads{Read: 1500 * time.Millisecond}})
		x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse(), "the outage was none")
		x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 2, Position: 3}, Changes: list})
		x.Expect(x.fleet.View().MayUse("s1")).To(gomega.BeFalse(), "after the drill")
	})
}

// TestEarlierIncarnationInAnOlderCopyReplacesNoLaterOne guards against calls to a process that
// has gone, since the copy is older than the server's restart.
func TestEarlierIncarnationInAnOlderCopyReplacesNoLaterOne(t *testing.T) {
	at := func(era mangotraffic.Era, position uint64) mangotraffic.Cursor {
		return mangotraffic.Cursor{Era: era, Position: position}
	}
	incarnation := func(n int64, written mangotraffic.Cursor) []mangotraffic.ServerChange {
		s := plain("s1", "a1")
		s.Address, s.Born, s.Written = mangomodel.Address(fmt.Sprint("x", n)), time.UnixMilli(n), written
		return []mangotraffic.ServerChange{{ID: "s1", Server: &s}}
	}
	const earlier, later, none = "x1", "x2", ""
	older := ChangeServers{Full: true, Cursor: at(2, 3), Changes: incarnation(1, at(2, 2))}
	type use struct {
		after   time.Duration
		address mangomodel.Address
	}
	tests := []struct {
		name string
		list []ChangeServers
		uses []use
	}{
		{"in the first list", []ChangeServers{older}, []use{{0, later}, {relist - 1, later}, {relist, none}, {mangodeparture.ConfirmTime - 1, none}, {mangodeparture.ConfirmTime, earlier}}},
		{"versions have passed", []ChangeServers{{Full: true, Cursor: at(2, 90), Changes: older.Changes}}, []use{{0, later}, {relist - 1, later}, {relist, none}}},
		{"in a further list", []ChangeServers{older, {Full: true, Cursor: at(2, 4), Changes: older.Changes}}, []use{{0, later}, {relist - 1, later}, {relist, none}}},
		{"removed since", []ChangeServers{older, {Cursor: at(2, 4), Changes: []mangotraffic.ServerChange{{ID: "s1"}}}}, []use{{0, none}, {time.Hour, none}}},
		{"later one written again", []ChangeServers{older, {Cursor: at(2, 4), Changes: incarnation(2, at(2, 4))}}, []use{{0, later}, {time.Hour, later}}},
		{"later one in a further list", []ChangeServers{older, {Full: true, Cursor: at(2, 4), Changes: incarnation(2, at(2, 4))}}, []use{{0, later}, {time.Hour, later}}},
		{"later one in the copy", []ChangeServers{{Full: true, Cursor: at(2, 51), Changes: incarnation(2, at(2, 51))}}, []use{{0, later}, {time.Hour, later}}},
		{"still later one", []ChangeServers{{Full: true, Cursor: at(2, 4), Changes: incarnation(3, at(2, 4))}}, []use{{0, "x3"}, {time.Hour, "x3"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: at(1, 40), Changes: incarnation(1, at(1, 2))})
				x.do(ChangeServers{Cursor: at(1, 49), Changes: []mangotraffic.ServerChange{{ID: "s1"}}})
				x.do(ChangeServers{Cursor: at(1, 51), Changes: incarnation(2, at(1, 51))})
				for _, cmd := range test.list {
					x.do(cmd)
				}
				began := time.Now()
				for _, use := range test.uses {
					time.Sleep(time.Until(began.Add(use.after)))
					synctest.Wait()
					x.Expect(x.fleet.View().Listed["s1"].Address).To(gomega.Equal(use.address), "after %v", use.after)
				}
			})
		})
	}
}
