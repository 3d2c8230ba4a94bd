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
//	if mangokv.Peak(append(runs, next)) <= total { ... }
package mangokv

import (
	"cmp"
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

// Peak returns the most memory that the runs need at any time, if all of them
// generate at the same pace. It sorts runs.
func Peak(runs []Run) mangomodel.Tokens {
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(b.Left, a.Left) })
	var peak, held mangomodel.Tokens
	for i, r := range runs {
		// When r ends, it and all that last longer have grown by r.Left.
		held += r.Held
		peak = max(peak, held+r.Left*mangomodel.Tokens(i+1))
	}
	return peak
}
