package mangopool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobalance"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	decoding   = mangotraffic.StageDecode
	prefilling = mangotraffic.StagePrefill
)

// buildServer is an engine, or a plain server, of a build.
type buildServer struct {
	id    mangomodel.ServerID
	stage mangotraffic.Stage
	build mangomodel.Build
}

// buildPool is a pool of servers of several builds.
type buildPool struct {
	*gomega.WithT
	*Pool
	now time.Time
}

func newBuildPool(t *testing.T, servers ...buildServer) *buildPool {
	g := gomega.NewWithT(t)
	routing, err := mangotraffic.NewRouting(1, nil, []mangotraffic.Service{
		{Name: "llm", Engine: &mangotraffic.Engine{Slots: 4, KVTokens: 100_000, TokensPerEvent: 72}}, {Name: "app"},
	}, mangotraffic.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p := &buildPool{WithT: g, Pool: New(mangomodel.Holder{Daemon: "d"}, nil), now: time.Unix(1_000_000, 0)}
	p.Configure(routing)
	p.put(servers...)
	return p
}

func (p *buildPool) put(servers ...buildServer) {
	for _, s := range servers {
		p.PutServer(s.server(mangotraffic.StateReady))
	}
}

func (p *buildPool) leave(s buildServer) { p.PutServer(s.server(mangotraffic.StateLeaving)) }

func (s buildServer) server(state mangotraffic.State) mangotraffic.Server {
	service := mangotraffic.ServiceName("llm")
	if s.stage == mangotraffic.StageNone {
		service = "app"
	}
	return mangotraffic.Server{ID: s.id, Service: service, DataCentre: "a", Slots: 4, Stage: s.stage, Build: s.build, State: state}
}

// bound is a demand for a generation whose stream began at a build.
func bound(build mangomodel.Build) mangolease.Demand {
	d := benchDemand()
	d.Build, d.Bound = build, true
	return d
}

// boundPlain is a demand for a plain server whose stream began at a build.
func boundPlain(build mangomodel.Build) mangolease.Demand {
	return mangolease.Demand{Service: "app", Origin: "a", Patience: time.Second, Build: build, Bound: true}
}

func (p *buildPool) pending(number int, d mangolease.Demand) *mangolease.PendingDemand {
	return mangolease.NewPendingDemand(benchLease(number), d, p.now)
}

func TestBoundDemandGetsItsBuildOnly(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, buildServer{"d2", decoding, "v2"}, buildServer{"p1", prefilling, "v1"},
		buildServer{"s1", 0, "v1"}, buildServer{"s2", 0, ""})
	for i := range 4 {
		p.Expect(p.Grant(p.pending(i, bound("v2")), p.now)).To(gomega.BeTrue())
		lease, _ := p.Granted().Get(benchLease(i))
		p.Expect(lease.Server.ID).To(gomega.BeEquivalentTo("d2"))
		p.Expect(lease.Prefill.ID).To(gomega.BeEquivalentTo("p1"), "any build may compute the KV cache")
		p.PrefillDone(benchLease(i), 0)
	}
	p.Expect(p.Grant(p.pending(4, bound("v2")), p.now)).To(gomega.BeFalse(), "its build is full")
	p.Expect(p.Grant(p.pending(5, benchDemand()), p.now)).To(gomega.BeTrue())
	for i, build := range []mangomodel.Build{"", "v1"} {
		p.Expect(p.Grant(p.pending(6+i, boundPlain(build)), p.now)).To(gomega.BeTrue())
		lease, _ := p.Granted().Get(benchLease(6 + i))
		p.Expect(lease.Server.Build).To(gomega.Equal(build), "an absent build is one of its own")
	}
}

func TestBuildIsLackedOnlyWhileOthersServe(t *testing.T) {
	d1, d2 := buildServer{"d1", decoding, "v1"}, buildServer{"d2", decoding, "v2"}
	p := newBuildPool(t, d1, d2, buildServer{"p1", prefilling, "v0"}, buildServer{"s1", 0, "v1"})
	lacks := func(d mangolease.Demand) bool { return p.LacksBuild(&d) }
	p.Expect(lacks(bound("v1"))).To(gomega.BeFalse())
	p.Expect(lacks(bound("v0"))).To(gomega.BeTrue(), "an engine that prefills continues no stream")
	p.Expect(lacks(bound(""))).To(gomega.BeTrue())
	p.Expect(lacks(benchDemand())).To(gomega.BeFalse(), "a new stream has no build")
	p.Expect(lacks(boundPlain("v1"))).To(gomega.BeFalse())
	p.Expect(lacks(boundPlain("v2"))).To(gomega.BeTrue(), "a server of another service is no reason to wait")
	p.leave(d1)
	p.Expect(lacks(bound("v1"))).To(gomega.BeTrue())
	p.leave(d2)
	p.Expect(lacks(bound("v1"))).To(gomega.BeFalse(), "servers of any build may come")
	p.Expect(lacks(bound("v2"))).To(gomega.BeFalse())
	p.put(d1)
	p.Expect(lacks(bound("v1"))).To(gomega.BeFalse())
	p.Expect(lacks(bound("v2"))).To(gomega.BeTrue())
}

