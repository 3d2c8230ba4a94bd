package mangofleet

import (
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// SetAllowances sets how many repeats this daemon may make until the next renewal.
type SetAllowances struct{ Allowances mangobudget.Allowances }

// Apply applies the command.
func (c SetAllowances) Apply(s *state, now time.Time) error {
	s.retries.SetAllowances(c.Allowances, now)
	return nil
}

// TakeRetry takes one repeat from a service's budget, or fails.
type TakeRetry struct{ Service mangotraffic.ServiceName }

// Apply applies the command.
func (c TakeRetry) Apply(s *state, now time.Time) error {
	if !s.retries.Budget(c.Service).Take(now, s.daemons()) {
		return refused(mangomodel.CodeOverloaded, "the retry budget of %s is used up", c.Service)
	}
	return nil
}

// RefundRetry gives a repeat back that was not made.
type RefundRetry struct{ Service mangotraffic.ServiceName }

// Apply applies the command.
func (c RefundRetry) Apply(s *state, now time.Time) error {
	s.retries.Budget(c.Service).Refund(now)
	return nil
}

// daemons returns how many daemons share the budgets. All known ones count,
// since one that is silent may still use its part.
func (s *state) daemons() int { return max(1+s.roster.Len(), s.self.MinDaemons) }
