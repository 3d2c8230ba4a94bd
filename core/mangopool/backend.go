package mangopool

import (
	"time"

	"mangolane/core/mangohealth"
	"mangolane/core/mangokv"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// initialPrefillRate is used until a server's own rate is measured. It is
	// slightly below the rate in the users' engine specifications (55 tokens per
	// ms).
	initialPrefillRate mangomodel.TokensPerSecond = 50_000
	// initialDecodeRate is used until a server's own decode rate is measured; the
	// specified engines generate a token in 0.6 to 0.7 ms.
	initialDecodeRate mangomodel.TokensPerSecond = 1_450
	// rateWeight is the weight of a new measurement in the moving average of a
	// rate.
	rateWeight = 0.2
)

// backend is this daemon's recorded view of one backend server.
type backend struct {
	// server is the entry of the list. Its State is Leaving also if the server has
	// announced that; listedState is the entry's own.
	server      mangotraffic.Server
	listedState mangotraffic.State
	// settled is set once all daemons in touch know the server's build.
	settled bool
	// runs are the leases whose call runs on the server; prefills are the leases
	// whose prompt it computes.
	runs     map[mangolease.ID]*lease
	prefills map[mangolease.ID]*lease
	// profile predicts the memory of runs. It was computed at profiledAt, which
	// is zero if runs has changed since.
	profile    mangokv.Profile
	profiledAt time.Time
	// untracked is the number of calls besides runs that the server reported, or
	// that a refusal implied, at untrackedAt.
	untracked   int
	untrackedAt time.Time
	// slowdown is how long work took on the server's host at slowdownAt, relative to
	// the usual time.
	slowdown   float64
	slowdownAt time.Time
	// ended holds the recently ended generations, oldest first. orphans and
	// orphanMemory are the number and the KV memory of the requests that the
	// server's load report shows besides runs and ended.
	ended        []endedGeneration
	orphans      int
	orphanMemory mangomodel.Tokens
	orphansAt    time.Time
	// fullUntil is set when the server had no room although the recorded counts
	// showed some.
	fullUntil time.Time
	health    mangohealth.Record
	// reliability is estimated from the outcomes at engines.
	reliability mangohealth.Reliability
	// outlierUntil is the end of the server's ejection as an outlier.
	outlierUntil time.Time
	// orderedTo is the stage that the server was ordered to change to. The
	// change may not be complete before orderedUntil.
	orderedTo    mangotraffic.Stage
	orderedUntil time.Time
	// unansweredTo is the stage of the last order that got no answer, at unansweredAt.
	unansweredTo mangotraffic.Stage
	unansweredAt time.Time
	// removeAt is the end of the grace period of an entry that vanished during an
	// outage of the list; zero while the server is listed.
	removeAt time.Time

	prefillRate mangomodel.TokensPerSecond
	decodeRate  mangomodel.TokensPerSecond
}

func newBackend(server mangotraffic.Server) *backend {
	return &backend{
		server: server, runs: make(map[mangolease.ID]*lease), prefills: make(map[mangolease.ID]*lease),
		prefillRate: initialPrefillRate, decodeRate: initialDecodeRate,
	}
}

// usable reports whether the server may get new work.
func (b *backend) usable(now time.Time) bool {
	return b.server.State == mangotraffic.StateReady && b.health.Usable(now) && !now.Before(b.outlierUntil) &&
		!now.Before(b.fullUntil) && !now.Before(b.orderedUntil)
}

// backlog returns the predicted time until the server's prefills are done.
func (b *backend) backlog(now time.Time) time.Duration {
	var tokens mangomodel.Tokens
	oldest := now
	for _, l := range b.prefills {
		tokens += l.demand.Generation.Prompt
		if l.grantedAt.Before(oldest) {
			oldest = l.grantedAt
		}
	}
	left := time.Duration(float64(tokens)/float64(b.prefillRate)*float64(time.Second)) - now.Sub(oldest)
	return max(left, 0)
}

// profileTTL is how long a profile is used while no run is added or removed. The
// progress from which it is computed is up to a renewal interval old.
const profileTTL = RenewInterval / 4

// addRun and removeRun change the leases whose call runs on the server.
func (b *backend) addRun(id mangolease.ID, l *lease) {
	b.runs[id] = l
	b.profiledAt = time.Time{}
}

func (b *backend) removeRun(id mangolease.ID) {
	delete(b.runs, id)
	b.profiledAt = time.Time{}
}

// peak returns the predicted peak KV memory of the server's runs and one more
// generation.
func (b *backend) peak(g *mangotraffic.Generation, now time.Time) mangomodel.Tokens {
	if now.Sub(b.profiledAt) > profileTTL {
		b.profile.Reset()
		for _, l := range b.runs {
			b.profile.Add(l.generation(b.decodeRate, now))
		}
		b.profiledAt = now
	}
	expected := g.ExpectedOutput(0)
	peak := b.profile.PeakWith(mangokv.Generation{Held: g.Prompt, Remaining: expected, Deviation: deviation(expected, g.MaxOutput)})
	if b.orphanMemory > 0 && now.Sub(b.orphansAt) < OrphanReportTTL {
		peak += b.orphanMemory
	}
	return peak
}

// OrphanReportTTL is how long a report of orphaned requests is used. It covers one
// missed report.
const OrphanReportTTL = 2 * LoadReportInterval

// free returns how many slots are probably free.
func (b *backend) free(now time.Time) int {
	unleased := 0
	if b.untracked > 0 && now.Sub(b.untrackedAt) < untrackedTTL {
		unleased = b.untracked
	}
	if b.orphans > 0 && now.Sub(b.orphansAt) < OrphanReportTTL {
		unleased = max(unleased, b.orphans)
	}
	return int(b.server.Slots) - len(b.runs) - unleased
}

// lease is one granted lease.
type lease struct {
	demand          mangolease.Demand
	server, prefill mangomodel.ServerID
	// grantedAt is when it was granted, or adopted from another scheduler.
	grantedAt time.Time
	// generated is how many tokens were generated at generatedAt.
	generated   mangomodel.Tokens
	generatedAt time.Time
	// renewedAt is when the holder last renewed it.
	renewedAt time.Time
}

// generation returns the memory that the lease's generation holds now and the
// tokens that it is still expected to generate.
func (l *lease) generation(rate mangomodel.TokensPerSecond, now time.Time) mangokv.Generation {
	generated := l.generated
	if l.generated > 0 {
		generated += mangomodel.Tokens(now.Sub(l.generatedAt).Seconds() * float64(rate))
	}
	g := l.demand.Generation
	// A preempted generation makes no progress for a while, so the estimate is
	// limited to the maximum output.
	generated = min(generated, max(g.MaxOutput, l.generated))
	expected := g.ExpectedOutput(l.generated)
	return mangokv.Generation{
		Held: g.Prompt + generated, Remaining: max(expected-generated, 0), Deviation: deviation(expected, g.MaxOutput-generated),
	}
}

// deviation returns the standard deviation of an output of which so much is expected
// and at most so much is left. Outputs, and what clients estimate of them, are off by
// about a half.
func deviation(expected, left mangomodel.Tokens) mangomodel.Tokens {
	return max(min(expected, left)/2, 0)
}

// slower returns by how much work takes longer than usual on the server's host,
// relative to the usual time, or 0 if that is not known now.
func (b *backend) slower(now time.Time) float64 {
	if now.Sub(b.slowdownAt) >= slowdownTTL {
		return 0
	}
	return max(b.slowdown-1, 0)
}