// TestBuildOfARewrittenEntryIsForgotten guards against a build that counts as known to all
// daemons when it comes back, since its last server was listed with another one.
func TestBuildOfARewrittenEntryIsForgotten(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, buildServer{"d2", decoding, "v1"})
	isNew := func(id mangomodel.ServerID, after time.Duration) bool {
		p.recordBuilds(group{"llm", decoding}, p.now.Add(after))
		return p.isNew(p.backends[id])
	}
	p.Expect(isNew("d1", 0)).To(gomega.BeFalse())
	p.put(buildServer{"d1", decoding, "v2"}, buildServer{"d2", decoding, "v2"})
	p.Expect(isNew("d2", listSpread)).To(gomega.BeFalse())
	p.put(buildServer{"d1", decoding, "v1"})
	p.Expect(isNew("d1", 2*listSpread)).To(gomega.BeTrue())
}

func TestProspectDependsOnTheBuild(t *testing.T) {
	d1 := buildServer{"d1", decoding, "v1"}
	p := newBuildPool(t, d1, buildServer{"d2", decoding, "v2"}, buildServer{"p1", prefilling, "v2"})
	p.BackOff(mangotraffic.ServerRef{ID: "d1"}, 3*time.Second, p.now)
	prospect := func(d mangolease.Demand) Prospect { return p.Prospect(p.pending(0, d), p.now) }
	p.Expect(prospect(bound("v1")).BackoffEnds).To(gomega.BeTemporally("~", p.now.Add(3*time.Second), time.Second))
	p.Expect(prospect(bound("v2"))).To(gomega.Equal(Prospect{}))
	p.Expect(prospect(benchDemand())).To(gomega.Equal(Prospect{}))
	p.leave(d1)
	p.Expect(prospect(bound("v1")).Leaving).To(gomega.BeTrue())
	p.Expect(prospect(bound("v2")).Leaving).To(gomega.BeFalse())
}

func TestBoundDemandDoesNotSpeakForOthers(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, buildServer{"p1", prefilling, "v2"})
	p.Expect(p.Excludes(p.pending(0, bound("v1")), p.now)).To(gomega.BeFalse(), "no decode engine has another build")
	p.Expect(p.Excludes(p.pending(0, bound("v2")), p.now)).To(gomega.BeTrue())
	p.put(buildServer{"d2", decoding, "v2"})
	p.Expect(p.Excludes(p.pending(0, bound("v1")), p.now)).To(gomega.BeTrue())
	p.Expect(p.Excludes(p.pending(0, benchDemand()), p.now)).To(gomega.BeFalse())
}

func TestExplanationCountsOtherBuilds(t *testing.T) {
	d1 := buildServer{"d1", decoding, "v1"}
	p := newBuildPool(t, d1, buildServer{"d2", decoding, "v2"}, buildServer{"d3", decoding, "v2"}, buildServer{"p1", prefilling, "v2"},
		buildServer{"s1", 0, "v1"})
	p.leave(d1)
	p.Expect(p.Explain(p.pending(0, bound("v1")), p.now)).To(gomega.Equal(
		"decode: 3 listed, 1 leaving, 2 of another build, 0 set aside, 0 backing off, 0 avoided, 0 full; " +
			"prefill: 1 listed, 0 leaving, 0 of another build, 0 set aside, 0 backing off, 0 avoided, 0 full"))
	p.Expect(p.Explain(p.pending(0, boundPlain("v2")), p.now)).To(gomega.HavePrefix("1 listed, 0 leaving, 1 of another build,"))
	p.Expect(p.Explain(p.pending(0, benchDemand()), p.now)).NotTo(gomega.ContainSubstring("2 of another build"))
}

// press records the mean request of a load and a demand that waits, so that stage changes
// are proposed.
func (p *buildPool) press(prompt, output mangomodel.Tokens) {
	d := benchDemand()
	d.Generation = &mangotraffic.Generation{Prompt: prompt, MaxOutput: output}
	for range MinRequests {
		p.RecordDemand(&d)
	}
	p.RecordWait("llm", p.now)
}

