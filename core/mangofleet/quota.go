package mangofleet

import (
	"hash/maphash"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoquota"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// quotaSpread is the part of a wait by which the returns of refused clients are staggered.
const quotaSpread = 0.25

// maxQuotaWaiters limits the calls that wait for the accountant's answer.
const maxQuotaWaiters = maxQueue

// QuotaObserver is notified of decisions about quotas, on the control goroutine.
type QuotaObserver interface {
	// QuotaRefused is called when a call is refused.
	QuotaRefused(r *mangoquota.Refusal)
	// QuotaAsked is called when the accountant is asked for a number of calls.
	QuotaAsked(calls int)
	// QuotaWaited is called when a call has waited for the accountant's answer.
	QuotaWaited(took time.Duration)
}

// WithQuotaTolerance sets the share of the limits that an accountant may lend beside the
// shares of the daemons that are present. It is called for each use.
func WithQuotaTolerance(tolerance func() mangomodel.Share) Option {
	return func(s *state) { s.quota.tolerance = tolerance }
}

// WithBurstExtension sets by how much more than its burst a workspace may use at once. It
// is called for each use.
func WithBurstExtension(extension func() mangoworkspace.Amount) Option {
	return func(s *state) { s.quota.extension = extension }
}

// QuotaAskNumber numbers the asks of a daemon.
type QuotaAskNumber uint64

// QuotaAsk is a daemon's request for the costs of the calls that wait there.
type QuotaAsk struct {
	Holder mangomodel.Holder
	Number QuotaAskNumber
	Asks   []mangoquota.Ask
}

// QuotaReply is what an accountant has replied to a daemon: to its last report, and to its
// last ask.
type QuotaReply struct {
	Loans   *mangoquota.Loans
	Number  QuotaAskNumber
	Answers []mangoquota.Answer
}

// quotaHolder is the key of the replies to a daemon's incarnation.
type quotaHolder mangomodel.Holder

// quotaSeed is the seed of the hashes of keys, which stay in this process.
var quotaSeed = maphash.MakeSeed()

// Hash implements [mangoquery.Key].
func (h quotaHolder) Hash() uint64 { return maphash.Comparable(quotaSeed, h) }

// quotaWaiter is a call that waits for the accountant's answer.
type quotaWaiter struct {
	workspace mangomodel.WorkspaceID
	cost      mangoworkspace.Amount
	since     time.Time
	reply     mangoloop.Reply
	// asked is set once the call is part of an ask.
	asked bool
}

// quotas is the part of the control state that concerns quotas.
type quotas struct {
	tolerance func() mangomodel.Share
	extension func() mangoworkspace.Amount
	account   *mangoquota.Account
	ledger    *mangoquota.Ledger
	waiters   []*quotaWaiter
	// ask is the ask in flight, or nil. asked counts all asks.
	ask   *QuotaAsk
	asked QuotaAskNumber
	// report is the last report of this daemon, or nil without limits.
	report *mangoquota.Report
	// replies has the last reply to each daemon, and holders their incarnations.
	replies mangoquery.Index[quotaHolder, QuotaReply]
	holders map[mangomodel.DaemonID]mangomodel.Holder
	// wanted is signalled when calls wait that are not part of an ask.
	wanted chan struct{}
}

// newQuotas returns the quotas of a state that has its other parts.
func newQuotas(s *state) quotas {
	first := 1
	if slices.ContainsFunc(s.self.Seeds, func(a mangomodel.Address) bool { return a != s.self.Address }) {
		first = mangoquota.Assumed
	}
	return quotas{
		tolerance: func() mangomodel.Share { return 0 },
		extension: func() mangoworkspace.Amount { return 0 },
		account:   mangoquota.NewAccount(quotaLimits{s}, first, time.Now()),
		ledger:    mangoquota.NewLedger(quotaLimits{s}, quotaTerms{s}),
		holders:   make(map[mangomodel.DaemonID]mangomodel.Holder),
		wanted:    make(chan struct{}, 1),
	}
}

// quotaTerms is what the ledger depends on.
type quotaTerms struct{ *state }

// Tolerance implements [mangoquota.Terms].
func (t quotaTerms) Tolerance() float64 { return float64(t.quota.tolerance()) }

// Complete implements [mangoquota.Terms].
func (t quotaTerms) Complete(daemons int) bool {
	return daemons >= 1+t.roster.Len() && !slices.ContainsFunc(t.self.Seeds, func(a mangomodel.Address) bool {
		return a != t.self.Address && !t.roster.Has(a)
	})
}

// quotaLimits are the limits of the active configuration, with extended bursts.
type quotaLimits struct{ *state }

// Limit implements [mangoquota.Limits].
func (l quotaLimits) Limit(id mangomodel.WorkspaceID) (mangoworkspace.Limit, bool) {
	if l.routing == nil || l.routing.Workspaces == nil {
		return mangoworkspace.Limit{}, false
	}
	w, ok := l.routing.Workspaces.ByID(id)
	if !ok || !w.Limit.Bounded() {
		return mangoworkspace.Limit{}, false
	}
	limit := w.Limit
	limit.Burst += l.quota.extension()
	return limit, true
}

// Limited implements [mangoquota.Limits].
func (l quotaLimits) Limited() iter.Seq[mangomodel.WorkspaceID] {
	return func(yield func(mangomodel.WorkspaceID) bool) {
		if l.routing == nil || l.routing.Workspaces == nil {
			return
		}
		for _, w := range l.routing.Workspaces.All() {
			if w.Limit.Bounded() && !yield(w.ID) {
				return
			}
		}
	}
}

// limited reports whether the active configuration limits any workspace.
func (s *state) limited() bool {
	for range (quotaLimits{s}).Limited() {
		return true
	}
	return false
}

// TakeQuota takes the cost of a call from the allowance of its workspace. [Fleet.Do]
// returns nil once the call may run, after [mangoquota.AskTime] at most, and a fault with
// [mangomodel.CodeQuotaExceeded] otherwise.
type TakeQuota struct {
	Workspace mangomodel.WorkspaceID
	// Generation is nil for a call that doesn't state its tokens.
	Generation *mangotraffic.Generation
}

// Await keeps the reply until the call may run or is refused.
func (c TakeQuota) Await(s *state, r mangoloop.Reply) {
	s.quota.waiters = append(s.quota.waiters, &quotaWaiter{workspace: c.Workspace, since: time.Now(), reply: r})
}

// Apply decides about the call, or leaves it among those that wait.
func (c TakeQuota) Apply(s *state, now time.Time) error {
	w := s.quota.waiters[len(s.quota.waiters)-1]
	limit, ok := (quotaLimits{s}).Limit(c.Workspace)
	if ok {
		w.cost = mangoquota.CostOf(limit, c.Generation)
		d := s.quota.account.Take(c.Workspace, w.cost, now)
		if d.Verdict == mangoquota.VerdictAsk && len(s.quota.waiters) <= maxQuotaWaiters {
			s.wantQuota()
			return nil
		}
		if d.Verdict == mangoquota.VerdictAsk {
			d = s.quota.account.Unanswered(c.Workspace, w.cost, now)
		}
		if d.Refusal != nil {
			s.dropQuotaWaiter(w)
			return s.quotaFault(d.Refusal)
		}
	}
	s.dropQuotaWaiter(w)
	w.reply.Send(nil)
	return nil
}

// dropQuotaWaiter removes a call from those that wait.
func (s *state) dropQuotaWaiter(w *quotaWaiter) {
	s.quota.waiters = slices.DeleteFunc(s.quota.waiters, func(x *quotaWaiter) bool { return x == w })
}

// wantQuota signals that calls wait for an ask, unless one is in flight.
func (s *state) wantQuota() {
	if s.quota.ask != nil {
		return
	}
	select {
	case s.quota.wanted <- struct{}{}:
	default:
	}
}

// quotaFault returns the fault of a refused call. The returns of clients are staggered.
func (s *state) quotaFault(r *mangoquota.Refusal) *mangomodel.Fault {
	s.observer.QuotaRefused(r)
	f := mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeQuotaExceeded, mangomodel.RunNot, r)
	f.RetryAfter = time.Duration(float64(r.After) * (1 + quotaSpread*rand.Float64()))
	return f
}

