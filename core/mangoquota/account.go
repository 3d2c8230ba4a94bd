package mangoquota

import (
	"math"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

const (
	// demandTime is the time over which the demand of a workspace is averaged: two
	// renewals, so that a loan follows it soon.
	demandTime = 500 * time.Millisecond
	// aheadCalls is the number of calls within a renewal interval from which on a daemon
	// borrows ahead. Loans for fewer calls would mostly be held in vain.
	aheadCalls = 2
	// failedTime is how long calls are refused without an ask after one has failed.
	failedTime = 250 * time.Millisecond
	// longestClosed bounds how long calls are refused without an ask after one was refused,
	// so that a change of the limit or of the demand is noticed within a renewal interval.
	longestClosed = 100 * time.Millisecond
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict is what an account decides about a call.
type Verdict int

const (
	// VerdictAllow means that the cost was taken, or that nothing limits the call.
	VerdictAllow Verdict = iota
	// VerdictAsk means that the accountant has to be asked.
	VerdictAsk
	// VerdictRefuse means that the call must not run.
	VerdictRefuse
)

// Decision is an account's decision about a call.
type Decision struct {
	Verdict Verdict
	// Refusal is set if the call must not run.
	Refusal *Refusal
}

// pot is what a daemon holds of one workspace.
type pot struct {
	Loan
	returned, refunded mangoworkspace.Amount
	// validFrom is when the report was sent whose reply brought the loan.
	validFrom time.Time
	// old is what is left of the loan of the last accountant, which is valid from oldFrom.
	old     mangoworkspace.Amount
	oldFrom time.Time
	// own is the level of this daemon's own part of the limit, at ownAt.
	own   mangoworkspace.Amount
	ownAt time.Time
	// demand is the average cost of the calls per second at lastCall, and calls their
	// average number.
	demand, calls float64
	lastCall      time.Time
	// Calls of at least closedCost are refused until closedUntil. promised is when those
	// that were told to return will have been served.
	closedUntil, promised time.Time
	closedCost            mangoworkspace.Amount
	// used is what was missing from the accountant's bucket at usedAt.
	used   mangoworkspace.Amount
	usedAt time.Time
}

// Account is what one daemon holds of the quotas of all workspaces.
type Account struct {
	limits     Limits
	accountant mangomodel.Holder
	session    Session
	ack        Number
	divisor    int
	known      bool
	// repliedBy is the accountant that replied last, at repliedAt.
	repliedBy mangomodel.Holder
	repliedAt time.Time
	// began is when the account was made.
	began time.Time
	pots  map[mangomodel.WorkspaceID]*pot
}

// NewAccount returns an account without loans. Until an accountant tells the number of
// daemons, the limits are divided by first.
func NewAccount(limits Limits, first int, now time.Time) *Account {
	return &Account{limits: limits, divisor: max(first, 1), began: now, pots: make(map[mangomodel.WorkspaceID]*pot)}
}

// Report returns the report to an accountant, which begins a session if it is another one
// than before. What isn't needed until the next renewal is returned with it.
func (a *Account) Report(accountant mangomodel.Holder, leaving bool, now time.Time) Report {
	if accountant != a.accountant || a.session == 0 {
		a.beginSession(accountant)
	}
	r := Report{Session: a.session, Ack: a.ack, Divisor: a.divisor, Known: a.known, Leaving: leaving}
	if a.repliedBy != accountant && !a.repliedAt.IsZero() {
		r.Foreign = max(now.Sub(a.repliedAt), 1)
	}
	for id, p := range a.pots {
		limit, ok := a.limits.Limit(id)
		if !ok {
			delete(a.pots, id)
			continue
		}
		p.expire(now)
		if now.Sub(p.lastCall) >= recent && p.Lent == p.Settled {
			continue
		}
		expected := p.expected(now)
		if surplus := p.Lent - p.Settled - expected; surplus > 0 {
			p.Settled += surplus
			p.returned += surplus
		}
		if r.Usages == nil {
			r.Usages = make(map[mangomodel.WorkspaceID]Usage)
		}
		r.Usages[id] = Usage{Settled: p.Settled, Returned: p.returned, Refunded: p.refunded, Expected: min(expected, limit.Burst)}
	}
	return r
}

// beginSession sets the accountant. The loans of the last one remain usable until they
// expire; those of earlier ones don't, since it may be one of these again.
func (a *Account) beginSession(accountant mangomodel.Holder) {
	a.accountant, a.ack = accountant, 0
	a.session++
	for _, p := range a.pots {
		p.old, p.oldFrom = p.Lent-p.Settled, p.validFrom
		p.Loan, p.returned, p.refunded, p.validFrom = Loan{}, 0, 0, time.Time{}
		p.closedUntil = time.Time{}
	}
}

// SetLoans applies the reply to a report that was sent at a time. A reply that is late or
// older than one before is ignored.
func (a *Account) SetLoans(r Loans, sentAt, now time.Time) {
	if r.Session != a.session || r.Number <= a.ack || mangomodel.Elapsed(sentAt, now) >= TTL {
		return
	}
	a.ack, a.divisor, a.known = r.Number, max(r.Daemons, 1), r.Known
	a.repliedBy, a.repliedAt = a.accountant, now
	for id, x := range r.Loans {
		p, ok := a.pots[id]
		if !ok {
			continue
		}
		p.expire(now)
		p.Lent = max(p.Lent, x.Lent)
		p.Settled = max(p.Settled, x.Settled)
		p.validFrom = sentAt
	}
	for _, p := range a.pots {
		p.own = 0
	}
}

// aloneSince returns since when the daemon may use its own part of the limits.
func (a *Account) aloneSince() time.Time {
	if a.repliedAt.IsZero() {
		return a.began
	}
	return a.repliedAt.Add(TTL)
}

// Alone reports whether the daemon has reached no accountant for [TTL]. Time in which the
// host was suspended doesn't count, since the daemon's share may be in use elsewhere.
func (a *Account) Alone(now time.Time) bool { return !now.Before(a.aloneSince()) }

// Take takes the cost of a call.
func (a *Account) Take(id mangomodel.WorkspaceID, cost mangoworkspace.Amount, now time.Time) Decision {
	limit, ok := a.limits.Limit(id)
	if !ok {
		return Decision{}
	}
	p, ok := a.pots[id]
	if !ok {
		p = &pot{}
		a.pots[id] = p
	}
	p.record(float64(cost), now)
	p.expire(now)
	switch {
	case cost > limit.Burst:
		return a.refuse(id, limit, cost, 0, now)
	case p.takeLoan(cost), a.takeOwn(p, limit, cost, now):
		return Decision{}
	case now.Before(p.closedUntil) && cost >= p.closedCost:
		wait := max(p.promised.Sub(now), p.closedUntil.Sub(now), minWait)
		p.promised = now.Add(min(wait+seconds(cost, limit.Rate), maxWait))
		return a.refuse(id, limit, cost, wait, now)
	default:
		return Decision{Verdict: VerdictAsk}
	}
}

// takeOwn takes a cost from this daemon's own part of a limit.
func (a *Account) takeOwn(p *pot, limit mangoworkspace.Limit, cost mangoworkspace.Amount, now time.Time) bool {
	if !a.Alone(now) {
		p.own = 0
		return false
	}
	n := mangoworkspace.Amount(a.divisor)
	if since := a.aloneSince(); p.ownAt.Before(since) {
		p.own, p.ownAt = 0, since
	}
	p.own = min(p.own+limit.Rate/n*mangoworkspace.Amount(now.Sub(p.ownAt).Seconds()), limit.Burst/n)
	p.ownAt = now
	if cost > p.own+rounding {
		return false
	}
	p.own = max(p.own-cost, 0)
	return true
}

// Answered applies the accountant's answer about a call, which arrived some time after the
// call began to wait.
func (a *Account) Answered(id mangomodel.WorkspaceID, cost mangoworkspace.Amount, wait time.Duration, used mangoworkspace.Amount, now time.Time) Decision {
	limit, ok := a.limits.Limit(id)
	p := a.pots[id]
	if !ok || p == nil || wait == 0 {
		return Decision{}
	}
	p.used, p.usedAt = used, now
	if closed := now.Add(min(wait/2, longestClosed)); now.Before(p.closedUntil) {
		p.closedCost = min(p.closedCost, cost)
	} else {
		p.closedUntil, p.closedCost = closed, cost
	}
	p.promised = now.Add(wait)
	return a.refuse(id, limit, cost, wait, now)
}

// Unanswered refuses a call whose ask wasn't answered in time.
func (a *Account) Unanswered(id mangomodel.WorkspaceID, cost mangoworkspace.Amount, now time.Time) Decision {
	limit, ok := a.limits.Limit(id)
	p := a.pots[id]
	if !ok || p == nil {
		return Decision{}
	}
	p.closedUntil, p.closedCost = now.Add(failedTime), 0
	return a.refuse(id, limit, cost, failedTime, now)
}

func (a *Account) refuse(id mangomodel.WorkspaceID, limit mangoworkspace.Limit, cost mangoworkspace.Amount, wait time.Duration, now time.Time) Decision {
	r := &Refusal{Workspace: id, Limit: limit, Cost: cost, After: wait, Alone: a.Alone(now)}
	if p := a.pots[id]; !p.usedAt.IsZero() {
		r.Used, r.Age = p.used, now.Sub(p.usedAt)
	}
	return Decision{Verdict: VerdictRefuse, Refusal: r}
}

// Refund returns the cost of a call that was charged at a time and didn't run, unless a
// loan of that time has expired.
func (a *Account) Refund(id mangomodel.WorkspaceID, cost mangoworkspace.Amount, chargedAt, now time.Time) {
	p, ok := a.pots[id]
	if !ok || mangomodel.Elapsed(chargedAt, now) >= TTL || a.Alone(now) {
		return
	}
	p.refunded += cost
	// The next report mentions the workspace.
	p.lastCall = now
}

// expire counts loans as spent that are older than [TTL].
func (p *pot) expire(now time.Time) {
	if mangomodel.Elapsed(p.validFrom, now) >= TTL {
		p.Settled = p.Lent
	}
	if mangomodel.Elapsed(p.oldFrom, now) >= TTL {
		p.old = 0
	}
}

// takeLoan takes a cost from a valid loan.
func (p *pot) takeLoan(cost mangoworkspace.Amount) bool {
	switch {
	case cost <= p.old:
		p.old -= cost
	case cost <= p.Lent-p.Settled:
		p.Settled += cost
	default:
		return false
	}
	return true
}

// record counts a call.
func (p *pot) record(cost float64, now time.Time) {
	decay := p.decay(now)
	p.demand = p.demand*decay + cost/demandTime.Seconds()
	p.calls = p.calls*decay + 1/demandTime.Seconds()
	p.lastCall = now
}

// decay returns the factor by which averages have decreased since the last call.
func (p *pot) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(p.lastCall), 0).Seconds() / demandTime.Seconds())
}

// expected returns the cost of the calls that are expected within a renewal interval; zero
// if they are few.
func (p *pot) expected(now time.Time) mangoworkspace.Amount {
	n := p.decay(now) * interval.Seconds()
	if p.calls*n < aheadCalls {
		return 0
	}
	return mangoworkspace.Amount(p.demand * n)
}
