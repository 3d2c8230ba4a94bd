package mangofleet

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestObserverIsNotifiedOnce checks that the observer is notified of each change
// exactly once, whichever peer it was received from. The log that explains a call
// later is written from these notifications.
func TestObserverIsNotifiedOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(2, plain("s1", "a1"))
		x.do(ChangeServers{Cursor: mangotraffic.Cursor{Position: 2}, Age: time.Second})
		old := ChangeServers{Cursor: mangotraffic.Cursor{Position: 1}, From: "d2", Changes: []mangotraffic.ServerChange{{ID: "s1"}}}
		x.do(old)
		routing, err := mangotraffic.NewRouting(3, nil, nil, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		x.do(InstallRouting{Routing: routing, From: "d2"})
		x.do(InstallRouting{Routing: routing, Cursor: mangotraffic.Cursor{Position: 9}, From: "platform"})
		older, err := mangotraffic.NewRouting(2, nil, nil, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		x.Expect(x.fleet.Do(context.Background(), InstallRouting{Routing: older})).NotTo(gomega.Succeed())
		x.Expect(x.observed.revisions).To(gomega.Equal([]mangomodel.Revision{1, 3}))
		x.Expect(x.observed.lists).To(gomega.HaveLen(1))
		x.Expect(x.observed.ignored).To(gomega.Equal([]ChangeServers{old}))
	})
}

// TestObserverIsNotifiedOfHealth checks that the observer is notified once when a
// server is ejected, and once more when a later call to it succeeds.
func TestObserverIsNotifiedOfHealth(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("s1", "a1"))
		observe := func(outcome mangolease.Outcome) {
			x.do(Observe{Observation: mangolease.Observation{Server: "s1", Saw: outcome}})
		}
		for range 3 {
			observe(mangolease.OutcomeFailure)
		}
		observe(mangolease.OutcomeFailure)
		x.Expect(x.observed.usable).To(gomega.Equal([]bool{false}))
		time.Sleep(time.Minute)
		observe(mangolease.OutcomeSuccess)
		observe(mangolease.OutcomeSuccess)
		x.Expect(x.observed.usable).To(gomega.Equal([]bool{false, true}))
	})
}

// TestOutlierIsLoggedOnce guards against a line for each renewal that repeats an
// ejection, and against calls in progress whose success ends it.
func TestOutlierIsLoggedOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("grey", "a1"), plain("sound", "b1"))
		for left := 2 * time.Second; left > 0; left -= 250 * time.Millisecond {
			x.do(EjectServers{Ejections: []Ejection{{Server: "grey", For: left + time.Millisecond}}})
			x.do(Observe{Observation: mangolease.Observation{Server: "grey", Saw: mangolease.OutcomeSuccess}})
			id, lease := x.mustAcquire(call())
			x.Expect(lease.Server.ID).To(gomega.BeEquivalentTo("sound"))
			x.do(Release{Lease: id})
			time.Sleep(250 * time.Millisecond)
		}
		x.Expect(x.observed.usable).To(gomega.Equal([]bool{false}))
		time.Sleep(time.Second)
		_, lease := x.mustAcquire(call())
		x.Expect(lease.Server.ID).To(gomega.BeEquivalentTo("grey"))
	})
}
