package mangobudget

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// allowanceTime is how long an allowance holds: some missed renewals.
const allowanceTime = time.Second

// Usages is what a daemon has used of each service's budget.
type Usages map[mangotraffic.ServiceName]Usage

// Allowances is how many repeats a daemon may make until the next renewal.
type Allowances map[mangotraffic.ServiceName]int

// peerUsage is what another daemon life has used.
type peerUsage struct {
	usages Usages
	// allowed is what the daemon may have used since.
	allowed Allowances
	at      time.Time
}

// Ledger keeps the budgets of one daemon, and what the others have used of
// theirs while it counts for all of them.
type Ledger struct {
	self    mangomodel.Holder
	limits  func() Limits
	budgets map[mangotraffic.ServiceName]*Budget
	peers   map[mangomodel.Holder]peerUsage
}

// NewLedger returns a ledger without usage. The limits are asked for each time.
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

// SetAllowances sets how many repeats this daemon may make until the next renewal.
func (l *Ledger) SetAllowances(a Allowances, now time.Time) {
	for name, n := range a {
		l.Budget(name).SetAllowance(n, now.Add(allowanceTime))
	}
}

// Usage returns what this daemon has used.
func (l *Ledger) Usage(now time.Time) Usages {
	u := make(Usages, len(l.budgets))
	for name, b := range l.budgets {
		u[name] = b.Usage(now)
	}
	return u
}

// Renew takes in what a daemon life has used and returns what it may use until
// its next renewal, of daemons that share the budgets. What the others were
// allowed counts as used until they renew, so that all together never use more
// than is left; most of the rest remains for them. Lives that have ended count
// for a window. A ledger that has counted for less than a window does not know
// what ended lives used before, so the fixed number grows with its time.
func (l *Ledger) Renew(holder mangomodel.Holder, used Usages, daemons int, counting time.Duration, now time.Time) Allowances {
	limits := l.limits()
	limits.Fixed *= min(counting.Seconds()/limits.Window.Seconds(), 1)
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
			if h != holder {
				u.Repeats += p.allowed[name]
			}
			lists[name] = append(lists[name], u)
		}
	}
	allowed := make(Allowances, len(lists))
	for name, list := range lists {
		allowed[name] = share(Remaining(limits, list), daemons)
	}
	if holder != l.self {
		l.peers[holder] = peerUsage{usages: used, allowed: allowed, at: now}
	}
	return allowed
}

// sharers is the share of the daemons that can use all that is left of a budget
// at once. An engine that crashes has the calls of many daemons.
const sharers = 0.25

// share returns a daemon's part of what is left of a budget, rounded up: all of
// it if it is alone, at most half of it else.
func share(left, daemons int) int {
	if daemons == 1 {
		return left
	}
	divisor := max(2, int(sharers*float64(daemons)))
	return (left + divisor - 1) / divisor
}
