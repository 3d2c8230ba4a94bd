package mangofleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
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
