// Package mangobudget bounds how many calls are retried at a second server.
//
// The daemons together may retry a share of the calls of a service, plus a fixed
// number, within a window. The daemon that counts for all of them sends each its
// [Allowances]: what it may retry until the next renewal, and what it may retry
// afterwards if it cannot reach that daemon any more. The latter is set aside, so that
// the sides of a partition together stay within the budget. A daemon that has been alone
// for a window uses its own calls and an equal part of the fixed number, which the
// counting daemon has kept for it meanwhile.
//
// # Usage
//
//	l := mangobudget.NewLedger(self, limits)
//	l.Budget("llm").AddCall(now)
//	if l.Budget("llm").Take(now, daemons) { ... }
//	allowances := l.Renew(holder, usages, daemons, counting, now)
//	l.SetAllowances(allowances, from, now)
package mangobudget

import (
	"time"

	"mangolane/core/mangomodel"
)

// windowParts is the number of parts in which a window is counted. The end of the
// window is accurate to one part.
const windowParts = 20

// Limits are the retry limits of one service.
type Limits struct {
	// Ratio is the share of the calls that may be retried.
	Ratio float64
	// Fixed is an additional number of retries, for all daemons together.
	Fixed float64
	// Window is the time span that both apply to.
	Window time.Duration
}

type part struct{ calls, retries int }

// Budget counts the calls and retries of one service.
type Budget struct {
	limits Limits
	parts  [windowParts]part
	// newest is the number of the newest part, counted from the Unix epoch.
	newest int64
	// allowance is how many more retries may be taken until allowanceUntil, and
	// taken how many were.
	allowance, taken int
	allowanceUntil   time.Time
	// alone is how many more may be taken from then until aloneUntil, beside the share
	// of the calls that were counted since the allowance was set.
	alone      int
	callsSince int
	aloneUntil time.Time
	// daemons is how many daemons shared the fixed number when the allowance was set.
	daemons int
}

// New returns an unused budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

// SetLimits replaces the limits. If the window changes, it also clears the counts
// and the allowance.
func (b *Budget) SetLimits(l Limits) {
	if l.Window != b.limits.Window {
		*b = Budget{}
	}
	b.limits = l
}

// AddCall counts a call of a client.
func (b *Budget) AddCall(now time.Time) {
	b.at(now).calls++
	b.callsSince++
}

// SetAllowance sets how many retries may be taken from now on. While it is valid it
// replaces the daemon's own part of the limits.
func (b *Budget) SetAllowance(a Allowance, now time.Time) {
	b.allowance, b.taken, b.allowanceUntil = a.Now, 0, now.Add(allowanceTTL)
	b.alone, b.callsSince, b.aloneUntil = a.Alone, 0, now.Add(b.limits.Window+aloneMargin)
	b.daemons = a.Daemons
}

// Take counts a retry and reports true if the allowance permits it, or, without an
// allowance, this daemon's part of the limits.
func (b *Budget) Take(now time.Time, daemons int) bool {
	p := b.at(now)
	if b.allowed(now) {
		if b.allowance <= 0 {
			return false
		}
		b.allowance--
		b.taken++
		p.retries++
		return true
	}
	if b.isAlone(now) {
		if b.aloneLeft() < 1 {
			return false
		}
		b.alone--
		p.retries++
		return true
	}
	if b.ownPart(daemons) < 1 {
		return false
	}
	p.retries++
	return true
}

// isAlone reports whether the allowance has expired and what it permits afterwards is in
// force.
func (b *Budget) isAlone(now time.Time) bool {
	return !b.allowed(now) && mangomodel.Elapsed(b.aloneUntil, now) < 0
}

// aloneLeft returns how many retries a daemon that is alone may still make.
func (b *Budget) aloneLeft() float64 { return float64(b.alone) + b.limits.Ratio*float64(b.callsSince) }

// ownPart returns how many retries this daemon's part of the limits still permits.
func (b *Budget) ownPart(daemons int) float64 {
	u := b.sums()
	return b.limits.Ratio*float64(u.Calls) + b.limits.Fixed/float64(max(daemons, b.daemons, 1)) - float64(u.Repeats)
}

// Held returns how many retries this daemon may still make without a renewal, apart from
// the share of further calls, if a number of daemons shares the fixed number.
func (b *Budget) Held(now time.Time, daemons int) int {
	b.at(now)
	switch {
	case b.allowed(now):
		return b.allowance + b.alone
	case b.isAlone(now):
		return max(b.alone, 0)
	default:
		return max(int(b.ownPart(daemons)), 0)
	}
}

// allowed reports whether the allowance is in force.
func (b *Budget) allowed(now time.Time) bool { return mangomodel.Elapsed(b.allowanceUntil, now) < 0 }

// Refund reverses a retry that was counted within the window. It returns the retry to
// the allowance only if it was taken from that.
func (b *Budget) Refund(now time.Time) {
	b.at(now)
	b.uncount()
	if b.taken > 0 {
		b.taken--
		b.allowance++
	}
}

// uncount removes a retry from the oldest part that has one, so that what remains is
// not counted for too short a time.
func (b *Budget) uncount() {
	for n := b.newest - windowParts + 1; n <= b.newest; n++ {
		if p := &b.parts[n%windowParts]; p.retries > 0 {
			p.retries--
			return
		}
	}
}

// Usage is how many calls and retries (Repeats) one daemon has counted within a
// window, and how many retries it may still make without a renewal (Held).
type Usage struct{ Calls, Repeats, Held int }

// Usage returns the usage within the window by one of a number of daemons.
func (b *Budget) Usage(now time.Time, daemons int) Usage {
	u := Usage{Held: b.Held(now, daemons)}
	sums := b.sums()
	u.Calls, u.Repeats = sums.Calls, sums.Repeats
	return u
}

func (b *Budget) sums() Usage {
	var u Usage
	for _, p := range b.parts {
		u.Calls += p.calls
		u.Repeats += p.retries
	}
	return u
}

// at returns the part of a time and clears the parts that have left the window.
func (b *Budget) at(now time.Time) *part {
	n := now.UnixNano() / int64(b.limits.Window/windowParts)
	for i := max(b.newest+1, n-windowParts+1); i <= n; i++ {
		b.parts[i%windowParts] = part{}
	}
	b.newest = max(b.newest, n)
	return &b.parts[b.newest%windowParts]
}
