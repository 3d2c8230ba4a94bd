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

func expired(id mangomodel.ServerID) []mangotraffic.ServerChange {
	return []mangotraffic.ServerChange{{ID: id, Grace: time.Second}}
}

// at returns a position.
func at(n uint64) mangotraffic.Cursor { return mangotraffic.Cursor{Position: n} }

func TestAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	old := Journal{}.Reset(at(5)).With(Entry{Changes: change("a"), Cursor: at(6), At: now})
	j := old.With(Entry{Changes: expired("b"), Cursor: at(9), At: now})
	tests := []struct {
		after  uint64
		kept   bool
		graces []time.Duration
	}{{4, false, nil}, {5, true, []time.Duration{0, time.Second}}, {6, true, []time.Duration{time.Second}},
		{8, true, []time.Duration{time.Second}}, {9, true, nil}, {20, true, nil}}
	for _, test := range tests {
		changes, ok := j.After(at(test.after), now)
		g.Expect(ok).To(gomega.Equal(test.kept), "after %d", test.after)
		g.Expect(changes).To(gomega.HaveLen(len(test.graces)), "after %d", test.after)
		for i, c := range changes {
			g.Expect(c.Grace).To(gomega.Equal(test.graces[i]), "after %d", test.after)
		}
	}
	changes, _ := old.After(at(5), now)
	g.Expect(changes).To(gomega.HaveLen(1), "an older journal stays as it was")
}

// TestGraceIsPassedOnWithWhatIsLeftOfIt guards against a grace that starts anew at each
// daemon.
func TestGraceIsPassedOnWithWhatIsLeftOfIt(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	j := Journal{}.Reset(at(1)).With(Entry{Changes: expired("a"), Cursor: at(2), At: now})
	for age, left := range map[time.Duration]time.Duration{0: time.Second, 400 * time.Millisecond: 600 * time.Millisecond, 2 * time.Second: 0} {
		changes, _ := j.After(at(1), now.Add(age))
		g.Expect(changes[0].Grace).To(gomega.Equal(left), "after %v", age)
	}
	changes, _ := j.After(at(1), now)
	g.Expect(changes[0].Grace).To(gomega.Equal(time.Second), "the journal stays as it was")
}

func TestFullJournalDropsTheOldest(t *testing.T) {
	g := gomega.NewWithT(t)
	j := Journal{}.Reset(at(0))
	for i := range maxEntries + 2 {
		j = j.With(Entry{Changes: change("a"), Cursor: at(uint64(i + 1))})
	}
	_, ok := j.After(at(1), time.Now())
	g.Expect(ok).To(gomega.BeFalse())
	changes, ok := j.After(at(2), time.Now())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(changes).To(gomega.HaveLen(maxEntries))
}
