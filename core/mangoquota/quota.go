// Package mangoquota bounds what each workspace sends over all daemons together.
//
// One daemon, the accountant, keeps a token bucket for each workspace in its [Ledger].
// The others hold loans from it in their [Account]: a call takes its cost from a loan, or
// the daemon asks the accountant for the cost of the calls that wait. What is lent and not
// known to be spent or returned counts as if it were still in the bucket, so unspent loans
// never add to the burst.
//
// The rate is divided into shares, one for each daemon. A share is used by one daemon at a
// time: by the accountant that the daemon confirms, until [TTL] after the reply that it
// confirmed, and afterwards by the daemon itself or by the next accountant. Two accountants
// and the daemons that reach none therefore stay within the rate together.
//
// The package is designed for 410 daemons and 260 workspaces with 29,000 to 430,000 tokens a
// second, of which a generation costs 5,000 to 11,000. A loan rarely covers such a call, so
// most of them ask. Loans serve workspaces of which a daemon gets several calls within a
// renewal interval. Rate limiters of libraries can't be used, since none of them
// subtracts from its capacity what is lent.
//
// # Usage
//
//	ledger := mangoquota.NewLedger(limits, terms)
//	account := mangoquota.NewAccount(limits, firstDivisor, now)
//	report := account.Report(accountant, now)
//	loans := ledger.Renew(holder, report, now)
//	account.SetLoans(loans, sentAt, now)
//	switch d := account.Take(workspace, cost, now); d.Verdict {
//	case mangoquota.VerdictAsk:
//		answer := ledger.Ask(workspace, []mangoworkspace.Amount{cost}, now)
//		...
//	}
package mangoquota

import (
	"fmt"
	"iter"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

const (
	// TTL is how long a loan, and the confirmation of a daemon's share, is valid: some
	// missed renewals.
	TTL = time.Second
	// AskTime is how long a call waits for the accountant's answer: some round trips
	// between regions. What an answer grants later isn't used, so that no window contains
	// more than AskTime of what was granted before it.
	AskTime = 150 * time.Millisecond
	// MaxCosts is the largest number of calls in one ask.
	MaxCosts = 64
	// Assumed is the least number of daemons while it isn't known. A daemon that starts
	// behind a partition must not lend the whole rate.
	Assumed = 64
	// retention is how long a daemon that doesn't renew keeps its share.
	retention = 10 * time.Minute
	// interval is the time between two renewals, which a loan covers.
	interval = 250 * time.Millisecond
	// recent is how long after its last call a report mentions a workspace.
	recent = 2 * time.Second
)

// Number numbers the replies of a ledger.
type Number uint64

// Session numbers the accountants that an account has had.
type Session uint64

// Limits are the limits of the active configuration.
type Limits interface {
	// Limit returns the limit of a workspace; false if it has none.
	Limit(id mangomodel.WorkspaceID) (mangoworkspace.Limit, bool)
	// Limited yields the workspaces that have a limit.
	Limited() iter.Seq[mangomodel.WorkspaceID]
}

// Terms are what a ledger depends on besides the limits.
type Terms interface {
	// Tolerance is the share of the rate that may be lent in addition to the shares of the
	// daemons that are present.
	Tolerance() float64
	// Complete reports whether a number of daemons are all that should be there: all that
	// the deployment names, and all that have been seen. Until then a ledger that nobody
	// has told the number of daemons assumes at least [Assumed].
	Complete(daemons int) bool
}

// Report is what a daemon has used of its loans. Its figures are cumulative within a
// session, so a lost or repeated report changes nothing.
type Report struct {
	Session Session
	// Ack is the newest reply that the daemon has received in this session.
	Ack Number
	// Divisor is by how much the daemon divides the limits if it reaches no accountant.
	Divisor int
	// Known is set if Divisor was told by an accountant that knew all daemons.
	Known bool
	// Foreign is the time since the daemon last received a reply from another accountant,
	// which told it Divisor; zero if there was none, or if this accountant has replied.
	Foreign time.Duration
	// Leaving is set if the daemon drains.
	Leaving bool
	Usages  map[mangomodel.WorkspaceID]Usage
}

// Usage is what a daemon has used of the loans of one workspace.
type Usage struct {
	// Settled is what it no longer holds, of which Returned is unspent.
	Settled, Returned mangoworkspace.Amount
	// Refunded is the cost of calls that were charged and didn't run.
	Refunded mangoworkspace.Amount
	// Expected is the cost of the calls until the next renewal.
	Expected mangoworkspace.Amount
}

// Loans is a ledger's reply to a report. The zero value has no effect.
type Loans struct {
	Session Session
	Number  Number
	// Daemons is by how much a daemon that reaches no accountant divides the limits.
	Daemons int
	// Known is set if the accountant knew all daemons.
	Known bool
	Loans map[mangomodel.WorkspaceID]Loan
}

// Loan is what a daemon was lent within a session, and what of it is settled.
type Loan struct{ Lent, Settled mangoworkspace.Amount }

// Ask is a request for the costs of calls that wait at a daemon.
type Ask struct {
	Workspace mangomodel.WorkspaceID
	Costs     []mangoworkspace.Amount
}

// Answer is a ledger's answer to an [Ask].
type Answer struct {
	Workspace mangomodel.WorkspaceID
	// Waits has the time after which each call should return; zero if its cost is granted.
	Waits []time.Duration
	// Used is what is missing from the bucket.
	Used mangoworkspace.Amount
}

// Refusal is the error of a call beyond the quota of its workspace.
type Refusal struct {
	Workspace mangomodel.WorkspaceID
	Limit     mangoworkspace.Limit
	Cost      mangoworkspace.Amount
	// Used is what was missing from the burst, at the given age.
	Used mangoworkspace.Amount
	Age  time.Duration
	// After is when the call should return; zero if it can never pass.
	After time.Duration
	// Alone is set if the daemon reached no accountant.
	Alone bool
}

// Error describes the refusal and its figures.
func (r *Refusal) Error() string {
	limit := fmt.Sprintf("workspace %s may use %.0f %v/s with a burst of %.0f", r.Workspace, r.Limit.Rate, r.Limit.Unit, r.Limit.Burst)
	switch {
	case r.After == 0:
		return fmt.Sprintf("%s; the call costs %.0f, which exceeds the burst, so it can never run", limit, r.Cost)
	case r.Alone:
		return fmt.Sprintf("%s; the call costs %.0f, and no accountant is reached, so that only a part is left", limit, r.Cost)
	default:
		return fmt.Sprintf("%s; the call costs %.0f, and %.0f of the burst were used %v ago", limit, r.Cost, r.Used, r.Age.Round(time.Millisecond))
	}
}

// CostOf returns what a call costs in the unit of a limit.
func CostOf(l mangoworkspace.Limit, g *mangotraffic.Generation) mangoworkspace.Amount {
	switch {
	case l.Unit == mangoworkspace.UnitRequests:
		return 1
	case g == nil:
		return mangoworkspace.Amount(l.PlainTokens)
	default:
		return mangoworkspace.Amount(g.Prompt + g.MaxOutput)
	}
}

// seconds returns the time in which a rate yields an amount.
func seconds(n, rate mangoworkspace.Amount) time.Duration {
	return time.Duration(float64(n / rate * mangoworkspace.Amount(time.Second)))
}
