package mangojournal

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

func change(id mangomodel.ServerID) []mangotraffic.ServerChange {
	return []mangotraffic.ServerChange{{ID: id}}
}

func TestAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	old := Journal{}.Reset(5).With(Entry{Changes: change("a"), Cursor: 6})
	j := old.With(Entry{Changes: change("b"), Cursor: 9, Grace: time.Second})
	tests := []struct {
		after   mangotraffic.Cursor
		kept    bool
		changes int
		grace   time.Duration
	}{{4, false, 0, 0}, {5, true, 2, time.Second}, {6, true, 1, time.Second}, {8, true, 1, time.Second}, {9, true, 0, 0}, {20, true, 0, 0}}
	for _, test := range tests {
		e, ok := j.After(test.after)
		g.Expect(ok).To(gomega.Equal(test.kept), "after %d", test.after)
		g.Expect(e.Changes).To(gomega.HaveLen(test.changes), "after %d", test.after)
		g.Expect(e.Grace).To(gomega.Equal(test.grace), "after %d", test.after)
	}
	e, _ := old.After(5)
	g.Expect(e.Changes).To(gomega.HaveLen(1), "an older journal stays as it was")
}

func TestFullJournalDropsTheOldest(t *testing.T) {
	g := gomega.NewWithT(t)
	j := Journal{}.Reset(0)
	for i := range maxEntries + 2 {
		j = j.With(Entry{Changes: change("a"), Cursor: mangotraffic.Cursor(i + 1)})
	}
	_, ok := j.After(1)
	g.Expect(ok).To(gomega.BeFalse())
	e, ok := j.After(2)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(e.Changes).To(gomega.HaveLen(maxEntries))
}