// RefundQuota returns the cost of a call that didn't run.
type RefundQuota struct {
	Workspace  mangomodel.WorkspaceID
	Generation *mangotraffic.Generation
	// ChargedAt is when the cost was taken.
	ChargedAt time.Time
}

// Apply implements [Command].
func (c RefundQuota) Apply(s *state, now time.Time) error {
	limit, ok := (quotaLimits{s}).Limit(c.Workspace)
	if ok {
		s.quota.account.Refund(c.Workspace, mangoquota.CostOf(limit, c.Generation), c.ChargedAt, now)
	}
	return nil
}

// BeginQuotaAsk makes an ask of the calls that wait, which the view then has. It has no
// effect while another ask is in flight.
type BeginQuotaAsk struct{}

// Apply implements [Command].
func (BeginQuotaAsk) Apply(s *state, _ time.Time) error {
	if s.quota.ask != nil || len(s.quota.waiters) == 0 {
		return nil
	}
	s.quota.asked++
	ask := &QuotaAsk{Holder: s.self.Holder, Number: s.quota.asked}
	index := make(map[mangomodel.WorkspaceID]int)
	calls := 0
	for _, w := range s.quota.waiters {
		i, ok := index[w.workspace]
		if !ok {
			i = len(ask.Asks)
			index[w.workspace] = i
			ask.Asks = append(ask.Asks, mangoquota.Ask{Workspace: w.workspace})
		}
		if len(ask.Asks[i].Costs) < mangoquota.MaxCosts {
			ask.Asks[i].Costs = append(ask.Asks[i].Costs, w.cost)
			w.asked = true
			calls++
		}
	}
	s.quota.ask = ask
	s.observer.QuotaAsked(calls)
	return nil
}

