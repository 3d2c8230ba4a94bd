package mangodeparture

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

func server(state mangotraffic.State, born time.Time) *mangotraffic.Server {
	return &mangotraffic.Server{ID: "s", Address: "a", State: state, Born: born}
}

func TestJudge(t *testing.T) {
	now := time.Now()
	ready, leaving := server(mangotraffic.StateReady, now), server(mangotraffic.StateLeaving, now)
	tests := []struct {
		name  string
		left  *mangotraffic.Server
		ago   time.Duration
		entry *mangotraffic.Server
		want  Verdict
	}{
		{"has not left", nil, 0, ready, VerdictUse},
		{"was removed", ready, time.Second, ready, VerdictDefer},
		{"announced that it leaves", leaving, time.Second, ready, VerdictWithdraw},
		{"was removed, had announced it in the copy", ready, time.Second, leaving, VerdictWithdraw},
		{"earlier incarnation", ready, time.Second, server(mangotraffic.StateReady, now.Add(-time.Second)), VerdictDefer},
		{"later incarnation", leaving, time.Second, server(mangotraffic.StateReady, now.Add(time.Second)), VerdictUse},
		{"left long ago", ready, Retention, ready, VerdictUse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			if test.left != nil {
				d.Left(test.left, now.Add(-test.ago))
			}
			d.Restored(now)
			gomega.NewWithT(t).Expect(d.Judge(test.entry, now)).To(gomega.Equal(test.want))
		})
	}
}

// TestDeferredEntryIsUsedOnceConfirmed guards against a live server that stays out of use.
func TestDeferredEntryIsUsedOnceConfirmed(t *testing.T) {
	now := time.Now()
	entry := server(mangotraffic.StateReady, now)
	later := server(mangotraffic.StateReady, now.Add(time.Second))
	tests := []struct {
		name string
		then func(d *Departures)
		// used is how many entries are confirmed.
		used int
	}{
		{"still listed", func(*Departures) {}, 1},
		{"written", func(d *Departures) { d.Written("s") }, 0},
		{"removed", func(d *Departures) { d.Removed("s", now) }, 0},
		{"in a further list", func(d *Departures) { d.Retain(map[mangomodel.ServerID]*mangotraffic.Server{"s": entry}, now) }, 1},
		{"not in a further list", func(d *Departures) { d.Retain(nil, now) }, 0},
		{"later incarnation in a further list", func(d *Departures) { d.Retain(map[mangomodel.ServerID]*mangotraffic.Server{"s": later}, now) }, 0},
		{"newer copy", func(d *Departures) { d.Restored(now) }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := New()
			d.Left(entry, now)
			d.Restored(now)
			g.Expect(d.Judge(entry, now)).To(gomega.Equal(VerdictDefer))
			d.Defer(entry, now)
			test.then(d)
			g.Expect(d.Confirmed(now.Add(ConfirmTime - 1))).To(gomega.BeEmpty())
			confirmed := d.Confirmed(now.Add(ConfirmTime))
			g.Expect(confirmed).To(gomega.HaveLen(test.used))
			for _, server := range confirmed {
				d.Written(server.ID)
			}
			g.Expect(d.Confirmed(now.Add(time.Hour))).To(gomega.BeEmpty())
		})
	}
}

// TestDepartureLastsUntilAMinuteAfterTheLastRemoval guards against a departure that is
// forgotten when the removal is heard again, or while a copy still names the server.
func TestDepartureLastsUntilAMinuteAfterTheLastRemoval(t *testing.T) {
	now := time.Now()
	late := now.Add(Retention - time.Second)
	entry := server(mangotraffic.StateReady, now)
	tests := []struct {
		name string
		then func(d *Departures)
		want Verdict
	}{
		{"heard once", func(*Departures) {}, VerdictUse},
		{"heard again", func(d *Departures) { d.Removed("s", late) }, VerdictDefer},
		{"deferred", func(d *Departures) { d.Defer(entry, late) }, VerdictDefer},
		{"deferred, not in a further list", func(d *Departures) {
			d.Defer(entry, now)
			d.Retain(nil, late)
		}, VerdictDefer},
		{"written", func(d *Departures) { d.Written("s") }, VerdictUse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			d.Left(entry, now)
			test.then(d)
			d.Restored(now)
			gomega.NewWithT(t).Expect(d.Judge(entry, now.Add(Retention))).To(gomega.Equal(test.want))
		})
	}
}
