package mangofleet

import (
	"maps"
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// takeoverTime is how long a new scheduler waits for the renewals of those who
// hold leases: a renewal interval and a round trip between regions.
const takeoverTime = 300 * time.Millisecond

// Renew names all leases that a daemon life holds.
type Renew struct {
	Holder mangomodel.Holder
	Leases []mangolease.Progress
	// Usages is what the holder has used of the retry budgets.
	Usages mangobudget.Usages
}

// Apply applies the command.
func (c Renew) Apply(s *state, now time.Time) error {
	if now.Sub(s.actedAt) > mangopool.HolderTimeout {
		s.actingSince = now
	}
	s.actedAt = now
	s.pool.Renew(c.Holder, c.Leases, now)
	s.allowances = maps.Clone(s.allowances)
	maps.DeleteFunc(s.allowances, func(h mangomodel.Holder, _ mangobudget.Allowances) bool {
		return h.Daemon == c.Holder.Daemon && h.Incarnation < c.Holder.Incarnation
	})
	s.allowances[c.Holder] = s.retries.Renew(c.Holder, c.Usages, s.daemons(), now.Sub(s.actingSince), now)
	s.changed.usage = true
	return nil
}

// acting reports whether this daemon may grant: renewals have come for long
// enough to know of the leases that others hold.
func (s *state) acting(now time.Time) bool {
	if s.roster.Len() == 0 {
		return true
	}
	return now.Sub(s.actedAt) <= mangopool.HolderTimeout && now.Sub(s.actingSince) >= takeoverTime
}

// PrefillDone says that a lease's prefill server has finished its part.
type PrefillDone struct {
	Lease mangolease.ID
	// Took is how long it took; zero if it failed.
	Took time.Duration
}

// Apply applies the command.
func (c PrefillDone) Apply(s *state, now time.Time) error {
	s.pool.PrefillDone(c.Lease, c.Took)
	s.serveQueue(now)
	return nil
}

// Observe tells what an exchange with a server showed.
type Observe struct{ Observed mangolease.Observed }

// Apply applies the command.
func (c Observe) Apply(s *state, now time.Time) error {
	s.observe(c.Observed, now)
	return nil
}

func (s *state) observe(o mangolease.Observed, now time.Time) {
	if !s.pool.Observe(o, now) {
		return
	}
	server, health := s.pool.Health(o.Server)
	s.observer.HealthChanged(server, health, now)
}

// RecordLoad says what an engine reports of itself.
type RecordLoad struct {
	Server mangomodel.ServerID
	Report mangotraffic.LoadReport
}

// Apply applies the command.
func (c RecordLoad) Apply(s *state, now time.Time) error {
	s.pool.RecordLoad(c.Server, c.Report, now)
	return nil
}

// OrderBegun says that an engine is told to change its stage.
type OrderBegun struct {
	Server mangomodel.ServerID
	To     mangotraffic.Stage
}

// Apply applies the command.
func (c OrderBegun) Apply(s *state, now time.Time) error {
	s.pool.OrderBegun(c.Server, c.To, now)
	return nil
}

// OrderFailed says that an engine was not told, or did not take the order.
type OrderFailed struct{ Server mangomodel.ServerID }

// Apply applies the command.
func (c OrderFailed) Apply(s *state, _ time.Time) error {
	s.pool.OrderFailed(c.Server)
	return nil
}
