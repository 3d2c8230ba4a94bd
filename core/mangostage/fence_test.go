package mangostage

import (
	"encoding/json"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobalance"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// TestTokensGrowOverEras guards against an order with a lower token than one before it, once
// the store gives out versions again.
func TestTokensGrowOverEras(t *testing.T) {
	g := gomega.NewWithT(t)
	var last FencingToken
	for _, claim := range []Claim{
		{Version: 1}, {Version: 1 << 40}, {Era: 1, Version: 0}, {Era: 1, Version: 1 << 41},
		{Era: 2, Version: 7}, {Era: 2, Version: 8}, {Era: 3, Version: 1}, {Era: 2047, Version: 1<<42 - 1},
	} {
		token, err := NewFencingToken(claim.Era, claim.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(token).To(gomega.BeNumerically(">", last))
		if claim.Era == 0 {
			g.Expect(token).To(gomega.BeEquivalentTo(claim.Version))
		}
		text, err := json.Marshal(token)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var number float64
		g.Expect(json.Unmarshal(text, &number)).To(gomega.Succeed())
		g.Expect(FencingToken(number)).To(gomega.Equal(token), "readers keep 53 bits")
		last = token
	}
	for _, claim := range []Claim{{Version: 1 << 53}, {Era: 1, Version: 1 << 42}, {Era: 2048}, {Era: math.MaxUint64, Version: 1}} {
		_, err := NewFencingToken(claim.Era, claim.Version)
		g.Expect(err).To(gomega.HaveOccurred(), "%+v", claim)
	}
}

// TestClaimOfAnotherEraIsNotOwn guards against a daemon that takes the claim of another one
// for its own, since the store gave out its version again.
func TestClaimOfAnotherEraIsNotOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := platform{}
		controller := New(mangomodel.Holder{Daemon: "a"}, &fleet{}, &p, &p, &p)
		order := func() error {
			_, err := controller.order(t.Context(), mangopool.StageChange{Service: "llm", Server: mangotraffic.Server{ID: "p"}, To: mangotraffic.StageDecode})
			return err
		}
		g.Expect(order()).To(gomega.Succeed())
		own := p.claim.Version
		p.claim = Claim{Holder: "b", Version: own, Era: 1, TakenIn: 1}
		g.Expect(order()).NotTo(gomega.Succeed())
		g.Expect(p.orders).To(gomega.HaveLen(1))
		time.Sleep(mangobalance.SettleTime)
		p.claim.Age = mangobalance.SettleTime
		g.Expect(order()).To(gomega.Succeed())
		g.Expect(p.orders[1].Fence).To(gomega.BeNumerically(">", p.orders[0].Fence))
	})
}
