package mangoquota

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

const (
	// shareAge is how old the computed share may be. It takes some microseconds to compute
	// at 410 daemons, which renew 1,640 times a second.
	shareAge = 20 * time.Millisecond
	// sweepInterval is the time between two searches for expired loans and daemons. Until
	// then loans count as lent, which is safe.
	sweepInterval = 250 * time.Millisecond
	// idleTime is how long the record of a settled loan is kept.
	idleTime = 10 * time.Second
	// replyRing is how many replies to a daemon are recorded: those of more than [TTL].
	replyRing = 8
	// majority is the share above which the tolerance is added. On each side of a
	// partition it would add up beyond the users' bound.
	majority = 0.5
)

// sent is a reply that a daemon may confirm.
type sent struct {
	number Number
	at     time.Time
}

// loan is what one daemon holds of one workspace.
type loan struct {
	Loan
	returned, refunded mangoworkspace.Amount
	// at is when the daemon last reported it.
	at time.Time
}

// member is what a ledger records of a daemon.
type member struct {
	holder  mangomodel.Holder
	session Session
	divisor int
	// seated is set if the daemon is among those that the foreign ledger counted.
	seated, leaving bool
	// renewed is when it last renewed, confirmed the time of the newest reply that it has
	// confirmed, and held when the share that another accountant used becomes free.
	renewed, confirmed, held time.Time
	// replies are the newest of the replied replies.
	replies [replyRing]sent
	replied int
	loans   map[mangomodel.WorkspaceID]*loan
}

// present reports whether the ledger may use the daemon's share.
func (m *member) present(now time.Time) bool {
	return !m.confirmed.IsZero() && !now.Before(m.held) && mangomodel.Elapsed(m.confirmed, now) < TTL-shareAge
}

// Ledger is an accountant's record of the buckets and loans of all workspaces.
type Ledger struct {
	limits  Limits
	terms   Terms
	members map[mangomodel.DaemonID]*member
	buckets map[mangomodel.WorkspaceID]*bucket
	number  Number
	// foreign is the largest number of daemons that another accountant has told, at a time.
	foreign   int
	foreignAt time.Time
	// known is set once all daemons were known to this ledger or to another one.
	known    bool
	share    mangoworkspace.Amount
	sharedAt time.Time
	sweptAt  time.Time
}

// NewLedger returns a ledger with empty buckets. It uses limits and terms each time.
func NewLedger(limits Limits, terms Terms) *Ledger {
	return &Ledger{
		limits: limits, terms: terms,
		members: make(map[mangomodel.DaemonID]*member), buckets: make(map[mangomodel.WorkspaceID]*bucket),
	}
}

// Renew records the report of a daemon and returns its loans. Reports of earlier
// incarnations and sessions get a reply without effect.
func (l *Ledger) Renew(h mangomodel.Holder, r Report, now time.Time) Loans {
	l.sweep(now)
	if !l.known && l.terms.Complete(len(l.members)) {
		l.known = true
		for _, m := range l.members {
			m.seated = true
		}
	}
	m, ok := l.member(h, r, now)
	if !ok {
		return Loans{}
	}
	m.renewed, m.leaving, m.divisor = now, r.Leaving, max(r.Divisor, 1)
	for _, s := range m.replies {
		if s.number == r.Ack && r.Ack > 0 && s.at.After(m.confirmed) {
			m.confirmed = s.at
		}
	}
	l.updateShare(now)
	reply := Loans{Session: m.session, Daemons: l.daemons(), Known: l.known, Loans: make(map[mangomodel.WorkspaceID]Loan, len(r.Usages))}
	for id, u := range r.Usages {
		if x, ok := l.renewLoan(m, id, u, now); ok {
			reply.Loans[id] = x
		}
	}
	l.number++
	reply.Number = l.number
	m.replies[m.replied%replyRing] = sent{l.number, now}
	m.replied++
	// The daemon may use the smaller divisor from now on.
	m.divisor = min(m.divisor, reply.Daemons)
	return reply
}

// member returns the record of a daemon's session, which replaces that of earlier ones.
func (l *Ledger) member(h mangomodel.Holder, r Report, now time.Time) (*member, bool) {
	m, ok := l.members[h.Daemon]
	switch {
	case !ok:
		m = &member{holder: h, session: r.Session, seated: l.known && l.unknown() == 0, loans: make(map[mangomodel.WorkspaceID]*loan)}
		l.members[h.Daemon] = m
	case h.Incarnation < m.holder.Incarnation || h == m.holder && r.Session < m.session:
		return nil, false
	case h != m.holder || r.Session > m.session:
		l.writeOff(m, now)
		*m = member{holder: h, session: r.Session, seated: m.seated, loans: make(map[mangomodel.WorkspaceID]*loan)}
	}
	if r.Foreign > 0 {
		if held := now.Add(TTL - r.Foreign); held.After(m.held) {
			m.held = held
		}
		if r.Known {
			m.seated, l.known = true, true
		}
		if r.Known && r.Divisor >= l.foreign {
			l.foreign, l.foreignAt = r.Divisor, now
		}
	}
	return m, true
}

