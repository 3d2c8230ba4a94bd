package mangoclients

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// open opens a connection and closes its victim.
func open(t *Table, h Host, now time.Time) (id, victim ID, ok bool) {
	id, victim, ok = t.Open(h, now)
	if victim != 0 {
		t.Close(victim)
	}
	return id, victim, ok
}

// TestOldestWaitingConnectionIsClosedFirst guards against connections that send nothing and
// keep all others out, and against requests that are cut for new connections.
func TestOldestWaitingConnectionIsClosedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	x := New(Limits{Connections: 8})
	served, _, _ := open(x, "a", start)
	x.Enter(served, PhaseServing, start)
	body, _, _ := open(x, "a", start)
	x.Enter(body, PhaseBody, start)
	silent, _, _ := open(x, "a", start.Add(time.Second))
	for i := range 3 {
		id, victim, ok := open(x, "a", start.Add(time.Duration(2+i)*time.Second))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(victim).To(gomega.BeZero())
		x.Enter(id, PhaseServing, start)
	}
	_, _, ok := open(x, "a", start.Add(9*time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	last, victim, ok := open(x, "a", start.Add(9*time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(victim).To(gomega.Equal(silent))
	x.Enter(last, PhaseServing, start)
	for _, want := range []ID{7, body} {
		id, victim, ok := open(x, "a", start.Add(10*time.Second))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(victim).To(gomega.Equal(want))
		x.Enter(id, PhaseServing, start)
	}
	_, _, ok = open(x, "a", start.Add(11*time.Second))
	g.Expect(ok).To(gomega.BeFalse(), "requests in progress are not cut")
	_, _, ok = open(x, "b", start.Add(11*time.Second))
	g.Expect(ok).To(gomega.BeTrue(), "a part is kept for other addresses")
}

// TestAddressWithMostConnectionsLosesFirst guards against one address that makes the
// connections of others be closed.
func TestAddressWithMostConnectionsLosesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	x := New(Limits{Connections: 100})
	var others []ID
	for i := range 50 {
		id, _, _ := open(x, Host(fmt.Sprint("other-", i)), start)
		others = append(others, id)
	}
	for i := range 1000 {
		_, victim, ok := open(x, "flood", start.Add(time.Duration(i)*time.Millisecond))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(others).NotTo(gomega.ContainElement(victim))
	}
	g.Expect(x.Usage().Connections).To(gomega.Equal(100))
}

// TestHeadsShareTheirMemory guards against large heads that together exceed the memory or
// leave none for usual ones, and against a single one that is refused in calm conditions.
func TestHeadsShareTheirMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	x := New(Limits{HeadMemory: 1 << 20})
	first, _, _ := open(x, "a", start)
	_, ok := x.Hold(first, 4<<20)
	g.Expect(ok).To(gomega.BeTrue(), "one may exceed the limit")
	before, ok := x.Hold(first, 700<<10)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(int(before)).To(gomega.Equal(4 << 20))
	second, _, _ := open(x, "a", start)
	_, ok = x.Hold(second, 100<<10)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = x.Hold(second, 16<<10)
	g.Expect(ok).To(gomega.BeTrue(), "a usual head has room beside large ones")
	g.Expect(int(x.Close(first))).To(gomega.Equal(700 << 10))
	g.Expect(int(x.Close(second))).To(gomega.Equal(16 << 10))
	g.Expect(x.Usage()).To(gomega.BeZero())
}
