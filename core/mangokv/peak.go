// Package mangokv predicts the KV memory that the running generations of a server
// need together.
//
// The memory of a generation grows with each token and is freed at its end, so the
// need of several is greatest at the end of one of them. Reserving the maximum of
// each would leave much of a server unused, and planning with the present use would
// cause preemptions later. What generations will still generate is an estimate, so
// one standard deviation of their sum is added to the peak: estimates err
// independently, and many generations need a smaller part of the memory for that
// than few.
//
// # Usage
//
//	var p mangokv.Profile
//	p.Add(mangokv.Generation{Held: 5000, Remaining: 70})
//	if p.PeakWith(next) <= total { ... }
package mangokv

import (
	"math"
	"slices"

	"mangolane/core/mangomodel"
)

// Generation is the memory use of one running generation.
type Generation struct {
	// Held is how many tokens it holds in memory now.
	Held mangomodel.Tokens
	// Remaining is how many more tokens it is expected to generate.
	Remaining mangomodel.Tokens
	// Deviation is the standard deviation of Remaining.
	Deviation mangomodel.Tokens
}

// variance returns the square of the deviation.
func (g Generation) variance() float64 { return float64(g.Deviation) * float64(g.Deviation) }

// Profile holds the generations of one server. The zero Profile is empty.
type Profile struct {
	// generations are sorted by Remaining, largest first.
	generations []Generation
	// variance is the sum of the variances of generations.
	variance float64
}

// Reset removes all generations and keeps the allocated memory.
func (p *Profile) Reset() { p.generations, p.variance = p.generations[:0], 0 }

// Add inserts a generation in the order of Remaining.
func (p *Profile) Add(g Generation) {
	i := len(p.generations)
	for i > 0 && p.generations[i-1].Remaining < g.Remaining {
		i--
	}
	p.generations = slices.Insert(p.generations, i, g)
	p.variance += g.variance()
}

// PeakWith returns the maximum memory that the generations and one more need at
// any time, if all of them generate at the same rate, plus one standard deviation of
// what they generate.
func (p *Profile) PeakWith(next Generation) mangomodel.Tokens {
	var s peakSum
	pending := true
	for _, g := range p.generations {
		if pending && next.Remaining >= g.Remaining {
			s.add(next)
			pending = false
		}
		s.add(g)
	}
	if pending {
		s.add(next)
	}
	return s.peak + mangomodel.Tokens(math.Sqrt(p.variance+next.variance()))
}

// peakSum adds up generations in the order of Remaining, largest first.
type peakSum struct{ held, count, peak mangomodel.Tokens }

// add adds a generation. When it ends, it and all that were added before have
// grown by its remaining tokens.
func (s *peakSum) add(g Generation) {
	s.held += g.Held
	s.count++
	s.peak = max(s.peak, s.held+g.Remaining*s.count)
}
