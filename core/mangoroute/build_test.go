package mangoroute

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// countSink counts the delivered tokens.
type countSink struct{ n int }

func (s *countSink) Token(mangomodel.Tokens, string) error {
	s.n++
	return nil
}

// TestTokenOfAnotherBuildIsNotDelivered guards against a response of two builds when the
// scheduler did not know that an engine has restarted with another one.
func TestTokenOfAnotherBuildIsNotDelivered(t *testing.T) {
	for _, test := range []struct {
		first, second mangomodel.Build
		delivered     int
	}{{"v1", "v1", 2}, {"v1", "v2", 1}, {"v1", "", 1}, {"", "v2", 1}, {"", "", 2}} {
		g := gomega.NewWithT(t)
		sink := &countSink{}
		a := &attempt{state: &requestState{sink: sink}}
		g.Expect(a.accept(Chunk{Text: "a", Build: test.first})).To(gomega.Succeed())
		err := a.accept(Chunk{Offset: 1, Text: "b", Build: test.second})
		g.Expect(mangomodel.HasCode(err, mangomodel.CodeCannotResume)).To(gomega.Equal(test.delivered == 1))
		g.Expect(sink.n).To(gomega.Equal(test.delivered))
		if err != nil {
			a.recordFailure(t.Context(), err, "d")
			g.Expect(a.usage.Failed).To(gomega.BeEmpty(), "it is no sign of a crash")
			g.Expect(a.state.avoid).To(gomega.ConsistOf(mangomodel.ServerID("d")))
		}
	}
}

// fixedControl is a control state that does not change.
type fixedControl struct{ snap *mangoquery.Snapshot }

func (c fixedControl) Do(context.Context, mangocommand.Command) error { return nil }

func (c fixedControl) Snapshot() *mangoquery.Snapshot { return c.snap }

// newFixedControl returns a control state with a number of shards, which another daemon
// schedules.
func newFixedControl(g *gomega.WithT, shards int) fixedControl {
	catalog := &mangoconfig.Catalog{}
	publish := func(c mangoconfig.Change) {
		c.ID = mangomodel.ChangeID(fmt.Sprint(catalog.Revision()))
		next, err := catalog.Apply(c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		catalog = next
	}
	pool := mangoconfig.DefaultPool("m")
	pool.ShardServers = 1
	publish(mangoconfig.Change{Pool: &pool})
	for _, role := range []mangomodel.Role{mangomodel.RolePrefill, mangomodel.RoleDecode} {
		for i := range shards {
			publish(mangoconfig.Change{Host: &mangoconfig.Host{
				ID: mangomodel.HostID(fmt.Sprint(role, i)), Region: "r", DataCentre: "dc", Address: "127.0.0.1:1", Role: role, Model: "m", Slots: 1, Pieces: 10,
			}})
		}
	}
	snap := &mangoquery.Snapshot{
		Self: mangomember.Member{Daemon: "a", Region: "r", DataCentre: "dc"}, Catalog: catalog,
		Members: []mangomember.Member{{Daemon: "b", Region: "r", DataCentre: "dc", State: mangomember.Alive}},
	}
	snap.Rendezvous = mangoquery.NewRendezvous(snap.Self, snap.Members)
	return fixedControl{snap}
}

// scriptedSchedulers refuse demands for each shard with a code, or grant them.
type scriptedSchedulers struct {
	refuse func(mangomodel.ShardID, mangomodel.Demand) mangomodel.Code
	asked  []mangomodel.Demand
}

const granted mangomodel.Code = -1

func (s *scriptedSchedulers) Acquire(_ context.Context, _ mangomember.Member, shard mangomodel.ShardID, d mangomodel.Demand) (mangomodel.Grant, error) {
	s.asked = append(s.asked, d)
	if code := s.refuse(shard, d); code != granted {
		return mangomodel.Grant{}, mangomodel.Faultf(mangomodel.StepAdmission, "", code, mangomodel.RunNot, "refused")
	}
	return mangomodel.Grant{Shard: shard}, nil
}

func (s *scriptedSchedulers) Release(context.Context, mangomember.Member, mangomodel.Grant, mangomodel.Usage) error {
	return nil
}

// TestBuildIsSoughtInAllShards guards against a response that ends although the engines
// of its build, in a shard that is asked late, are only full.
func TestBuildIsSoughtInAllShards(t *testing.T) {
	const shards = 7
	for has := range shards {
		g := gomega.NewWithT(t)
		schedulers := &scriptedSchedulers{refuse: func(shard mangomodel.ShardID, d mangomodel.Demand) mangomodel.Code {
			switch {
			case shard.Index != has:
				return mangomodel.CodeCannotResume
			case d.Immediate:
				return mangomodel.CodeOverloaded
			default:
				return granted
			}
		}}
		generator := New(newFixedControl(g, shards), schedulers, nil)
		r := &requestState{request: Request{Model: "m"}, next: 3, build: "v1", attempt: 2}
		l, err := generator.acquire(t.Context(), r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(l.grant.Shard.Index).To(gomega.Equal(has))
		for _, d := range schedulers.asked {
			g.Expect(d.Bound).To(gomega.BeTrue())
			g.Expect(d.Build).To(gomega.BeEquivalentTo("v1"))
		}
	}
}

func TestResponseWithoutAnyEngineOfItsBuildEndsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	schedulers := &scriptedSchedulers{refuse: func(mangomodel.ShardID, mangomodel.Demand) mangomodel.Code { return mangomodel.CodeCannotResume }}
	generator := New(newFixedControl(g, 3), schedulers, nil)
	_, err := generator.acquire(t.Context(), &requestState{request: Request{Model: "m"}, next: 3, build: "v1", attempt: 2})
	g.Expect(mangomodel.HasCode(err, mangomodel.CodeCannotResume)).To(gomega.BeTrue(), "%v", err)
}

func TestNewResponseIsBoundToNoBuild(t *testing.T) {
	g := gomega.NewWithT(t)
	schedulers := &scriptedSchedulers{refuse: func(mangomodel.ShardID, mangomodel.Demand) mangomodel.Code { return granted }}
	generator := New(newFixedControl(g, 3), schedulers, nil)
	_, err := generator.acquire(t.Context(), &requestState{request: Request{Model: "m"}, attempt: 2})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(schedulers.asked).To(gomega.HaveLen(1))
	g.Expect(schedulers.asked[0].Bound).To(gomega.BeFalse())
}
