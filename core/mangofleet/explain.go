package mangofleet

import (
	"fmt"
	"slices"
	"time"

	"mangolane/core/mangotraffic"
)

// shortage counts why the servers of a stage cannot take a demand.
type shortage struct {
	listed, leaving, setAside, avoided, full int
}

// String returns the counts as text for the log.
func (x shortage) String() string {
	return fmt.Sprintf("%d listed, %d leaving, %d set aside, %d avoided, %d full", x.listed, x.leaving, x.setAside, x.avoided, x.full)
}

// explain says why a demand found no server.
func (s *state) explain(w *waiter, now time.Time) string {
	if w.demand.Generation == nil {
		return s.shortage(w, mangotraffic.StageNone, now).String()
	}
	return fmt.Sprintf("decode: %v; prefill: %v", s.shortage(w, mangotraffic.StageDecode, now), s.shortage(w, mangotraffic.StagePrefill, now))
}

func (s *state) shortage(w *waiter, stage mangotraffic.Stage, now time.Time) shortage {
	var x shortage
	for id, b := range s.backends {
		if b.server.Service != w.demand.Service || b.server.Stage != stage {
			continue
		}
		x.listed++
		switch {
		case b.server.State == mangotraffic.StateLeaving:
			x.leaving++
		case !b.usable(now):
			x.setAside++
		case slices.Contains(w.demand.Avoid, id):
			x.avoided++
		case !s.hasRoom(b, w, now):
			x.full++
		}
	}
	return x
}

// hasRoom reports whether a usable server could take the demand.
func (s *state) hasRoom(b *backend, w *waiter, now time.Time) bool {
	ok := false
	switch b.server.Stage {
	case mangotraffic.StageNone:
		_, ok = s.plainCost(b, &w.demand, now)
	case mangotraffic.StageDecode:
		_, ok = s.decodeCost(b, w, now)
	case mangotraffic.StagePrefill:
		_, ok = s.prefillCost(b, b, now)
	}
	return ok
}
