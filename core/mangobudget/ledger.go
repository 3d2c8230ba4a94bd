package mangobudget

import (
	"maps"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// allowanceTTL is how long an allowance is valid: some missed renewals.
	allowanceTTL = time.Second
	// aloneMargin is how much longer than a window a daemon that is alone has to wait for
	// its own part. Until it counts as absent, others may use what of that is not held.
	aloneMargin = 2 * allowanceTTL
	// partRetention is how long a daemon that does not renew keeps its part of the fixed
	// number.
	partRetention = 10 * time.Minute
)

// Usages is a daemon's usage of the budget of each service.
type Usages map[mangotraffic.ServiceName]Usage

// Allowance is how many retries of a service a daemon may make.
type Allowance struct {
	// Now is how many it may make until the next renewal.
	Now int
	// Alone is how many more it may make if it cannot renew.
	Alone int
	// Daemons is how many daemons share the fixed number.
	Daemons int
}

// Allowances holds the allowance of each service.
type Allowances map[mangotraffic.ServiceName]Allowance

// peer is what is recorded of another daemon's incarnation.
type peer struct {
	// usages are those that it has reported at a time. Held is raised to what it was
	// allowed then, since it may not have received that.
	usages Usages
	at     time.Time
}

// Ledger keeps the budgets of one daemon, and the usage of the others while this
// daemon counts for all of them.
type Ledger struct {
	self    mangomodel.Holder
	limits  func() Limits
	budgets map[mangotraffic.ServiceName]*Budget
	peers   map[mangomodel.Holder]peer
	// seen is when each other daemon last renewed.
	seen map[mangomodel.DaemonID]time.Time
	// told is how many daemons another one counted, and toldAt when it said so.
	told   int
	toldAt time.Time
	// foreign is when another daemon last sent an allowance. counts has the services
	// whose retries this daemon counts for all: since all of them last renewed here, no
	// other daemon has.
	foreign map[mangotraffic.ServiceName]time.Time
	counts  map[mangotraffic.ServiceName]bool
}

