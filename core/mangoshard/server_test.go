package mangoshard

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

func TestNewGrantKeepsTargetsOfCurrentGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	sv := NewServer("d", mangoconfig.Host{Slots: 20, Pieces: 100})
	for range 20 {
		for n := 1; n <= 20; n++ {
			sv.StepModel.Add(float64(n), time.Duration(10+2*n)*time.Millisecond)
		}
	}
	tight := mangomodel.Grant{TPOT: 31 * time.Millisecond, Pieces: 1}
	for range 9 {
		sv.AddGrant(tight)
	}
	loose := mangomodel.Demand{TPOT: 60 * time.Millisecond}
	g.Expect(sv.MeetsTargets(loose)).To(gomega.BeFalse(), "with a tenth sequence a step would take 30 ms")
	for range 9 {
		sv.RemoveGrant(tight)
		sv.AddGrant(mangomodel.Grant{TPOT: 60 * time.Millisecond, Pieces: 1})
	}
	g.Expect(sv.MeetsTargets(loose)).To(gomega.BeTrue())
}
