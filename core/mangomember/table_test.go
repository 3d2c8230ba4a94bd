package mangomember

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"mangolane/core/mangomodel"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(id string) Member {
	return Member{Daemon: mangomodel.DaemonID(id), Incarnation: 1, DataCentre: "dc", Address: "127.0.0.1:1"}
}

func TestSuspectBecomesDeadUnlessItRefutes(t *testing.T) {
	tests := []struct {
		name    string
		refutes bool
		want    State
	}{
		{"no refutation", false, Dead},
		{"refuting", true, Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			observer, target := New(member("a")), New(member("b"))
			observer.Merge(start, []Member{target.Self()})
			observer.ProbeFailed(start, "b")
			if tt.refutes {
				target.Merge(start, observer.Members())
				observer.Merge(start, []Member{target.Self()})
			}
			lost := observer.Tick(start.Add(SuspicionTimeout))
			g.Expect(observer.Members()[1].State).To(gomega.Equal(tt.want))
			g.Expect(lost).To(gomega.HaveLen(map[State]int{Dead: 1, Alive: 0}[tt.want]))
		})
	}
}

func TestNewIncarnationReplacesTheOldOne(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(member("a"))
	table.Merge(start, []Member{member("b")})
	restarted := member("b")
	restarted.Incarnation = 2
	g.Expect(table.Merge(start, []Member{restarted})).To(gomega.ConsistOf(member("b").Holder()))
	g.Expect(table.Merge(start, []Member{member("b")})).To(gomega.BeEmpty(), "an outdated record changes nothing")
	g.Expect(table.Members()[1].Incarnation).To(gomega.Equal(mangomodel.Incarnation(2)))
}

func TestMembersOfOtherDataCentresAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(member("a"))
	for i := range 10 {
		remote := member(fmt.Sprint("far", i))
		remote.DataCentre = "other"
		table.Merge(start, []Member{remote})
	}
	g.Expect(table.Members()).To(gomega.HaveLen(1 + RemoteMembersPerDataCentre))
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	draw := func(rt *rapid.T, label string) []Member {
		var list []Member
		for i := range rapid.IntRange(0, 6).Draw(rt, label) {
			m := member(fmt.Sprint("m", rapid.IntRange(0, 2).Draw(rt, fmt.Sprint(label, i, "id"))))
			m.Incarnation = mangomodel.Incarnation(rapid.IntRange(1, 2).Draw(rt, fmt.Sprint(label, i, "incarnation")))
			m.Version = uint32(rapid.IntRange(0, 2).Draw(rt, fmt.Sprint(label, i, "version")))
			// Dead is not drawn, as if every daemon were first recorded alive.
			// Merge discards records of unknown dead daemons, which loses
			// information but causes no conflict.
			m.State = State(rapid.IntRange(0, int(Suspect)).Draw(rt, fmt.Sprint(label, i, "state")))
			list = append(list, m)
		}
		return list
	}
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(t)
		a, b := draw(rt, "a"), draw(rt, "b")
		one, two := New(member("self")), New(member("self"))
		one.Merge(start, a)
		one.Merge(start, b)
		two.Merge(start, b)
		two.Merge(start, a)
		two.Merge(start, b)
		g.Expect(one.Members()).To(gomega.Equal(two.Members()))
	})
}