// proposed returns the engine that is proposed for another stage, or an empty ID.
func (p *buildPool) proposed(to mangotraffic.Stage) mangomodel.ServerID {
	change, ok := p.StageChanges(p.now)["llm"]
	if ok {
		p.Expect(change.To).To(gomega.Equal(to))
	}
	return change.Server.ID
}

// TestStageChangesKeepTwoDecodersOfEachBuild guards against streams that cannot continue
// because the last decode engines of their build were turned to prefill.
func TestStageChangesKeepTwoDecodersOfEachBuild(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v2"}, buildServer{"d2", decoding, "v1"}, buildServer{"d3", decoding, "v1"},
		buildServer{"d4", decoding, "v1"}, buildServer{"d5", decoding, "v1"}, buildServer{"d6", decoding, "v1"}, buildServer{"p1", prefilling, "v1"})
	p.press(50_000, 100)
	for _, want := range []mangomodel.ServerID{"d2", "d3", "d4", ""} {
		p.RecordWait("llm", p.now)
		p.Expect(p.proposed(prefilling)).To(gomega.Equal(want))
		if want != "" {
			p.OrderBegun(want, prefilling, p.now)
		}
		p.now = p.now.Add(orderInterval)
	}
}

func TestSingleBuildIsNotProtected(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, buildServer{"d2", decoding, "v1"}, buildServer{"p1", prefilling, "v1"})
	p.press(50_000, 100)
	p.Expect(p.proposed(prefilling)).To(gomega.BeEquivalentTo("d1"))
	p.put(buildServer{"p1", prefilling, "v2"})
	p.Expect(p.proposed(prefilling)).To(gomega.BeEmpty())
}

// TestEngineThatMayStillChangeIsNoDecoderThatStays guards against two orders that take
// the last decode engines of a build because the first got no answer.
func TestEngineThatMayStillChangeIsNoDecoderThatStays(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, buildServer{"d2", decoding, "v1"}, buildServer{"d3", decoding, "v1"},
		buildServer{"d4", decoding, "v2"}, buildServer{"p1", prefilling, "v2"})
	p.press(50_000, 100)
	p.Expect(p.proposed(prefilling)).To(gomega.BeEquivalentTo("d1"))
	p.OrderBegun("d2", prefilling, p.now)
	p.OrderFailed("d2", mangomodel.RunUnknown, p.now)
	p.Expect(p.proposed(prefilling)).To(gomega.BeEquivalentTo("d2"), "the same engine again")
	p.Expect(p.decoderCounts("llm", p.now).allow(p.backends["d1"], prefilling, p.now)).To(gomega.BeFalse())
	p.now = p.now.Add(mangobalance.SettleTime)
	p.Expect(p.decoderCounts("llm", p.now).allow(p.backends["d1"], prefilling, p.now)).To(gomega.BeTrue())
}

func TestLeavingEngineIsNoDecoderThatStays(t *testing.T) {
	d2 := buildServer{"d2", decoding, "v1"}
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, d2, buildServer{"d3", decoding, "v1"}, buildServer{"d4", decoding, "v2"},
		buildServer{"p1", prefilling, "v2"})
	p.press(50_000, 100)
	p.leave(d2)
	p.Expect(p.proposed(prefilling)).To(gomega.BeEmpty())
}

// TestBuildWithoutDecodersGetsOneFirst guards against a build whose servers all prefill,
// so that none of its streams can continue.
func TestBuildWithoutDecodersGetsOneFirst(t *testing.T) {
	p := newBuildPool(t, buildServer{"d1", decoding, "v1"}, buildServer{"p1", prefilling, "v1"}, buildServer{"p2", prefilling, "v1"},
		buildServer{"p3", prefilling, "v2"}, buildServer{"p4", prefilling, "v2"}, buildServer{"p5", prefilling, "v2"})
	p.press(100, 5000)
	for _, want := range []mangomodel.ServerID{"p3", "p1", "p4"} {
		p.RecordWait("llm", p.now)
		p.Expect(p.proposed(decoding)).To(gomega.Equal(want))
		p.OrderBegun(want, decoding, p.now)
		p.now = p.now.Add(orderInterval)
	}
}

