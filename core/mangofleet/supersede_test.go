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

// restarts returns entries of a server before and after it restarted with another build.
func restarts() (earlier, later mangotraffic.Server) {
	earlier, later = plain("s1", "a1"), plain("s1", "a1")
	earlier.Build, earlier.Born = "v1", time.UnixMilli(1000)
	later.Build, later.Born = "v2", time.UnixMilli(2000)
	return earlier, later
}

// entryAt returns a command with an entry of s1 at a position.
func entryAt(server mangotraffic.Server, full bool, position uint64) ChangeServers {
	cmd := ChangeServers{
		Full: full, Cursor: mangotraffic.Cursor{Era: 2, Position: position}, From: Platform,
		Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &server}},
	}
	if !full {
		cmd.After = mangotraffic.Cursor{Era: 2, Position: position - 1}
	}
	return cmd
}

func (x *fixture) build() mangomodel.Build { return x.fleet.View().Listed["s1"].Build }

// TestEarlierIncarnationReplacesNoLaterOne guards against calls to a process that is gone, and
// streams that continue at its build, since its entry was written late or again.
func TestEarlierIncarnationReplacesNoLaterOne(t *testing.T) {
	earlier, later := restarts()
	later.Written = mangotraffic.Cursor{Era: 1, Position: 50}
	for name, begin := range map[string][]ChangeServers{
		"listed": {entryAt(later, true, 3)},
		"lost in a drill": {
			{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 60}, Changes: entryAt(later, true, 0).Changes},
			{Full: true, Cursor: mangotraffic.Cursor{Era: 2, Position: 3}},
		},
	} {
		for _, full := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				bubble(t, func(x *fixture) {
					for _, cmd := range begin {
						x.do(cmd)
					}
					for position := range uint64(3) {
						x.do(entryAt(earlier, full, 4+position))
						x.Expect(x.build()).To(gomega.BeEquivalentTo("v2"))
					}
					time.Sleep(time.Second)
					x.do(entryAt(later, full, 7))
					x.Expect(x.fleet.View().List(time.Now()).Changes).To(gomega.HaveLen(1))
					time.Sleep(time.Hour)
					synctest.Wait()
					x.Expect(x.build()).To(gomega.BeEquivalentTo("v2"))
				})
			})
		}
	}
}

// TestDaemonIsToldOfTheLaterIncarnationOnly guards against a list for another daemon that
// names a server twice, so that it removes or replaces it.
func TestDaemonIsToldOfTheLaterIncarnationOnly(t *testing.T) {
	earlier, later := restarts()
	bubble(t, func(x *fixture) {
		x.do(entryAt(later, true, 3))
		x.do(entryAt(earlier, false, 4))
		list := x.fleet.View().List(time.Now())
		x.Expect(list.Changes).To(gomega.Equal([]mangotraffic.ServerChange{{ID: "s1", Server: &later}}))
	})
}

// TestEarlierIncarnationIsKeptOutForABoundedTime guards against a server that stays out of use
// since another writer has listed it with a later start.
func TestEarlierIncarnationIsKeptOutForABoundedTime(t *testing.T) {
	earlier, later := restarts()
	for _, full := range []bool{false, true} {
		bubble(t, func(x *fixture) {
			x.do(entryAt(later, true, 3))
			for second := range uint64(mangodeparture.ConfirmTime / time.Second) {
				x.do(entryAt(earlier, full, 4+second))
				x.Expect(x.build()).To(gomega.BeEquivalentTo("v2"))
				time.Sleep(time.Second)
			}
			synctest.Wait()
			x.Expect(x.build()).To(gomega.BeEquivalentTo("v1"))
		})
		bubble(t, func(x *fixture) {
			x.do(entryAt(later, true, 3))
			x.do(entryAt(earlier, full, 4))
			x.do(ChangeServers{Cursor: mangotraffic.Cursor{Era: 2, Position: 5}, Changes: []mangotraffic.ServerChange{{ID: "s1"}}})
			x.Expect(x.listed()).To(gomega.BeEmpty())
			x.do(entryAt(earlier, false, 6))
			x.Expect(x.build()).To(gomega.BeEquivalentTo("v1"))
		})
	}
}

// TestStartInTheFutureKeepsNoServerOut guards against an entry of another writer that keeps
// out the server itself.
func TestStartInTheFutureKeepsNoServerOut(t *testing.T) {
	bubble(t, func(x *fixture) {
		earlier, later := restarts()
		later.Born = time.Now().Add(2 * maxClockOffset)
		x.do(entryAt(later, true, 3))
		x.do(entryAt(earlier, false, 4))
		x.Expect(x.build()).To(gomega.BeEquivalentTo("v1"))
	})
}
