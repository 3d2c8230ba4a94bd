package mangoshard

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangospeed"
)

const (
	// prefixMemory is how many prefix blocks are assumed resident on a
	// prefill server.
	prefixMemory = 4096
	// prefixDiscount is the part of a remembered prefix that is expected to
	// be still resident, since cache events are late and have gaps.
	prefixDiscount = 0.7
	// initialPrefillRate is assumed when a host announces no rate.
	initialPrefillRate mangomodel.TokensPerSecond = 20000
	// tpotSlack is the part of a TPOT target that a predicted step may take.
	tpotSlack = 0.95
	// slowerFactor is the ratio from which a server counts as slower.
	slowerFactor = 1.25
)

// Server is what the scheduler knows of one backend server.
type Server struct {
	ID   mangomodel.ServerID
	Host mangoconfig.Host
	// Down is set while the server cannot be reached.
	Down bool
	// Draining is set while the server itself asks for no new work.
	Draining bool
	// Used counts the grants aboard, and Pieces the KV memory they need.
	Used   int
	Pieces mangomodel.Pieces
	// Untracked counts reported sequences that no grant here explains.
	Untracked int
	// Orphans is when each such sequence was first reported.
	Orphans map[mangomodel.Sequence]time.Time
	// BusyUntil is when the prefills granted so far are predicted to end.
	BusyUntil time.Time
	// Rate is the speed of prefill in tokens a second.
	Rate mangospeed.Average
	// Step predicts the time of a decode step.
	Step mangospeed.StepModel
	// Probation is the one grant aboard that is on probation, if any.
	Probation mangomodel.GrantID
	// ranks counts the grants aboard by their ranks.
	ranks [mangomodel.Ranks]int
	// tpots counts the grants aboard by their TPOT targets.
	tpots    map[time.Duration]int
	resident *lru.Cache[mangomodel.PrefixHash, struct{}]
}

// NewServer returns a server that is assumed to be ordinary.
func NewServer(id mangomodel.ServerID, host mangoconfig.Host) *Server {
	rate := host.PrefillRate
	if rate == 0 {
		rate = initialPrefillRate
	}
	resident, err := lru.New[mangomodel.PrefixHash, struct{}](prefixMemory)
	if err != nil {
		panic(err) // only a non-positive size fails
	}
	return &Server{
		ID: id, Host: host, resident: resident,
		Rate: mangospeed.Average{Value: float64(rate)}, Step: mangospeed.NewStepModel(), tpots: make(map[time.Duration]int),
	}
}

// Usable reports whether the server takes new work.
func (sv *Server) Usable() bool {
	return !sv.Down && !sv.Draining && sv.Host.State == mangomodel.ServerLive
}

// Occupied is the number of slots that are taken.
func (sv *Server) Occupied() int { return sv.Used + sv.Untracked }

func (sv *Server) occupancy() float64 {
	return float64(sv.Occupied()) / float64(sv.Host.Slots)
}

// fits reports whether the server can take a request of so many pieces.
func (sv *Server) fits(need mangomodel.Pieces) bool {
	return sv.Usable() && sv.Occupied() < int(sv.Host.Slots) && sv.Pieces+need <= sv.Host.Pieces
}

// takesSuspect reports whether a demand may go to the server: a suspect only
// if no other one is on probation there.
func (sv *Server) takesSuspect(w *Waiter) bool {
	return !w.Suspect || sv.Probation == mangomodel.GrantID{}
}

// AddGrant counts a grant against the server, and RemoveGrant gives it back.
func (sv *Server) AddGrant(g mangomodel.Grant) {
	sv.Used++
	sv.ranks[g.Rank]++
	sv.Pieces += g.Pieces
	sv.tpots[g.TPOT]++
}

func (sv *Server) RemoveGrant(g mangomodel.Grant) {
	sv.Used = max(0, sv.Used-1)
	sv.ranks[g.Rank] = max(0, sv.ranks[g.Rank]-1)
	sv.Pieces = max(0, sv.Pieces-g.Pieces)
	if sv.tpots[g.TPOT]--; sv.tpots[g.TPOT] <= 0 {
		delete(sv.tpots, g.TPOT)
	}
}

// prefillFinish predicts when a prompt's prefill would end on the server.
func (sv *Server) prefillFinish(now time.Time, d mangomodel.Demand) time.Time {
	start := now
	if sv.BusyUntil.After(start) {
		start = sv.BusyUntil
	}
	work := float64(d.Prompt) - prefixDiscount*float64(sv.residentTokens(d.Prefixes))
	return start.Add(time.Duration(max(work, 0) / sv.Rate.Value * float64(time.Second)))
}

// residentTokens counts the tokens of the longest remembered prefix.
func (sv *Server) residentTokens(prefixes []mangomodel.PrefixHash) mangomodel.Tokens {
	n := mangomodel.Tokens(0)
	for i, p := range prefixes {
		if !sv.resident.Contains(p) {
			break
		}
		n = mangomodel.PrefixTokens(i)
	}
	return n
}

func (sv *Server) RecordPrefixes(prefixes []mangomodel.PrefixHash) {
	for _, p := range prefixes {
		sv.resident.Add(p, struct{}{})
	}
}

// MeetsTargets reports whether one more sequence would keep the server's predicted
// step within the TPOT target of a demand and of every grant aboard.
func (sv *Server) MeetsTargets(d mangomodel.Demand) bool {
	step := sv.Step.Predict(sv.Occupied() + 1)
	if !within(step, d.TPOT) {
		return false
	}
	for tpot := range sv.tpots {
		if !within(step, tpot) {
			return false
		}
	}
	return true
}

// within reports whether a step is inside a target; zero means no target.
func within(step, tpot time.Duration) bool {
	return tpot == 0 || step <= time.Duration(tpotSlack*float64(tpot))
}

// slowerThan reports whether an empty batch steps clearly slower than
// another server's.
func (sv *Server) slowerThan(other *Server) bool {
	return float64(sv.Step.Predict(1)) > slowerFactor*float64(other.Step.Predict(1))
}
