package mangohealth

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestConsecutiveFailuresEject(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	r := Record{}.Failed(now).Failed(now)
	g.Expect(r.Usable(now)).To(gomega.BeTrue())
	g.Expect(r.Succeeded().Failed(now).Usable(now)).To(gomega.BeTrue(), "a success between starts the count again")
	r = r.Failed(now)
	g.Expect(r.Usable(now)).To(gomega.BeFalse())
	g.Expect(r.Usable(now.Add(firstEjection))).To(gomega.BeTrue())
}

func TestUnreachableEjectsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	g.Expect(Record{}.Unreachable(now).Usable(now)).To(gomega.BeFalse())
}

func TestEjectionDoublesUpToItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	now, r := time.Now(), Record{}
	var last time.Duration
	for range 6 {
		r = r.Unreachable(now)
		last = r.Until.Sub(now)
		now = r.Until
	}
	g.Expect(last).To(gomega.Equal(longestEjection))
}

func TestFailuresWhileEjectedDoNotProlong(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	r := Record{}.Unreachable(now)
	g.Expect(r.Failed(now.Add(time.Millisecond)).Until).To(gomega.Equal(r.Until))
}
