package mangofleet

import (
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// allowanceTime is how long an allowance holds: some missed renewals.
const allowanceTime = time.Second

// Usages is what a daemon has used of each service's retry budget.
type Usages map[mangotraffic.ServiceName]mangobudget.Usage

// Allowances is how many repeats a daemon may make until the next renewal.
type Allowances map[mangotraffic.ServiceName]int

type peerUsage struct {
	usages Usages
	// allowed is what the daemon may have used since.
	allowed Allowances
	at      time.Time
}

// Allow sets how many repeats this daemon may make until the next renewal.
type Allow struct{ Allowances Allowances }

// Apply applies the command.
func (c Allow) Apply(s *state, now time.Time) error {
	for name, n := range c.Allowances {
		s.budget(name).Allow(n, now.Add(allowanceTime))
	}
	return nil
}

// TakeRetry takes one repeat from a service's budget, or fails.
type TakeRetry struct{ Service mangotraffic.ServiceName }

// Apply applies the command.
func (c TakeRetry) Apply(s *state, now time.Time) error {
	if !s.budget(c.Service).Take(now, s.daemons()) {
		return refused(mangomodel.CodeOverloaded, "the retry budget of %s is used up", c.Service)
	}
	return nil
}

// RefundRetry gives a repeat back that was not made.
type RefundRetry struct{ Service mangotraffic.ServiceName }

// Apply applies the command.
func (c RefundRetry) Apply(s *state, now time.Time) error {
	s.budget(c.Service).Refund(now)
	return nil
}

// budget returns the retry budget of a service at this daemon.
func (s *state) budget(name mangotraffic.ServiceName) *mangobudget.Budget {
	limits := s.retries()
	b, ok := s.budgets[name]
	if !ok {
		b = mangobudget.New(limits)
		s.budgets[name] = b
	}
	b.Limit(limits)
	return b
}

// daemons returns how many daemons share the budgets. All known ones count,
// since one that is silent may still use its part.
func (s *state) daemons() int { return max(1+s.roster.Len(), s.self.LeastDaemons) }

// usage returns what this daemon has used.
func (s *state) usage(now time.Time) Usages {
	u := make(Usages, len(s.budgets))
	for name, b := range s.budgets {
		u[name] = b.Usage(now)
	}
	return u
}

// allow returns what a daemon may use until its next renewal. What the others
// were allowed counts as used until they renew, so that all together never use
// more than is left; most of the rest remains for them. Lives that have ended
// count for a window. A scheduler that took over within a window does not know
// what ended lives used before, so the fixed number grows with its time.
func (s *state) allow(holder mangomodel.Holder, now time.Time) Allowances {
	limits := s.retries()
	limits.Fixed *= min(now.Sub(s.actingSince).Seconds()/limits.Window.Seconds(), 1)
	lists := make(map[mangotraffic.ServiceName][]mangobudget.Usage)
	for name, u := range s.usage(now) {
		if holder != s.self.Holder {
			u.Repeats += s.budget(name).Allowed(now)
		}
		lists[name] = append(lists[name], u)
	}
	for h, p := range s.usages {
		if now.Sub(p.at) > limits.Window {
			delete(s.usages, h)
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
		allowed[name] = part(mangobudget.Left(limits, list), s.daemons())
	}
	return allowed
}

// sharers is the share of the daemons that can use all that is left of a budget
// at once. An engine that crashes has the calls of many daemons.
const sharers = 0.25

// part returns a daemon's part of what is left of a budget, rounded up: all of
// it if it is alone, at most half of it else.
func part(left, daemons int) int {
	if daemons == 1 {
		return left
	}
	divisor := max(2, int(sharers*float64(daemons)))
	return (left + divisor - 1) / divisor
}
