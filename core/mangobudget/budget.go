// Package mangobudget bounds how many calls are sent to a second server.
//
// A service may get a share of its calls, and a fixed number besides, as
// repeats within a window. All daemons share the allowance without asking each
// other: each one uses its own calls and an equal part of the fixed number.
//
// # Usage
//
//	b := mangobudget.New(mangobudget.Limits{Ratio: 0.2, Fixed: 10, Window: 10 * time.Second})
//	b.Called(now)
//	if b.Take(now) { ... }
package mangobudget

import "time"

// slices is how many parts a window is counted in. One part is the error of
// the window's end.
const slices = 20

// Limits are the allowance of one service at one daemon.
type Limits struct {
	// Ratio is the share of the calls.
	Ratio float64
	// Fixed is a number of repeats besides.
	Fixed float64
	// Window is the span that both hold for.
	Window time.Duration
}

type part struct{ calls, repeats int }

// Budget counts the calls and repeats of one service.
type Budget struct {
	limits Limits
	parts  [slices]part
	// newest numbers the newest part since the zero time.
	newest int64
}

// New returns an unused budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

// Limit replaces the limits.
func (b *Budget) Limit(l Limits) {
	if l.Window != b.limits.Window {
		*b = Budget{}
	}
	b.limits = l
}

// Called counts a client's call.
func (b *Budget) Called(now time.Time) { b.at(now).calls++ }

// Take counts a repeat if the limits allow one.
func (b *Budget) Take(now time.Time) bool {
	p := b.at(now)
	calls, repeats := b.sums()
	if float64(repeats)+1 > b.limits.Ratio*float64(calls)+b.limits.Fixed {
		return false
	}
	p.repeats++
	return true
}

// Count counts a repeat that was not asked for before.
func (b *Budget) Count(now time.Time) { b.at(now).repeats++ }

func (b *Budget) sums() (calls, repeats int) {
	for _, p := range b.parts {
		calls += p.calls
		repeats += p.repeats
	}
	return calls, repeats
}

// at returns the part of a time and clears those that the window has left.
func (b *Budget) at(now time.Time) *part {
	n := now.UnixNano() / int64(b.limits.Window/slices)
	for i := max(b.newest+1, n-slices+1); i <= n; i++ {
		b.parts[i%slices] = part{}
	}
	b.newest = max(b.newest, n)
	return &b.parts[b.newest%slices]
}
