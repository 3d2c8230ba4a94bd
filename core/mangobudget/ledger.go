package mangobudget

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// allowanceTTL is how long an allowance is valid: some missed renewals.
const allowanceTTL = time.Second

// Usages is a daemon's usage of the budget of each service.
type Usages map[mangotraffic.ServiceName]Usage

// Allowances is how many retries of each service a daemon may take until the next
// renewal.
type Allowances map[mangotraffic.ServiceName]int

// peerUsage is the recorded usage of another daemon's incarnation.
type peerUsage struct {
	usages Usages
	// allowances is how many more retries the incarnation may have made since at.
	allowances Allowances
	at         time.Time
}

// Ledger keeps the budgets of one daemon, and the usage of the others while this
// daemon counts for all of them.
type Ledger struct {
	self    mangomodel.Holder
	limits  func() Limits
	budgets map[mangotraffic.ServiceName]*Budget
	peers   map[mangomodel.Holder]peerUsage
}

// NewLedger returns a ledger without usage. It calls limits for each use.
func NewLedger(self mangomodel.Holder, limits func() Limits) *Ledger {
	return &Ledger{
		self: self, limits: limits,
		budgets: make(map[mangotraffic.ServiceName]*Budget), peers: make(map[mangomodel.Holder]peerUsage),
	}
}

// Budget returns this daemon's budget of a service.
func (l *Ledger) Budget(name mangotraffic.ServiceName) *Budget {
	limits := l.limits()
	b, ok := l.budgets[name]
	if !ok {
		b = New(limits)
		l.budgets[name] = b
	}
	b.SetLimits(limits)
	return b
}

// SetAllowances sets how many retries of each service this daemon may take until
// the next renewal.
func (l *Ledger) SetAllowances(a Allowances, now time.Time) {
	for name, n := range a {
		l.Budget(name).SetAllowance(n, now.Add(allowanceTTL))
	}
}

// Usage returns the usage of this daemon.
func (l *Ledger) Usage(now time.Time) Usages {
	u := make(Usages, len(l.budgets))
	for name, b := range l.budgets {
		u[name] = b.Usage(now)
	}
	return u
}

// Renew records the usage of a daemon's incarnation and returns its allowances
// until the next renewal. The given number of daemons shares the budgets. The
// allowances of the others count as used until their renewal, to keep the total
// within what remains, and a share of the rest is allowed. The usage of ended
// incarnations counts for one window. A ledger that has
// been counting for less than a window has no record of what ended incarnations
// used before, so the fixed number grows with the counting time.
func (l *Ledger) Renew(holder mangomodel.Holder, used Usages, daemons int, counting time.Duration, now time.Time) Allowances {
	limits := l.limits()
	limits.Fixed *= min(counting.Seconds()/limits.Window.Seconds(), 1)
	if holder != l.self {
		l.peers[holder] = peerUsage{usages: used, at: now}
	}
	lists := make(map[mangotraffic.ServiceName][]Usage)
	for name, u := range l.Usage(now) {
		if holder != l.self {
			u.Repeats += l.Budget(name).RemainingAllowance(now)
		}
		lists[name] = append(lists[name], u)
	}
	for h, p := range l.peers {
		if now.Sub(p.at) > limits.Window {
			delete(l.peers, h)
			continue
		}
		for name, u := range p.usages {
			u.Repeats += p.allowances[name]
			lists[name] = append(lists[name], u)
		}
	}
	allowances := make(Allowances, len(lists))
	for name, list := range lists {
		allowances[name] = share(Remaining(limits, list), daemons)
	}
	if holder != l.self {
		l.peers[holder] = peerUsage{usages: used, allowances: allowances, at: now}
	}
	return allowances
}

// concurrentFraction is the share of the daemons that can use the whole remaining
// budget at once, since a crash of one engine affects calls of many daemons.
const concurrentFraction = 0.25

// share returns a daemon's part of the remaining budget, rounded up: all of it if
// the daemon is alone, else at most half.
func share(remaining, daemons int) int {
	if daemons == 1 {
		return remaining
	}
	divisor := max(2, int(concurrentFraction*float64(daemons)))
	return (remaining + divisor - 1) / divisor
}
