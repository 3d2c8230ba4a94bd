package mangosched

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// A holder renews a preempted grant until it releases it, and grants of a renewal
// that the scheduler does not have are adopted. Adopting a preempted grant would
// take its slot a second time.
func TestPreemptedGrantStaysEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 10)
	s.shards[shard0].Pool.Preempt = true
	for i := range 10 {
		s.Acquire(start, shard0, demandOf(other, fmt.Sprint("b", i), mangomodel.RankBasic))
	}
	before := s.Grants()
	for i := range 10 {
		s.Acquire(start, shard0, demand(fmt.Sprint("u", i), mangomodel.RankUrgent))
	}
	used := s.Status()[0].Used
	g.Expect(used[mangomodel.RankBasic]).To(gomega.Equal(1), "the floor")
	g.Expect(used[mangomodel.RankUrgent]).To(gomega.Equal(9))
	s.Adopt(start, before)
	g.Expect(s.Status()[0].Used).To(gomega.Equal(used), "Adopt does not restore preempted grants")
	preempted := 0
	for _, grant := range before {
		if mangomodel.HasCode(s.Release(start, grant.ID, mangomodel.Usage{}), mangomodel.CodePreempted) {
			preempted++
		}
	}
	g.Expect(preempted).To(gomega.Equal(len(before) - 1))
}
