package mangosched

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// newBuildScheduler returns a scheduler with a decode server d0, d1 and so on of each
// build.
func newBuildScheduler(builds ...mangomodel.Build) *Scheduler {
	s := newScheduler(len(builds), 2)
	for i, build := range builds {
		s.reportBuild(start, i, build)
	}
	return s
}

func (s *Scheduler) reportBuild(now time.Time, i int, build mangomodel.Build) {
	id := mangomodel.ServerID(shardOf(i+1, 1).Servers[i+1].ID)
	s.RecordLoad(now, mangomodel.Load{Server: id, Boot: "1", Build: build, At: now})
}

// boundDemand is the rest of a request that began at a build.
func boundDemand(id string, build mangomodel.Build) mangomodel.Demand {
	d := demand(id, mangomodel.RankUrgent)
	d.Resumed, d.Build, d.Bound = true, build, true
	return d
}

// refusals returns the codes of the refusals since the last call.
func refusals(s *Scheduler) []mangomodel.Code {
	var codes []mangomodel.Code
	for _, e := range s.TakeEffects() {
		if d, ok := e.(Decision); ok && d.Err != nil {
			codes = append(codes, mangomodel.AsFault(d.Err, 0).Code)
		}
	}
	return codes
}

func TestBoundDemandGetsItsBuildOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newBuildScheduler("v1", "v2", "")
	for id, build := range map[string]mangomodel.Build{"a": "v2", "b": "v2", "c": "v2", "d": ""} {
		s.Acquire(start, shard0, boundDemand(id, build))
	}
	used := make(map[mangomodel.ServerID]int)
	for _, grant := range s.Grants() {
		used[grant.Decode]++
	}
	g.Expect(used).To(gomega.Equal(map[mangomodel.ServerID]int{"d1": 2, "d2": 1}), "the third waits, an absent build is one of its own")
	s.Acquire(start, shard0, demand("e", mangomodel.RankUrgent))
	g.Expect(s.Grants()).To(gomega.HaveLen(4), "it blocks no other demand")
	g.Expect(refusals(s)).To(gomega.BeEmpty())
	g.Expect(s.Status()[0].Builds).To(gomega.Equal(map[mangomodel.Build]int{"v1": 1, "v2": 1, "": 1}))
}

func TestDemandWhoseBuildIsGoneIsRefusedAtOnce(t *testing.T) {
	withoutD1 := shardOf(1, 2)
	tests := []struct {
		name string
		gone func(s *Scheduler)
	}{
		{"another build after a restart", func(s *Scheduler) { s.reportBuild(start, 1, "v1") }},
		{"it leaves", func(s *Scheduler) {
			s.RecordLoad(start, mangomodel.Load{Server: "d1", Boot: "1", Build: "v2", Draining: true})
		}},
		{"removed", func(s *Scheduler) { s.Configure(start, []mangoconfig.Shard{withoutD1}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newBuildScheduler("v1", "v2")
			for _, id := range []string{"a", "b", "waits"} {
				s.Acquire(start, shard0, boundDemand(id, "v2"))
			}
			g.Expect(refusals(s)).To(gomega.BeEmpty())
			test.gone(s)
			g.Expect(refusals(s)).To(gomega.ConsistOf(mangomodel.CodeCannotResume))
			s.Acquire(start, shard0, boundDemand("late", "v2"))
			g.Expect(refusals(s)).To(gomega.ConsistOf(mangomodel.CodeCannotResume))
		})
	}
}

// TestDemandWaitsForABuildThatMayReturn guards against requests that end although a
// server of their build is only down, or was not asked for its build lately.
func TestDemandWaitsForABuildThatMayReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newBuildScheduler("v1", "v2")
	s.ServerUnreachable(start, "d1", true)
	s.Acquire(start, shard0, boundDemand("a", "v2"))
	g.Expect(refusals(s)).To(gomega.BeEmpty())
	g.Expect(s.Grants()).To(gomega.BeEmpty())
	s.reportBuild(start, 1, "v2")
	g.Expect(s.Grants()).To(gomega.HaveLen(1))

	s.Acquire(start.Add(time.Minute), shard0, boundDemand("b", "v3"))
	g.Expect(refusals(s)).To(gomega.BeEmpty())
	g.Expect(s.Grants()).To(gomega.HaveLen(2), "no build is known any more")
}

// TestShardThatNobodyServesCannotResume guards against a request that ends as if it could
// be tried again: other shards serve, but none has its build.
func TestShardThatNobodyServesCannotResume(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newBuildScheduler("v1")
	s.RecordLoad(start, mangomodel.Load{Server: "d0", Boot: "1", Build: "v1", Draining: true})
	s.Acquire(start, shard0, boundDemand("a", "v1"))
	g.Expect(refusals(s)).To(gomega.ConsistOf(mangomodel.CodeCannotResume))
	s.Acquire(start, shard0, demand("b", mangomodel.RankUrgent))
	g.Expect(refusals(s)).To(gomega.ConsistOf(mangomodel.CodeUnavailable))
}
