package mangoquota

import (
	"math/rand/v2"
	"testing"
	"time"

	"mangolane/core/mangoworkspace"
)

const (
	// fleet is the number of daemons of one deployment of the users.
	fleet = 75
	// usualShare is the users' usual demand as a share of the rate.
	usualShare = 1 / 1.8
	// maxLoss is the share of calls below the limit that may be refused without
	// disturbances.
	maxLoss = 0.001
)

// smallest and largest are the users' limits.
var (
	smallest = mangoworkspace.Limit{Unit: mangoworkspace.UnitTokens, Rate: 29_000, Burst: 29_000}
	largest  = mangoworkspace.Limit{Unit: mangoworkspace.UnitTokens, Rate: 430_000, Burst: 430_000}
)

// demand plays calls at daemons. Calls that one bucket with the whole limit wouldn't let
// pass are left out, so that the workspace stays below its limit.
type demand struct {
	*world
	random *rand.Rand
	limit  mangoworkspace.Limit
	ideal  mangoworkspace.Amount
	calls  int
}

func newDemand(n int, limit mangoworkspace.Limit, d time.Duration) *demand {
	return &demand{world: newWorld(n, int(d/step), limit), random: rand.New(rand.NewPCG(1, 2)), limit: limit}
}

// cost returns the cost of a call: three of four are generations.
func (d *demand) cost() mangoworkspace.Amount {
	if d.random.IntN(4) == 0 {
		return 200
	}
	return 5_000 + mangoworkspace.Amount(d.random.IntN(6_000))
}

// meanCost is the mean of cost.
const meanCost = 0.25*200 + 0.75*8_000

// arrive plays a call at a daemon.
func (d *demand) arrive(i int) {
	cost := d.cost()
	if cost > d.ideal {
		return
	}
	d.ideal -= cost
	d.calls++
	d.call(i, cost)
}

// demand plays calls at daemons that at returns, at a share of the rate, for some time.
func (d *demand) demand(share float64, at func() int, during time.Duration) {
	perStep := share * float64(d.limit.Rate) * step.Seconds() / meanCost
	for range int(during / step) {
		d.ideal = min(d.ideal+d.limit.Rate*mangoworkspace.Amount(step.Seconds()), d.limit.Burst)
		// A Poisson process.
		for left := d.random.ExpFloat64(); left < perStep; left += d.random.ExpFloat64() {
			d.arrive(at())
		}
		d.play()
	}
}

// TestNothingBelowTheLimitIsRefused guards against loans that lie where they aren't needed.
// A workspace below its limit loses nothing, wherever its calls arrive.
func TestNothingBelowTheLimitIsRefused(t *testing.T) {
	limits := map[string]mangoworkspace.Limit{"smallest": smallest, "largest": largest}
	const minute = time.Minute
	tests := []struct {
		name string
		play func(d *demand)
	}{
		{"at all daemons", func(d *demand) {
			d.demand(usualShare, func() int { return d.random.IntN(fleet) }, 2*minute)
		}},
		{"at one daemon", func(d *demand) {
			d.demand(usualShare, func() int { return 7 }, 2*minute)
		}},
		{"moves to another data centre", func(d *demand) {
			for range 8 {
				d.demand(usualShare, func() int { return d.random.IntN(25) }, 10*time.Second)
				d.demand(usualShare, func() int { return 25 + d.random.IntN(25) }, 10*time.Second)
			}
		}},
		{"after an idle minute", func(d *demand) {
			for range 4 {
				d.demand(0, nil, minute)
				d.demand(0.9, func() int { return d.random.IntN(fleet) }, 2*time.Second)
				d.demand(usualShare, func() int { return 3 }, 5*time.Second)
			}
		}},
	}
	for name, limit := range limits {
		for _, test := range tests {
			t.Run(name+" "+test.name, func(t *testing.T) {
				d := newDemand(fleet, limit, 8*minute)
				d.demand(0, nil, 4*time.Second)
				d.calls, d.refused = 0, 0
				test.play(d)
				t.Logf("%d calls, %d from loans, %d refused", d.calls, d.loaned, d.refused)
				if float64(d.refused) > maxLoss*float64(d.calls) {
					t.Errorf("%d of %d calls below the limit refused, at most %v of them may be", d.refused, d.calls, maxLoss)
				}
			})
		}
	}
}
