package mangoleaving

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangotraffic"
)

func incarnation(born int64) mangotraffic.ServerRef {
	return mangotraffic.ServerRef{ID: "s", Address: "x", Born: time.UnixMilli(born)}
}

// TestWithdrawalEndsOnlyWithALaterIncarnation guards against a server that is used again
// because of an entry of itself or of an earlier incarnation.
func TestWithdrawalEndsOnlyWithALaterIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	now, w := time.Now(), New()
	g.Expect(w.Add(incarnation(2), true, now)).To(gomega.BeTrue())
	g.Expect(w.Add(incarnation(2), false, now)).To(gomega.BeFalse())
	g.Expect(w.Add(incarnation(1), true, now)).To(gomega.BeFalse(), "a late answer of an earlier incarnation")
	for _, born := range []int64{1, 2} {
		w.Listed(incarnation(born))
		g.Expect(w.Holds(incarnation(born))).To(gomega.BeTrue(), "incarnation %d", born)
	}
	g.Expect(w.Holds(incarnation(3))).To(gomega.BeFalse())
	w.Listed(incarnation(3))
	g.Expect(w.All()).To(gomega.BeEmpty())
}

// TestWithdrawalsOfGoneServersAreForgotten guards against records that grow with every
// server that ever left.
func TestWithdrawalsOfGoneServersAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	now, w := time.Now(), New()
	w.Add(incarnation(1), true, now)
	w.Expire(now.Add(2 * Retention))
	g.Expect(w.All()).To(gomega.HaveLen(1), "listed, after a pause of the daemon")
	w.Unlisted("s", now)
	w.Expire(now.Add(Retention - 1))
	w.Listed(incarnation(1))
	w.Unlisted("s", now.Add(Retention))
	w.Expire(now.Add(2*Retention - 1))
	g.Expect(w.All()).To(gomega.HaveLen(1))
	w.Expire(now.Add(2 * Retention))
	g.Expect(w.All()).To(gomega.BeEmpty())
}