// QuotaAnswered applies the accountant's answers to an ask, which are nil if none arrived
// in time.
type QuotaAnswered struct {
	Number  QuotaAskNumber
	Answers []mangoquota.Answer
}

// Apply implements [Command].
func (c QuotaAnswered) Apply(s *state, now time.Time) error {
	if s.quota.ask == nil || s.quota.ask.Number != c.Number {
		return nil
	}
	s.quota.ask = nil
	next := make(map[mangomodel.WorkspaceID]int)
	kept := s.quota.waiters[:0]
	for _, w := range s.quota.waiters {
		if !w.asked {
			kept = append(kept, w)
			continue
		}
		i := next[w.workspace]
		next[w.workspace]++
		s.answerQuota(w, c.answerOf(w.workspace), i, now)
	}
	clear(s.quota.waiters[len(kept):])
	s.quota.waiters = kept
	if len(kept) > 0 {
		s.wantQuota()
	}
	return nil
}

// answerOf returns the answer about a workspace, or an empty one.
func (c QuotaAnswered) answerOf(id mangomodel.WorkspaceID) mangoquota.Answer {
	for _, a := range c.Answers {
		if a.Workspace == id {
			return a
		}
	}
	return mangoquota.Answer{}
}

// answerQuota replies to a call that was the i-th of its workspace in an ask.
func (s *state) answerQuota(w *quotaWaiter, a mangoquota.Answer, i int, now time.Time) {
	if w.reply == (mangoloop.Reply{}) {
		return
	}
	s.observer.QuotaWaited(now.Sub(w.since))
	var d mangoquota.Decision
	if i < len(a.Waits) && mangomodel.Elapsed(w.since, now) <= mangoquota.AskTime {
		d = s.quota.account.Answered(w.workspace, w.cost, a.Waits[i], a.Used, now)
	} else {
		d = s.quota.account.Unanswered(w.workspace, w.cost, now)
	}
	s.replyQuota(w, d)
}