// renewLoan settles what a daemon reports of a workspace, and lends what it expects.
func (l *Ledger) renewLoan(m *member, id mangomodel.WorkspaceID, u Usage, now time.Time) (Loan, bool) {
	limit, ok := l.limits.Limit(id)
	if !ok {
		return Loan{}, false
	}
	b := l.bucket(id, limit, now)
	x, ok := m.loans[id]
	if !ok {
		// What was settled and refunded before isn't known any more, and counts as known.
		x = &loan{Loan: Loan{Lent: u.Settled, Settled: u.Settled}, returned: u.Returned, refunded: u.Refunded}
		m.loans[id] = x
	}
	x.at = now
	settled := max(min(u.Settled, x.Lent)-x.Settled, 0)
	returned := min(max(u.Returned-x.returned, 0), settled)
	refunded := max(u.Refunded-x.refunded, 0)
	x.Settled += settled
	x.returned, x.refunded = max(x.returned, u.Returned), max(x.refunded, u.Refunded)
	b.lent = max(b.lent-settled, 0)
	b.add(returned+refunded, limit)
	x.Lent += b.ahead(u.Expected-(x.Lent-x.Settled), limit)
	return x.Loan, true
}

// Ask grants the costs of calls that wait at a daemon, each as a whole.
func (l *Ledger) Ask(a Ask, now time.Time) Answer {
	answer := Answer{Workspace: a.Workspace, Waits: make([]time.Duration, len(a.Costs))}
	limit, ok := l.limits.Limit(a.Workspace)
	if !ok {
		// The daemon has a newer configuration, or an older one.
		for i := range answer.Waits {
			answer.Waits[i] = interval
		}
		return answer
	}
	l.updateShare(now)
	b := l.bucket(a.Workspace, limit, now)
	for i, cost := range a.Costs {
		if !b.take(cost, limit) {
			answer.Waits[i] = b.wait(cost, limit, now)
		}
	}
	answer.Used = min(max(limit.Burst-b.level, 0), limit.Burst)
	return answer
}

// bucket returns the filled bucket of a workspace, which is empty at first.
func (l *Ledger) bucket(id mangomodel.WorkspaceID, limit mangoworkspace.Limit, now time.Time) *bucket {
	b, ok := l.buckets[id]
	if !ok {
		b = &bucket{at: now}
		l.buckets[id] = b
	}
	b.fill(limit, l.share, now)
	return b
}

// unknown returns how many daemons another accountant counted that this one doesn't know.
func (l *Ledger) unknown() int {
	n := l.foreign
	if n == 0 {
		return 0
	}
	for _, m := range l.members {
		if m.seated {
			n--
		}
	}
	return max(n, 0)
}

// daemons returns how many daemons share the limits.
func (l *Ledger) daemons() int {
	n := max(len(l.members)+l.unknown(), 1)
	if !l.known {
		n = max(n, Assumed)
	}
	return n
}

// updateShare computes which part of the limits this ledger may lend: what remains beside
// the shares of the daemons that don't confirm its replies.
func (l *Ledger) updateShare(now time.Time) {
	if d := now.Sub(l.sharedAt); d >= 0 && d < shareAge {
		return
	}
	l.sharedAt = now
	n := l.daemons()
	unknown := l.unknown()
	share := 1 - float64(max(n-len(l.members)-unknown, 0))/float64(n)
	if unknown > 0 {
		share -= float64(unknown) / float64(l.foreign)
	}
	for _, m := range l.members {
		if !m.present(now) {
			// Others that were told the number of daemons count it as one of these.
			share -= 1 / float64(min(m.divisor, n))
		}
	}
	if share > majority+rounding {
		share = min(share+l.terms.Tolerance(), 1)
	}
	next := mangoworkspace.Amount(max(share, 0))
	if next == l.share {
		return
	}
	// Buckets that are not used must not keep the capacity of an earlier share.
	l.share = next
	for id, b := range l.buckets {
		if limit, ok := l.limits.Limit(id); ok {
			b.fill(limit, next, now)
		}
	}
}

// Share returns the part of the limits that the ledger lends.
func (l *Ledger) Share(now time.Time) float64 {
	l.updateShare(now)
	return float64(l.share)
}

// sweep counts expired loans as spent, and forgets daemons that have left or haven't
// renewed for long.
func (l *Ledger) sweep(now time.Time) {
	if d := now.Sub(l.sweptAt); d >= 0 && d < sweepInterval {
		return
	}
	l.sweptAt = now
	if l.foreign > 0 && now.Sub(l.foreignAt) > retention {
		l.foreign = 0
	}
	for id, m := range l.members {
		if now.Sub(m.renewed) >= TTL && m.leaving || now.Sub(m.renewed) > retention {
			l.writeOff(m, now)
			delete(l.members, id)
			if m.seated && l.foreign > 0 {
				l.foreign--
			}
			continue
		}
		for ws, x := range m.loans {
			age := now.Sub(x.at)
			if age >= TTL {
				l.settle(ws, x, now)
			}
			if age >= idleTime {
				delete(m.loans, ws)
			}
		}
	}
	// The bucket of a workspace without calls fills too.
	for ws := range l.limits.Limited() {
		if _, ok := l.buckets[ws]; !ok {
			l.buckets[ws] = &bucket{at: now}
		}
	}
	for ws := range l.buckets {
		if _, ok := l.limits.Limit(ws); !ok {
			delete(l.buckets, ws)
		}
	}
}

// writeOff counts all loans of a daemon as spent.
func (l *Ledger) writeOff(m *member, now time.Time) {
	for ws, x := range m.loans {
		l.settle(ws, x, now)
	}
}

// settle counts what is left of a loan as spent.
func (l *Ledger) settle(ws mangomodel.WorkspaceID, x *loan, now time.Time) {
	left := x.Lent - x.Settled
	x.Settled = x.Lent
	if b, ok := l.buckets[ws]; ok && left > 0 {
		// What the rate yielded before had to fit beside the loan.
		if limit, ok := l.limits.Limit(ws); ok {
			b.fill(limit, l.share, now)
		}
		b.lent = max(b.lent-left, 0)
	}
}
