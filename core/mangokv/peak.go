// Package mangokv predicts the KV memory that running generations will need
// together.
//
// A generation's memory grows with each token and comes free at its end, so
// that the need of several is largest at the end of one of them. Reckoning with
// each one's largest need would leave much of a server unused, and reckoning
// with the present one would preempt generations later.
//
// # Usage
//
//	var p mangokv.Profile
//	p.Add(mangokv.Generation{Held: 5000, Remaining: 70})
//	if p.PeakWith(next) <= total { ... }
package mangokv

import (
	"slices"

	"mangolane/core/mangomodel"
)

// Generation is one generation.
type Generation struct {
	// Held is what it keeps in memory now.
	Held mangomodel.Tokens
	// Remaining is how many tokens it is expected to generate yet.
	Remaining mangomodel.Tokens
}

// Profile is the generations of one server. The zero Profile has none.
type Profile struct {
	// generations are sorted by what remains, most first.
	generations []Generation
}

// Reset removes all generations.
func (p *Profile) Reset() { p.generations = p.generations[:0] }

// Add adds a generation.
func (p *Profile) Add(r Generation) {
	i := len(p.generations)
	for i > 0 && p.generations[i-1].Remaining < r.Remaining {
		i--
	}
	p.generations = slices.Insert(p.generations, i, r)
}

// PeakWith returns the most memory that the generations and one more need at any
// time, if all of them generate at the same pace.
func (p *Profile) PeakWith(next Generation) mangomodel.Tokens {
	var s sum
	pending := true
	for _, r := range p.generations {
		if pending && next.Remaining >= r.Remaining {
			s.add(next)
			pending = false
		}
		s.add(r)
	}
	if pending {
		s.add(next)
	}
	return s.peak
}

// sum adds generations up, those that last longest first.
type sum struct{ held, count, peak mangomodel.Tokens }

// add adds a generation. When it ends, it and all that last longer have grown by what
// it has left.
func (s *sum) add(r Generation) {
	s.held += r.Held
	s.count++
	s.peak = max(s.peak, s.held+r.Remaining*s.count)
}