// replyQuota replies to a call that has waited. Its place in an ask remains.
func (s *state) replyQuota(w *quotaWaiter, d mangoquota.Decision) {
	if d.Refusal != nil {
		w.reply.Send(s.quotaFault(d.Refusal))
	} else {
		w.reply.Send(nil)
	}
	w.reply = mangoloop.Reply{}
}

// expireQuotaWaiters refuses the calls that have waited for [mangoquota.AskTime].
func (s *state) expireQuotaWaiters(now time.Time) {
	kept := s.quota.waiters[:0]
	for _, w := range s.quota.waiters {
		if w.reply != (mangoloop.Reply{}) && mangomodel.Elapsed(w.since, now) >= mangoquota.AskTime {
			s.observer.QuotaWaited(now.Sub(w.since))
			s.replyQuota(w, s.quota.account.Unanswered(w.workspace, w.cost, now))
		}
		if w.asked || w.reply != (mangoloop.Reply{}) {
			kept = append(kept, w)
		}
	}
	clear(s.quota.waiters[len(kept):])
	s.quota.waiters = kept
}

// quotaDue returns when a call has waited for long enough, or the zero time.
func (s *state) quotaDue() time.Time {
	var due time.Time
	for _, w := range s.quota.waiters {
		if w.reply != (mangoloop.Reply{}) {
			due = earliest(due, w.since.Add(mangoquota.AskTime))
		}
	}
	return due
}

// ReportQuota makes this daemon's report to an accountant, which the view then has.
type ReportQuota struct{ Accountant mangomodel.Holder }

// Apply implements [Command].
func (c ReportQuota) Apply(s *state, now time.Time) error {
	s.quota.report = nil
	if s.limited() {
		r := s.quota.account.Report(c.Accountant, s.draining, now)
		s.quota.report = &r
	}
	return nil
}

// SetQuota applies an accountant's reply to a report that was sent at a time.
type SetQuota struct {
	Loans  mangoquota.Loans
	SentAt time.Time
}

// Apply implements [Command].
func (c SetQuota) Apply(s *state, now time.Time) error {
	s.quota.account.SetLoans(c.Loans, c.SentAt, now)
	return nil
}

// RenewQuota applies a daemon's report. The view then has the reply.
type RenewQuota struct {
	Holder mangomodel.Holder
	Report mangoquota.Report
}

// Apply implements [Command].
func (c RenewQuota) Apply(s *state, now time.Time) error {
	loans := s.quota.ledger.Renew(c.Holder, c.Report, now)
	if loans.Number == 0 {
		return nil
	}
	s.setQuotaReply(c.Holder, func(r *QuotaReply) { r.Loans = &loans })
	return nil
}

// GrantQuota answers a daemon's ask. The view then has the answers.
type GrantQuota struct{ Ask QuotaAsk }

// Apply implements [Command].
func (c GrantQuota) Apply(s *state, now time.Time) error {
	answers := make([]mangoquota.Answer, len(c.Ask.Asks))
	for i, a := range c.Ask.Asks {
		answers[i] = s.quota.ledger.Ask(a, now)
	}
	s.setQuotaReply(c.Ask.Holder, func(r *QuotaReply) { r.Number, r.Answers = c.Ask.Number, answers })
	return nil
}

// setQuotaReply changes the reply to a daemon, and drops that to its earlier incarnation.
func (s *state) setQuotaReply(h mangomodel.Holder, set func(r *QuotaReply)) {
	q := &s.quota
	if last, ok := q.holders[h.Daemon]; ok && last != h {
		q.replies = q.replies.Without(quotaHolder(last))
	}
	q.holders[h.Daemon] = h
	reply, _ := q.replies.Get(quotaHolder(h))
	set(&reply)
	q.replies = q.replies.With(quotaHolder(h), reply)
}
