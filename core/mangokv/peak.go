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
//	p.Add(mangokv.Run{Held: 5000, Left: 70})
//	if p.With(next) <= total { ... }
package mangokv

import (
	"slices"

	"mangolane/core/mangomodel"
)

// Run is one generation.
type Run struct {
	// Held is what it keeps in memory now.
	Held mangomodel.Tokens
	// Left is how many tokens it is expected to generate yet.
	Left mangomodel.Tokens
}

// Profile is the generations of one server. The zero Profile has none.
type Profile struct {
	// runs are sorted by what is left, most first.
	runs []Run
}

// Reset removes all generations.
func (p *Profile) Reset() { p.runs = p.runs[:0] }

// Add adds a generation.
func (p *Profile) Add(r Run) {
	i := len(p.runs)
	for i > 0 && p.runs[i-1].Left < r.Left {
		i--
	}
	p.runs = slices.Insert(p.runs, i, r)
}

// With returns the most memory that the generations and one more need at any
// time, if all of them generate at the same pace.
func (p *Profile) With(next Run) mangomodel.Tokens {
	var s sum
	pending := true
	for _, r := range p.runs {
		if pending && next.Left >= r.Left {
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

// sum adds runs up, those that last longest first.
type sum struct{ held, count, peak mangomodel.Tokens }

// add adds a run. When it ends, it and all that last longer have grown by what
// it has left.
func (s *sum) add(r Run) {
	s.held += r.Held
	s.count++
	s.peak = max(s.peak, s.held+r.Left*s.count)
}
