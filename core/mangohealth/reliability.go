package mangohealth

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of a new outcome in a failure rate.
	outcomeWeight = 0.1
	// rateHalfLife is how long it takes a failure rate to halve without outcomes,
	// so that a server that is avoided is tried again.
	rateHalfLife = 10 * time.Second
	// maxRate bounds a failure rate: the failures of a crash come all at once.
	maxRate = 0.5
)

// Reliability estimates the share of a server's calls that fail. A server that fails
// a part of its calls is not ejected, since the others may lack the room for its
// work, but should get work after them. The zero Reliability is that of a server
// without failures.
type Reliability struct {
	rate float64
	at   time.Time
}

// Record returns the estimate after the outcome of a call.
func (r Reliability) Record(failed bool, now time.Time) Reliability {
	rate := r.FailureRate(now) * (1 - outcomeWeight)
	if failed {
		rate += outcomeWeight
	}
	return Reliability{rate: min(rate, maxRate), at: now}
}

// FailureRate returns the estimated share of calls that fail.
func (r Reliability) FailureRate(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp2(-now.Sub(r.at).Seconds()/rateHalfLife.Seconds())
}
