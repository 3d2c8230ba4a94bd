package mangopool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestRatesOfNewEnginesAreThoseOfTheOthers guards against engines that are replaced and
// count with the rate of other hardware until their own is measured: engines that
// decode a sixth as fast as assumed made the balance prefer the wrong stage.
func TestRatesOfNewEnginesAreThoseOfTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(mangomodel.Holder{Daemon: "d"}, nil)
	engine := func(id mangomodel.ServerID, stage mangotraffic.Stage) mangotraffic.Server {
		return mangotraffic.Server{ID: id, Service: "llm", Stage: stage, Slots: 4}
	}
	p.PutServer(engine("d1", mangotraffic.StageDecode))
	p.PutServer(engine("p1", mangotraffic.StagePrefill))
	g.Expect(p.backends["d1"].decodeRate).To(gomega.Equal(rate{value: initialDecodeRate}))
	now := time.Now()
	lease := mangolease.Progress{Number: 1, Server: "d1", Service: "llm", Generation: mangotraffic.Generation{Prompt: 100, MaxOutput: 1000}, Made: 10}
	for range 3 {
		p.Renew(mangomodel.Holder{Daemon: "h"}, []mangolease.Progress{lease}, now)
		now = now.Add(RenewInterval)
		lease.Made += 60
	}
	const measured mangomodel.TokensPerSecond = 240
	g.Expect(p.backends["d1"].decodeRate.value).To(gomega.BeNumerically("~", measured, 1), "the first measurement replaces the assumed rate")
	p.PutServer(engine("d2", mangotraffic.StageDecode))
	g.Expect(p.backends["d2"].decodeRate.value).To(gomega.BeNumerically("~", measured, 1))
	g.Expect(p.backends["d2"].prefillRate.value).To(gomega.Equal(initialPrefillRate), "not measured yet")
	restarted := engine("d1", mangotraffic.StageDecode)
	restarted.Born = now
	p.PutServer(restarted)
	g.Expect(p.backends["d1"].decodeRate.value).To(gomega.BeNumerically("~", measured, 1))
}
