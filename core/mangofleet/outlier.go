package mangofleet

import (
	"maps"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutlier"
	"mangolane/core/mangotraffic"
)

// Ejection is a server that gets no calls for some time. It is a duration, since the
// clocks of daemons differ.
type Ejection struct {
	Server mangomodel.ServerID
	For    time.Duration
}

// EjectServers ejects servers that another daemon has found to be outliers.
type EjectServers struct{ Ejections []Ejection }

// Apply implements [Command].
func (c EjectServers) Apply(s *state, now time.Time) error {
	for _, e := range c.Ejections {
		s.eject(e.Server, now.Add(min(e.For, mangooutlier.EjectionTime)), now)
	}
	return nil
}

// eject ejects a plain server until a time.
func (s *state) eject(id mangomodel.ServerID, until, now time.Time) {
	if s.pool.Eject(id, until, now) {
		server, health := s.pool.Health(id)
		health.Until = until
		s.observer.HealthChanged(server, health, now)
	}
}

// countOutcome counts the outcome of a call to a plain server. Schedulers see all
// calls to engines themselves.
func (s *state) countOutcome(o mangolease.Observation, now time.Time) {
	if o.Saw != mangolease.OutcomeSuccess && o.Saw != mangolease.OutcomeFailure {
		return
	}
	if server, _ := s.pool.Health(o.Server); server.Stage == mangotraffic.StageNone {
		s.outcomes.Add(o.Server, o.Saw == mangolease.OutcomeFailure, now)
		s.changed.outcomes = true
	}
}

// outlierInterval is how often a scheduler looks for outliers. Each look adds up the
// reports of all daemons, of which hundreds arrive in that time.
const outlierInterval = 250 * time.Millisecond

// ejectOutliers ejects the outliers among the plain servers of all services, as far as
// the reports of the daemons show them to this one.
func (s *state) ejectOutliers(now time.Time) {
	if now.Sub(s.outliersAt) < outlierInterval {
		return
	}
	s.outliersAt = now
	maps.DeleteFunc(s.ejected, func(_ mangomodel.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, servers := range s.pool.PlainServers() {
		for _, id := range s.board.Outliers(servers, now) {
			if _, ok := s.ejected[id]; !ok {
				s.ejected[id] = now.Add(mangooutlier.EjectionTime)
				s.eject(id, s.ejected[id], now)
			}
		}
	}
}

// ejections returns the servers that this daemon has ejected as outliers.
func (s *state) ejections(now time.Time) []Ejection {
	var list []Ejection
	for id, until := range s.ejected {
		if now.Before(until) {
			list = append(list, Ejection{Server: id, For: until.Sub(now)})
		}
	}
	return list
}
