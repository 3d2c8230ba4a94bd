// Package mangobudget bounds how many calls are sent to a second server.
//
// A service may get a share of its calls, and a fixed number besides, as
// repeats within a window, from all daemons together. A daemon that counts for
// all of them gives each its [Allowances] for the next moments. A daemon that
// cannot reach it uses its own calls and an equal part of the fixed number.
//
// # Usage
//
//	l := mangobudget.NewLedger(self, limits)
//	l.Budget("llm").AddCall(now)
//	if l.Budget("llm").Take(now, daemons) { ... }
//	allowances := l.Renew(holder, usages, daemons, counting, now)
package mangobudget

import "time"

// slices is how many parts a window is counted in. One part is the error of
// the window's end.
const slices = 20

// Limits are the allowance of one service.
type Limits struct {
	// Ratio is the share of the calls.
	Ratio float64
	// Fixed is a number of repeats besides, for all daemons together.
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
	// allowed repeats may be taken until allowedUntil.
	allowed      int
	allowedUntil time.Time
}

// New returns an unused budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) {
	if l.Window != b.limits.Window {
		*b = Budget{}
	}
	b.limits = l
}

// AddCall counts a client's call.
func (b *Budget) AddCall(now time.Time) { b.at(now).calls++ }

// SetAllowance sets how many repeats may be taken until a time, besides which the
// daemon's own part does not count.
func (b *Budget) SetAllowance(repeats int, until time.Time) {
	b.allowed, b.allowedUntil = repeats, until
}

// Take counts a repeat if the allowance, or this daemon's part of the limits,
// permits one.
func (b *Budget) Take(now time.Time, daemons int) bool {
	p := b.at(now)
	if now.Before(b.allowedUntil) {
		if b.allowed <= 0 {
			return false
		}
		b.allowed--
		p.repeats++
		return true
	}
	u := b.sums()
	if float64(u.Repeats)+1 > b.limits.Ratio*float64(u.Calls)+b.limits.Fixed/float64(max(daemons, 1)) {
		return false
	}
	p.repeats++
	return true
}

// RemainingAllowance returns how many repeats the allowance still permits.
func (b *Budget) RemainingAllowance(now time.Time) int {
	if now.Before(b.allowedUntil) {
		return b.allowed
	}
	return 0
}

// Refund takes a repeat back that was counted a moment ago.
func (b *Budget) Refund(now time.Time) {
	p := b.at(now)
	p.repeats = max(p.repeats-1, 0)
	b.allowed++
}

// Usage is what one daemon has used within a window.
type Usage struct{ Calls, Repeats int }

// Usage returns what was used within the window.
func (b *Budget) Usage(now time.Time) Usage {
	b.at(now)
	return b.sums()
}

// Remaining returns how many repeats the limits leave to all daemons together.
func Remaining(l Limits, usages []Usage) int {
	var sum Usage
	for _, u := range usages {
		sum.Calls += u.Calls
		sum.Repeats += u.Repeats
	}
	return max(int(l.Ratio*float64(sum.Calls)+l.Fixed)-sum.Repeats, 0)
}

func (b *Budget) sums() Usage {
	var u Usage
	for _, p := range b.parts {
		u.Calls += p.calls
		u.Repeats += p.repeats
	}
	return u
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
