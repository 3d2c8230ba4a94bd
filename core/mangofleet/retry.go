package mangofleet

import (
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// SetAllowances sets how many retries this daemon may make.
type SetAllowances struct {
	Allowances mangobudget.Allowances
	// From is the daemon that has counted the retries.
	From mangomodel.DaemonID
}

// Apply implements [Command].
func (c SetAllowances) Apply(s *state, now time.Time) error {
	s.retries.SetAllowances(c.Allowances, c.From, now)
	return nil
}

// TakeRetry takes one retry from a service's budget. It fails if the budget is
// used up.
type TakeRetry struct{ Service mangotraffic.ServiceName }

// Apply implements [Command].
func (c TakeRetry) Apply(s *state, now time.Time) error {
	if !s.retries.Budget(c.Service).Take(now, s.daemonCount()) {
		return refused(mangomodel.CodeOverloaded, "the retry budget of %s is used up", c.Service)
	}
	return nil
}

// RefundRetry returns a retry that was taken from the budget and not used.
type RefundRetry struct{ Service mangotraffic.ServiceName }

// Apply implements [Command].
func (c RefundRetry) Apply(s *state, now time.Time) error {
	s.retries.Budget(c.Service).Refund(now)
	return nil
}

// daemonCount returns how many daemons share the retry budgets. All recorded ones
// count, since one that does not respond may still use its share.
func (s *state) daemonCount() int { return max(1+s.roster.Len(), s.self.MinDaemons) }
