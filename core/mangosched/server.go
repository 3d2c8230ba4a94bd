package mangosched

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

// server is what the scheduler knows of one backend server.
type server struct {
	id   mangomodel.ServerID
	host mangoconfig.Host
	// down is set while the server cannot be reached.
	down bool
	// draining is set while the server itself asks for no new work.
	draining bool
	used     int
	pieces   mangomodel.Pieces
	// foreign counts reported sequences that no grant here explains.
	foreign int
	// orphans is when each such sequence was first reported.
	orphans map[mangomodel.Sequence]time.Time
	// busyUntil is when the prefills granted so far are predicted to end.
	busyUntil time.Time
	rate      mangospeed.Average
	step      mangospeed.Step
	// tpots counts the grants aboard by their TPOT targets.
	tpots    map[time.Duration]int
	resident *lru.Cache[mangomodel.PrefixHash, struct{}]
	// probation is the one grant aboard that is on probation, if any.
	probation mangomodel.GrantID
}

func newServer(id mangomodel.ServerID, host mangoconfig.Host) *server {
	rate := host.PrefillRate
	if rate == 0 {
		rate = initialPrefillRate
	}
	resident, err := lru.New[mangomodel.PrefixHash, struct{}](prefixMemory)
	if err != nil {
		panic(err) // only a non-positive size fails
	}
	return &server{
		id: id, host: host, resident: resident,
		rate: mangospeed.Average{Value: float64(rate)}, step: mangospeed.NewStep(), tpots: make(map[time.Duration]int),
	}
}

// usable reports whether the server takes new work.
func (sv *server) usable() bool {
	return !sv.down && !sv.draining && sv.host.State == mangomodel.ServerLive
}

// occupied is the number of slots that are taken.
func (sv *server) occupied() int { return sv.used + sv.foreign }

func (sv *server) occupancy() float64 {
	return float64(sv.occupied()) / float64(sv.host.Slots)
}

// fits reports whether the server can take a request of so many pieces.
func (sv *server) fits(need mangomodel.Pieces) bool {
	return sv.usable() && sv.occupied() < int(sv.host.Slots) && sv.pieces+need <= sv.host.Pieces
}

// takesSuspect reports whether a demand may go to the server: a suspect only
// if no other one is on probation there.
func (sv *server) takesSuspect(w *waiter) bool {
	return !w.suspect || sv.probation == mangomodel.GrantID{}
}

// board counts a grant against the server, and leave gives it back.
func (sv *server) board(g mangomodel.Grant) {
	sv.used++
	sv.pieces += g.Pieces
	sv.tpots[g.TPOT]++
}

func (sv *server) leave(g mangomodel.Grant) {
	sv.used = max(0, sv.used-1)
	sv.pieces = max(0, sv.pieces-g.Pieces)
	if sv.tpots[g.TPOT]--; sv.tpots[g.TPOT] <= 0 {
		delete(sv.tpots, g.TPOT)
	}
}

// prefillFinish predicts when a prompt's prefill would end on the server.
func (sv *server) prefillFinish(now time.Time, d mangomodel.Demand) time.Time {
	start := now
	if sv.busyUntil.After(start) {
		start = sv.busyUntil
	}
	work := float64(d.Prompt) - prefixDiscount*float64(sv.residentTokens(d.Prefixes))
	return start.Add(time.Duration(max(work, 0) / sv.rate.Value * float64(time.Second)))
}

// residentTokens counts the tokens of the longest remembered prefix.
func (sv *server) residentTokens(prefixes []mangomodel.PrefixHash) mangomodel.Tokens {
	n := mangomodel.Tokens(0)
	for i, p := range prefixes {
		if !sv.resident.Contains(p) {
			break
		}
		n = mangomodel.PrefixTokens(i)
	}
	return n
}

func (sv *server) remember(prefixes []mangomodel.PrefixHash) {
	for _, p := range prefixes {
		sv.resident.Add(p, struct{}{})
	}
}

// meets reports whether one more sequence would keep the server's predicted
// step within the TPOT target of a demand and of every grant aboard.
func (sv *server) meets(d mangomodel.Demand) bool {
	step := sv.step.At(sv.occupied() + 1)
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
func (sv *server) slowerThan(other *server) bool {
	return float64(sv.step.At(1)) > slowerFactor*float64(other.step.At(1))
}
