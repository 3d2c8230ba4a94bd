package mangostage

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

func TestRotationReachesAllServers(t *testing.T) {
	tests := []struct{ servers, most, rounds int }{{0, 4, 1}, {3, 4, 1}, {4, 4, 1}, {5, 4, 2}, {9, 4, 3}, {64, 4, 16}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			g := gomega.NewWithT(t)
			seen := make(map[mangomodel.ServerID]bool)
			for round := range test.rounds {
				var list []mangotraffic.Server
				for i := range test.servers {
					// Each round lists the servers in another order.
					list = append(list, mangotraffic.Server{ID: mangomodel.ServerID(fmt.Sprint((i + 7*round) % test.servers))})
				}
				queried := rotate(list, round*test.most, test.most)
				g.Expect(len(queried)).To(gomega.Equal(min(test.servers, test.most)))
				for _, s := range queried {
					seen[s.ID] = true
				}
			}
			g.Expect(seen).To(gomega.HaveLen(test.servers))
		})
	}
}
