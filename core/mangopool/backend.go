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
	// initialPrefillRate is used until a server's own rate was measured. It
	// is a little below that of the engines on the users' sheets (55 tokens in
	// a ms).
	initialPrefillRate mangomodel.TokensPerSecond = 50_000
	// initialDecodeRate likewise; the sheets' engines make a token in 0.6 to
	// 0.7 ms.
	initialDecodeRate mangomodel.TokensPerSecond = 1_450
	// rateWeight is the weight of a new measurement in a mean rate.
	rateWeight = 0.2
)

// backend is one backend server as this daemon believes it to be.
type backend struct {
	server mangotraffic.Server
	// runs are the leases whose call runs here; prefills those whose prompt is
	// computed here.
	runs     map[mangolease.ID]*lease
	prefills map[mangolease.ID]*lease
	// profile predicts the memory of runs; it was made at profiledAt, and not
	// since runs changed if that is zero.
	profile    mangokv.Profile
	profiledAt time.Time
	// others is what the server last said to run besides runs.
	others   int
	othersAt time.Time
	// ended are the generations that ended lately, oldest first. ghosts are those that the
	// server runs besides runs, by its report.
	ended       []ended
	ghosts      int
	ghostMemory mangomodel.Tokens
	ghostsAt    time.Time
	// fullUntil is set when the server had no room although the counts said
	// so.
	fullUntil time.Time
	health    mangohealth.Record
	// orderedTo is the stage that the server was told to change to; it may not
	// have changed before orderedUntil.
	orderedTo    mangotraffic.Stage
	orderedUntil time.Time
	// goneAt is when an entry that vanished during an outage of the list
	// counts as gone.
	goneAt time.Time

	prefillRate mangomodel.TokensPerSecond
	decodeRate  mangomodel.TokensPerSecond
}

func newBackend(server mangotraffic.Server) *backend {
	return &backend{
		server: server, runs: make(map[mangolease.ID]*lease), prefills: make(map[mangolease.ID]*lease),
		prefillRate: initialPrefillRate, decodeRate: initialDecodeRate,
	}
}

// usable reports whether a server may get new work.
func (b *backend) usable(now time.Time) bool {
	return b.server.State == mangotraffic.StateReady && b.health.Usable(now) &&
		!now.Before(b.fullUntil) && !now.Before(b.orderedUntil)
}

// backlog returns the predicted time until the prefills of a server are done.
func (b *backend) backlog(now time.Time) time.Duration {
	var tokens mangomodel.Tokens
	oldest := now
	for _, l := range b.prefills {
		tokens += l.demand.Generation.Prompt
		if l.since.Before(oldest) {
			oldest = l.since
		}
	}
	left := time.Duration(float64(tokens)/float64(b.prefillRate)*float64(time.Second)) - now.Sub(oldest)
	return max(left, 0)
}

// profileTime is how long a profile is used while no run comes or ends. The
// progress that it is made from is as old as a renewal.
const profileTime = RenewInterval / 4

// addRun and dropRun change the leases whose call runs here.
func (b *backend) addRun(id mangolease.ID, l *lease) {
	b.runs[id] = l
	b.profiledAt = time.Time{}
}

func (b *backend) dropRun(id mangolease.ID) {
	delete(b.runs, id)
	b.profiledAt = time.Time{}
}

// peak returns the memory that the runs of a server and one more will need.
func (b *backend) peak(g *mangotraffic.Generation, now time.Time) mangomodel.Tokens {
	if now.Sub(b.profiledAt) > profileTime {
		b.profile.Reset()
		for _, l := range b.runs {
			b.profile.Add(l.generation(b.decodeRate, now))
		}
		b.profiledAt = now
	}
	peak := b.profile.PeakWith(mangokv.Generation{Held: g.Prompt, Remaining: g.ExpectedOutput(0)})
	if b.ghostMemory > 0 && now.Sub(b.ghostsAt) < OrphanReportTTL {
		peak += b.ghostMemory
	}
	return peak
}

// OrphanReportTTL is how long a report of ghosts holds: until the next one,
// and a missed one.
const OrphanReportTTL = 2 * LoadReportInterval

// free returns the slots that are probably free.
func (b *backend) free(now time.Time) int {
	unknown := 0
	if b.others > 0 && now.Sub(b.othersAt) < ghostTime {
		unknown = b.others
	}
	if b.ghosts > 0 && now.Sub(b.ghostsAt) < OrphanReportTTL {
		unknown = max(unknown, b.ghosts)
	}
	return int(b.server.Slots) - len(b.runs) - unknown
}

// lease is one granted lease.
type lease struct {
	demand          mangolease.Demand
	server, prefill mangomodel.ServerID
	// since is when it was granted.
	since time.Time
	// made is how many tokens were generated at madeAt.
	made   mangomodel.Tokens
	madeAt time.Time
	// seen is when its holder last named it.
	seen time.Time
}

// generation returns what the lease's generation holds now and is still to make.
func (l *lease) generation(rate mangomodel.TokensPerSecond, now time.Time) mangokv.Generation {
	made := l.made
	if l.made > 0 {
		made += mangomodel.Tokens(now.Sub(l.madeAt).Seconds() * float64(rate))
	}
	g := l.demand.Generation
	// One that is preempted makes nothing for a while.
	made = min(made, max(g.MaxOutput, l.made))
	return mangokv.Generation{Held: g.Prompt + made, Remaining: max(g.ExpectedOutput(l.made)-made, 0)}
}