// NewLedger returns a ledger without usage. It calls limits for each use.
func NewLedger(self mangomodel.Holder, limits func() Limits) *Ledger {
	return &Ledger{
		self: self, limits: limits,
		budgets: make(map[mangotraffic.ServiceName]*Budget), peers: make(map[mangomodel.Holder]peer),
		seen: make(map[mangomodel.DaemonID]time.Time), foreign: make(map[mangotraffic.ServiceName]time.Time),
		counts: make(map[mangotraffic.ServiceName]bool),
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

// SetAllowances sets how many retries of each service this daemon may make, as another
// daemon or this one itself has counted.
func (l *Ledger) SetAllowances(a Allowances, from mangomodel.DaemonID, now time.Time) {
	for name, x := range a {
		l.Budget(name).SetAllowance(x, now)
		if from != l.self.Daemon {
			l.foreign[name], l.told, l.toldAt = now, x.Daemons, now
			delete(l.counts, name)
		}
	}
}

// Usage returns the usage of this daemon, one of at least the given number.
func (l *Ledger) Usage(now time.Time, daemons int) Usages {
	u := make(Usages, len(l.budgets))
	for name, b := range l.budgets {
		u[name] = b.Usage(now, daemons)
	}
	return u
}

// Renew records the usage of a daemon's incarnation and returns its allowances, of the
// services whose retries this daemon counts for all. At least the given number of daemons
// shares the budgets. What the others may make without a renewal counts as used, and so
// does at least the part of each daemon that does not renew. The usage of ended
// incarnations counts for one window. A ledger that has been counting for less than a
// window has no record of what ended incarnations used before, so the fixed number grows
// with the counting time.
func (l *Ledger) Renew(holder mangomodel.Holder, used Usages, daemons int, counting time.Duration, now time.Time) Allowances {
	limits := l.limits()
	limits.Fixed *= min(counting.Seconds()/limits.Window.Seconds(), 1)
	if holder != l.self {
		l.seen[holder.Daemon] = now
		usages := make(Usages, len(used))
		maps.Copy(usages, used)
		l.peers[holder] = peer{usages: usages, at: now}
	}
	l.forget(limits.Window, now)
	shared := max(daemons, 1+len(l.seen))
	if mangomodel.Elapsed(l.toldAt, now) < partRetention {
		shared = max(shared, l.told)
	}
	complete := l.present(now) >= shared
	part := fixedPart{limits.Fixed / float64(shared), shared}
	names := l.counted(used, complete, now)
	remaining := l.remaining(names, holder, part, limits, now)
	allowances := make(Allowances, len(names))
	for _, name := range names {
		x := Allowance{Daemons: shared}
		if holder != l.self {
			x.Alone = remaining[name] / (2 * shared)
		}
		x.Now = share(remaining[name]-x.Alone, shared)
		allowances[name] = x
		if holder != l.self {
			l.peers[holder].hold(name, x.Now+x.Alone, part)
		}
	}
	return allowances
}

// fixedPart is the part of the fixed number of each of some daemons.
type fixedPart struct {
	retries float64
	daemons int
}

// hold records that a daemon was sent an allowance, which it may not receive. One that has
// not reported the service may use its own part.
func (p peer) hold(name mangotraffic.ServiceName, allowed int, part fixedPart) {
	u, reported := p.usages[name]
	if !reported {
		u.Held = int(part.retries)
	}
	u.Held = max(u.Held, allowed)
	p.usages[name] = u
}

// counted returns the services whose retries this daemon counts for all, among those
// that it or a holder has used.
func (l *Ledger) counted(used Usages, complete bool, now time.Time) []mangotraffic.ServiceName {
	for name := range used {
		l.Budget(name)
	}
	var names []mangotraffic.ServiceName
	for name := range l.budgets {
		switch {
		case mangomodel.Elapsed(l.foreign[name], now) <= allowanceTTL:
			delete(l.counts, name)
		case complete:
			l.counts[name] = true
		}
		if l.counts[name] {
			names = append(names, name)
		}
	}
	return names
}

// forget removes what no longer counts.
func (l *Ledger) forget(window time.Duration, now time.Time) {
	for h, p := range l.peers {
		if now.Sub(p.at) > window+aloneMargin+allowanceTTL {
			delete(l.peers, h)
		}
	}
	for id, at := range l.seen {
		if now.Sub(at) > partRetention {
			delete(l.seen, id)
		}
	}
}

// present returns how many daemons renew here, this one included.
func (l *Ledger) present(now time.Time) int {
	n := 1
	for _, at := range l.seen {
		if now.Sub(at) <= allowanceTTL {
			n++
		}
	}
	return n
}

// remaining returns how many retries of each service the limits leave to a daemon.
func (l *Ledger) remaining(names []mangotraffic.ServiceName, holder mangomodel.Holder, part fixedPart, limits Limits, now time.Time) map[mangotraffic.ServiceName]int {
	left := make([]float64, len(names))
	for i, name := range names {
		u := l.Budget(name).Usage(now, part.daemons)
		left[i] = limits.Fixed + limits.Ratio*float64(u.Calls) - float64(u.Repeats)
		if holder != l.self {
			left[i] -= float64(u.Held)
		}
	}
	recorded := map[mangomodel.DaemonID]bool{l.self.Daemon: true}
	for h, p := range l.peers {
		recorded[h.Daemon] = true
		recent := now.Sub(p.at) <= limits.Window
		absent := now.Sub(l.seen[h.Daemon]) > allowanceTTL
		for i, name := range names {
			u, reported := p.usages[name]
			if recent {
				left[i] += limits.Ratio * float64(u.Calls)
			} else {
				u.Repeats = 0
			}
			used := float64(u.Repeats)
			if h != holder {
				used += float64(u.Held)
			}
			// A daemon that has not reported the service may use its own part.
			if absent || h != holder && !reported {
				used = max(used, part.retries)
			}
			left[i] -= used
		}
	}
	unseen := float64(max(part.daemons-len(recorded), 0))
	remaining := make(map[mangotraffic.ServiceName]int, len(names))
	for i, name := range names {
		remaining[name] = max(int(left[i]-part.retries*unseen), 0)
	}
	return remaining
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
