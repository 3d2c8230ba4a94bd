package mangofleet

import (
	"maps"
	"time"

	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
)

// WithEstimatedLoads makes the fleet choose plain servers by their estimated load, with the
// cost of a step of distance as an increase of load.
func WithEstimatedLoads(distanceCost float64) Option {
	return func(s *state) {
		s.loads = mangoload.NewBoard()
		s.pool.EstimateLoads(s.self.DataCentre, distanceCost)
	}
}

const (
	// loadsInterval is how often views determine the load records anew. It adds to the age
	// of the records, which renewals pass on within [mangopool.RenewInterval].
	loadsInterval = 25 * time.Millisecond
	// maxLoads bounds the records of a message, of about 35 bytes each. If there are more,
	// each message has others.
	maxLoads = 16
)

// LoadObserver is notified of what the daemon measures of the loads of plain servers. Its
// method runs on the control goroutine and must not block.
type LoadObserver interface {
	LoadsMeasured(m mangopool.LoadMeasures)
}

// WithLoadObserver sets the observer of loads.
func WithLoadObserver(o LoadObserver) Option { return func(s *state) { s.loadObserver = o } }

// reportMeasures passes on what was measured since the last view.
func (s *state) reportMeasures() {
	if m := s.pool.TakeMeasures(); s.loadObserver != nil && (len(m.Uneven) > 0 || m.WaitedBesideFree > 0) {
		s.loadObserver.LoadsMeasured(m)
	}
}

// publishLoads sets the load records of a view.
func (s *state) publishLoads(v, last *View, now time.Time) {
	if s.loads == nil {
		return
	}
	if last != nil && now.Sub(last.loadsAt) < loadsInterval {
		v.loads, v.sharedLoads, v.loadsAt = last.loads, last.sharedLoads, last.loadsAt
		return
	}
	v.loads, v.sharedLoads, v.loadsAt = s.pool.LoadRecords(now), s.loads.Records(now), now
}

// Loads returns what the calls of this daemon showed of the plain servers whose service a
// daemon schedules; nil if loads are not estimated.
func (v *View) Loads(scheduler mangomodel.DaemonID, now time.Time) mangoload.Records {
	return v.loadsOf(v.loads, scheduler, now)
}

// SharedLoads returns what the calls of all daemons showed of the plain servers whose
// service this daemon schedules.
func (v *View) SharedLoads(now time.Time) mangoload.Records {
	return v.loadsOf(v.sharedLoads, v.self, now)
}

func (v *View) loadsOf(list mangoload.Records, scheduler mangomodel.DaemonID, now time.Time) mangoload.Records {
	if len(list) == 0 {
		return nil
	}
	list = maps.Clone(list)
	maps.DeleteFunc(list, func(id mangomodel.ServerID, _ mangoload.Record) bool {
		m, ok := v.Scheduler(v.Listed[id].Service)
		return !ok || m.Holder.Daemon != scheduler
	})
	// The order of a map is random.
	for id := range list {
		if len(list) <= maxLoads {
			break
		}
		delete(list, id)
	}
	return list.Aged(max(now.Sub(v.loadsAt), 0))
}

// SetSharedLoads replaces what the calls of all daemons showed of some plain servers.
type SetSharedLoads struct{ Loads mangoload.Records }

// Apply implements [Command].
func (c SetSharedLoads) Apply(s *state, now time.Time) error {
	s.pool.SetSharedLoads(c.Loads, now)
	return nil
}
