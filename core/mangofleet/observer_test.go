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

// TestBeliefsAreTold checks that whoever explains a call later hears of each
// change, wherever it was learned, and once.
func TestBeliefsAreTold(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(2, plain("s1", "a1"))
		x.do(ChangeServers{Cursor: 2, Age: time.Second})
		old := ChangeServers{Cursor: 1, From: "d2", Changes: []mangotraffic.ServerChange{{ID: "s1"}}}
		x.do(old)
		routing, err := mangotraffic.NewRouting(3, nil, nil, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		x.do(InstallRouting{Routing: routing, From: "d2"})
		x.do(InstallRouting{Routing: routing, Cursor: 9, From: "platform"})
		older, err := mangotraffic.NewRouting(2, nil, nil, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		x.Expect(x.fleet.Do(context.Background(), InstallRouting{Routing: older})).NotTo(gomega.Succeed())
		x.Expect(x.beliefs.revisions).To(gomega.Equal([]mangomodel.Revision{1, 3}))
		x.Expect(x.beliefs.lists).To(gomega.HaveLen(1))
	})
}

// TestHealthIsTold checks that a server that is set aside is told of once, and
// again when a call has shown that it works.
func TestHealthIsTold(t *testing.T) {
	bubble(t, func(x *fixture) {
		x.list(1, plain("s1", "a1"))
		see := func(saw mangolease.Observation) {
			x.do(Observe{mangolease.Observed{Server: "s1", Saw: saw}})
		}
		for range 3 {
			see(mangolease.ObservedFailure)
		}
		see(mangolease.ObservedFailure)
		x.Expect(x.beliefs.usable).To(gomega.Equal([]bool{false}))
		time.Sleep(time.Minute)
		see(mangolease.ObservedSuccess)
		see(mangolease.ObservedSuccess)
		x.Expect(x.beliefs.usable).To(gomega.Equal([]bool{false, true}))
	})
}
