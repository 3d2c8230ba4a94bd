package mangoshard

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangospeed"
	"mangolane/core/mangotraffic"
)

const (
	// maxResidentPrefixes is how many prefix blocks are assumed resident on a
	// prefill server.
	maxResidentPrefixes = 4096
	// residentFraction is the fraction of a recorded prefix that is expected to
	// be still resident, since cache events are late and have gaps.
	residentFraction = 0.7
	// initialPrefillRate is assumed when a host announces no rate.
	initialPrefillRate mangomodel.TokensPerSecond = 20000
	// usableTPOTFraction is the fraction of a TPOT target that a predicted step
	// may take.
	usableTPOTFraction = 0.95
	// slowerFactor is the ratio of step times above which a server counts as
	// slower.
	slowerFactor = 1.25
)

// Server is the scheduler's state of one backend server.
type Server struct {
	ID   mangomodel.ServerID
	Host mangoconfig.Host
	// Boot identifies the incarnation of the server's process in its load reports, and
	// BootChanged is when it last changed.
	Boot        string
	BootChanged time.Time
	// Build is the server's software as of ReportedAt, the time of its last load report.
	Build      mangomodel.Build
	ReportedAt time.Time
	// Down is set when the server does not respond or a stream on it fails. The
	// server's next load report clears it.
	Down bool
	// Draining is set while the server reports that it accepts no new requests.
	Draining bool
	// Used counts the grants on the server, and Pieces the KV memory they need.
	Used   int
	Pieces mangomodel.Pieces
	// Untracked counts reported sequences that belong to no grant of this
	// scheduler.
	Untracked int
	// Orphans holds the time at which each untracked sequence was first
	// reported.
	Orphans map[mangomodel.Sequence]time.Time
	// BusyUntil is when the prefills granted so far are predicted to end.
	BusyUntil time.Time
	// Rate is the prefill rate in tokens per second. It starts at an assumed
	// value and follows the measurements.
	Rate mangospeed.Average
	// StepModel predicts the time of a decode step.
	StepModel mangospeed.StepModel
	// Probation is the one grant on the server that is on probation; the zero
	// value means none.
	Probation mangomodel.GrantID
	// grantsByRank counts the grants on the server by rank.
	grantsByRank [mangomodel.Ranks]int
	// grantsByTPOT counts the grants on the server by TPOT target.
	grantsByTPOT     map[time.Duration]int
	residentPrefixes *lru.Cache[mangomodel.PrefixHash, struct{}]
}

// NewServer returns a server without grants. Its speeds are assumed until they
// are measured.
func NewServer(id mangomodel.ServerID, host mangoconfig.Host) *Server {
	rate := host.PrefillRate
	if rate == 0 {
		rate = initialPrefillRate
	}
	residentPrefixes, err := lru.New[mangomodel.PrefixHash, struct{}](maxResidentPrefixes)
	if err != nil {
		panic(err) // only a non-positive size fails
	}
	return &Server{
		ID: id, Host: host, residentPrefixes: residentPrefixes,
		Rate: mangospeed.Average{Value: float64(rate)}, StepModel: mangospeed.NewStepModel(), grantsByTPOT: make(map[time.Duration]int),
	}
}

// Ref returns the reference to the server's incarnation.
func (sv *Server) Ref() mangotraffic.ServerRef {
	return mangotraffic.ServerRef{ID: sv.ID, Address: sv.Host.Address, Born: sv.BootChanged}
}

// Usable reports whether the server accepts new requests.
func (sv *Server) Usable() bool { return !sv.Down && sv.accepts() }

// accepts reports whether the server accepts new requests while it is up.
func (sv *Server) accepts() bool {
	return !sv.Draining && sv.Host.State == mangomodel.ServerLive
}

// Occupied returns the number of occupied slots.
func (sv *Server) Occupied() int { return sv.Used + sv.Untracked }

func (sv *Server) occupancy() float64 {
	return float64(sv.Occupied()) / float64(sv.Host.Slots)
}

// fits reports whether the server has a slot and need pieces of KV memory free.
func (sv *Server) fits(need mangomodel.Pieces) bool {
	return sv.Usable() && sv.Occupied() < int(sv.Host.Slots) && sv.Pieces+need <= sv.Host.Pieces
}

// allowsProbation reports whether the probation rule allows a demand on the
// server: a suspect may be placed only if no other one is on probation there.
func (sv *Server) allowsProbation(w *Waiter) bool {
	return !w.Suspect || sv.Probation == mangomodel.GrantID{}
}

// AddGrant counts a grant against the capacity of the server.
func (sv *Server) AddGrant(g mangomodel.Grant) {
	sv.Used++
	sv.grantsByRank[g.Rank]++
	sv.Pieces += g.Pieces
	sv.grantsByTPOT[g.TPOT]++
}

// RemoveGrant reverses AddGrant.
func (sv *Server) RemoveGrant(g mangomodel.Grant) {
	sv.Used = max(0, sv.Used-1)
	sv.grantsByRank[g.Rank] = max(0, sv.grantsByRank[g.Rank]-1)
	sv.Pieces = max(0, sv.Pieces-g.Pieces)
	if sv.grantsByTPOT[g.TPOT]--; sv.grantsByTPOT[g.TPOT] <= 0 {
		delete(sv.grantsByTPOT, g.TPOT)
	}
}

// prefillFinish predicts when a prompt's prefill would end on the server.
func (sv *Server) prefillFinish(now time.Time, d mangomodel.Demand) time.Time {
	start := now
	if sv.BusyUntil.After(start) {
		start = sv.BusyUntil
	}
	work := float64(d.Prompt) - residentFraction*float64(sv.residentTokens(d.Prefixes))
	return start.Add(time.Duration(max(work, 0) / sv.Rate.Value * float64(time.Second)))
}

// residentTokens returns the length of the longest recorded prefix in tokens.
func (sv *Server) residentTokens(prefixes []mangomodel.PrefixHash) mangomodel.Tokens {
	n := mangomodel.Tokens(0)
	for i, p := range prefixes {
		if !sv.residentPrefixes.Contains(p) {
			break
		}
		n = mangomodel.PrefixTokens(i)
	}
	return n
}

// RecordPrefixes records prefix blocks as resident on the server.
func (sv *Server) RecordPrefixes(prefixes []mangomodel.PrefixHash) {
	for _, p := range prefixes {
		sv.residentPrefixes.Add(p, struct{}{})
	}
}

// MeetsTargets reports whether, with one more sequence, the server's predicted
// step stays within the TPOT target of a demand and of every current grant.
func (sv *Server) MeetsTargets(d mangomodel.Demand) bool {
	step := sv.StepModel.Predict(sv.Occupied() + 1)
	if !withinTarget(step, d.TPOT) {
		return false
	}
	for tpot := range sv.grantsByTPOT {
		if !withinTarget(step, tpot) {
			return false
		}
	}
	return true
}

// withinTarget reports whether a step meets a TPOT target; zero means no target.
func withinTarget(step, tpot time.Duration) bool {
	return tpot == 0 || step <= time.Duration(usableTPOTFraction*float64(tpot))
}

// stepsSlowerThan reports whether a step with one sequence takes more than
// slowerFactor times as long as on another server.
func (sv *Server) stepsSlowerThan(other *Server) bool {
	return float64(sv.StepModel.Predict(1)) > slowerFactor*float64(other.StepModel.Predict(1))
}