// TestNewBuildGetsNoStreamsUntilAllKnowIt guards against a stream that begins at a build that
// another daemon's list lacks, which would resume it at the earlier one.
func TestNewBuildGetsNoStreamsUntilAllKnowIt(t *testing.T) {
	old, fresh := buildServer{"d1", decoding, "v1"}, buildServer{"d2", decoding, "v2"}
	prefill := buildServer{"p1", prefilling, "v1"}
	number := 0
	granted := func(p *buildPool, d mangolease.Demand) mangomodel.ServerID {
		number++
		pending := p.pending(number, d)
		if !p.Grant(pending, p.now) {
			return ""
		}
		l, _ := p.Granted().Get(pending.Lease)
		p.Release(pending.Lease, p.now)
		return l.Server.ID
	}
	later := func(p *buildPool, d time.Duration) { p.now = p.now.Add(d) }

	p := newBuildPool(t, old, prefill)
	p.Expect(granted(p, benchDemand())).To(gomega.BeEquivalentTo("d1"))
	later(p, listSpread)
	p.put(fresh)
	for range 8 {
		p.Expect(granted(p, benchDemand())).To(gomega.BeEquivalentTo("d1"))
	}
	p.Expect(granted(p, bound("v2"))).To(gomega.BeEquivalentTo("d2"), "its stream began there")
	p.leave(old)
	p.Expect(granted(p, benchDemand())).To(gomega.BeEquivalentTo("d2"), "there is no other one")
	p.put(old)
	later(p, listSpread)
	var used []mangomodel.ServerID
	for range 8 {
		used = append(used, granted(p, benchDemand()))
	}
	p.Expect(used).To(gomega.ContainElement(mangomodel.ServerID("d2")))

	p.RemoveServer("d2", 0, p.now)
	p.put(fresh)
	for range 8 {
		p.Expect(granted(p, benchDemand())).To(gomega.BeEquivalentTo("d1"), "the build is back")
	}

	p = newBuildPool(t, old, fresh, prefill)
	used = nil
	for range 8 {
		used = append(used, granted(p, benchDemand()))
	}
	p.Expect(used).To(gomega.ContainElement(mangomodel.ServerID("d2")), "a scheduler that starts knows of no order")
}

// TestNewStreamsLeaveServersToThoseThatBegan guards against streams that cannot go on, since
// new ones take the servers of their build, and against servers that are left without work.
func TestNewStreamsLeaveServersToThoseThatBegan(t *testing.T) {
	p := newBuildPool(t, buildServer{"s1", 0, "v1"}, buildServer{"s2", 0, "v2"})
	unbound := boundPlain("")
	unbound.Bound = false
	number := 0
	// fill grants new streams until no server takes one, and returns how many each build got.
	fill := func(after time.Duration) map[mangomodel.Build]int {
		counts := make(map[mangomodel.Build]int)
		for {
			number++
			if !p.Grant(p.pending(number, unbound), p.now.Add(after)) {
				break
			}
			lease, _ := p.Granted().Get(benchLease(number))
			counts[lease.Server.Build]++
		}
		for i := range number {
			p.Release(benchLease(i+1), p.now.Add(after))
		}
		return counts
	}
	all := fill(0)
	p.Expect(all["v1"]).To(gomega.BeNumerically(">", 2))
	// wait records that a stream of a build waits, whose servers are full or not.
	wait := func(build mangomodel.Build, full bool) {
		granted := 0
		for full && p.Grant(p.pending(1000+granted, boundPlain(build)), p.now) {
			granted++
		}
		p.RecordBoundWait(p.pending(2000, boundPlain(build)), p.now)
		for i := range granted {
			p.Release(benchLease(1000+i), p.now)
		}
	}
	yields := func(d mangolease.Demand) bool { return p.Yields(p.pending(0, d), p.now) }
	wait("v1", false)
	p.Expect(fill(0)).To(gomega.Equal(all), "it waits for something else than room")
	wait("v1", true)
	p.Expect(yields(unbound)).To(gomega.BeTrue())
	p.Expect(yields(boundPlain("v1"))).To(gomega.BeFalse())
	held := map[mangomodel.Build]int{"v1": 1, "v2": all["v2"]}
	p.Expect(fill(contendedTime-1)).To(gomega.Equal(held), "three quarters of the slots are held")
	p.Expect(fill(contendedTime)).To(gomega.Equal(all))
	avoiding := unbound
	avoiding.Avoid = []mangomodel.ServerID{"s2"}
	p.Expect(yields(avoiding)).To(gomega.BeFalse())
	p.leave(buildServer{"s2", 0, "v2"})
	p.Expect(fill(0)).To(gomega.Equal(map[mangomodel.Build]int{"v1": all["v1"]}), "no other build takes them")
	p.put(buildServer{"s2", 0, "v2"})
	wait("v2", true)
	p.Expect(fill(0)).To(gomega.Equal(all), "both are contended")
	p.RemoveExpired(p.now.Add(contendedTime))
	p.Expect(p.contended).To(gomega.BeEmpty())
}
