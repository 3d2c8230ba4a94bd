package mangofleet

import (
	"fmt"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoreturn"
	"mangolane/core/mangoshare"
)

// WithBasicShare sets of how many grants one goes to less urgent demands while more urgent
// ones wait, where the configuration has workspaces.
func WithBasicShare(grants int) Option {
	return func(s *state) { s.shares = mangoshare.New(grants) }
}

// share ranks a new demand, and records whether its client returns as it was told.
func (s *state) share(w *waiter, now time.Time) {
	if !w.Demand.Shared() {
		return
	}
	s.rank(&w.Demand)
	w.Place.Returned = s.returns.Returned(w.Demand.Call, now)
}

// rank gives a demand the priority of the configuration that is in force here, if that is
// newer than the one of the daemon that sent the demand.
func (s *state) rank(d *mangolease.Demand) {
	if !d.Shared() || s.routing == nil || s.routing.Revision <= d.Revision {
		return
	}
	if p, ok := s.routing.Priority(d.Route, d.Workspace); ok {
		d.Priority = p
	}
	d.Revision = s.routing.Revision
}

// ranked returns a copy of a demand with its rank.
func (s *state) ranked(d mangolease.Demand) *mangolease.Demand {
	s.rank(&d)
	return &d
}

// rankAgain ranks the queued demands by a new configuration.
func (s *state) rankAgain() {
	for _, w := range s.queue {
		s.rank(&w.Demand)
	}
}

// told records when the client of a refused demand is told to return. The daemon that sent
// the demand states the same time.
func (s *state) told(w *waiter, err error, now time.Time) {
	d := &w.Demand
	if !d.Shared() || d.Standby {
		return
	}
	left := d.ClientLeft - (now.Sub(w.ArrivedAt) - d.Age)
	s.returns.Told(d.Call, mangoreturn.After(mangomodel.AsFault(err, mangomodel.StepAdmission).RetryAfter, left), now)
}

// explainShare returns a text for the log that says how a demand was ordered, or an empty
// one if it shares its service with no others.
func explainShare(w *waiter) string {
	if !w.Demand.Shared() {
		return ""
	}
	return fmt.Sprintf(", workspace %q, priority %d, ahead of its share by %.3g", w.Demand.Workspace, w.Place.Priority, w.Place.Lead)
}
