package mangofleet

import (
	"maps"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangobudget"
	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutlier"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// takeoverTime is how long a new scheduler waits for the renewals of lease
// holders: a renewal interval and a round trip between regions.
const takeoverTime = 300 * time.Millisecond

// Renew reports all leases that an incarnation of a daemon holds.
type Renew struct {
	Holder mangomodel.Holder
	Leases []mangolease.Progress
	// Usages is the holder's use of the retry budgets.
	Usages mangobudget.Usages
	// Outcomes are the recent outcomes of the holder's calls to plain servers.
	Outcomes map[mangomodel.ServerID]mangooutlier.Counts
	// Loads are what the holder's calls showed of plain servers.
	Loads mangoload.Records
	// Backoffs are the servers that have asked the holder for time.
	Backoffs []mangobackoff.Entry
}

// Apply implements [Command].
func (c Renew) Apply(s *state, now time.Time) error {
	if now.Sub(s.lastRenewal) > mangopool.HolderTimeout {
		s.schedulerSince = now
	}
	s.lastRenewal = now
	s.pool.Renew(c.Holder, c.Leases, now)
	s.pool.RenewBackoffs(c.Holder, c.Backoffs, now)
	s.pool.SetDaemons(s.daemonCount())
	s.board.Record(c.Holder, c.Outcomes, now)
	s.ejectOutliers(now)
	// Other messages than renewals have no records.
	if s.loads != nil && len(c.Loads) > 0 {
		s.loads.Record(c.Holder.Daemon, c.Loads, now)
	}
	s.allowances = maps.Clone(s.allowances)
	maps.DeleteFunc(s.allowances, func(h mangomodel.Holder, _ mangobudget.Allowances) bool {
		return h.Daemon == c.Holder.Daemon && h.Incarnation < c.Holder.Incarnation
	})
	s.allowances[c.Holder] = s.retries.Renew(c.Holder, c.Usages, s.daemonCount(), now.Sub(s.schedulerSince), now)
	s.changed.usage = true
	return nil
}

// canGrant reports whether this daemon may lease engines: either no other daemon
// is recorded, or renewals have arrived for takeoverTime, within which all holders
// report their leases.
func (s *state) canGrant(now time.Time) bool {
	if s.roster.Len() == 0 {
		return true
	}
	return now.Sub(s.lastRenewal) <= mangopool.HolderTimeout && now.Sub(s.schedulerSince) >= takeoverTime
}

// PrefillDone records that a lease's prefill server has finished its part.
type PrefillDone struct {
	Lease mangolease.ID
	// Took is the duration of the prefill; zero if it failed.
	Took time.Duration
}

// Apply implements [Command].
func (c PrefillDone) Apply(s *state, now time.Time) error {
	s.pool.PrefillDone(c.Lease, c.Took)
	s.serveQueue(now)
	return nil
}

// Observe records an observation of an exchange with a server.
type Observe struct {
	Observation mangolease.Observation
	// Completed is the call that the server has completed, or zero.
	Completed mangomodel.Fingerprint
}

// Apply implements [Command].
func (c Observe) Apply(s *state, now time.Time) error {
	s.countOutcome(c.Observation, now)
	s.suspects.RecordCompletion(c.Completed, now)
	s.observe(c.Observation, now)
	return nil
}

func (s *state) observe(o mangolease.Observation, now time.Time) {
	if !s.pool.Observe(o, now) {
		return
	}
	server, health := s.pool.Health(o.Server)
	s.observer.HealthChanged(server, health, now)
}

// RecordLoad records the load report of an engine.
type RecordLoad struct {
	Server mangomodel.ServerID
	Report mangotraffic.LoadReport
}

// Apply implements [Command].
func (c RecordLoad) Apply(s *state, now time.Time) error {
	s.pool.RecordLoad(c.Server, c.Report, now)
	return nil
}

// OrderBegun records that an engine is being ordered to change its stage.
type OrderBegun struct {
	Server mangomodel.ServerID
	To     mangotraffic.Stage
}

// Apply implements [Command].
func (c OrderBegun) Apply(s *state, now time.Time) error {
	s.pool.OrderBegun(c.Server, c.To, now)
	return nil
}

// OrderFailed records that an order was not sent, was rejected by the engine, or
// got no response.
type OrderFailed struct {
	Server mangomodel.ServerID
	// Run is RunNot if the engine will not carry the order out.
	Run mangomodel.Run
}

// Apply implements [Command].
func (c OrderFailed) Apply(s *state, now time.Time) error {
	s.pool.OrderFailed(c.Server, c.Run, now)
	return nil
}
