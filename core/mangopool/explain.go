package mangopool

import (
	"fmt"
	"slices"
	"time"

	"mangolane/core/mangolease"
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

// Explain says why a demand found no server.
func (p *Pool) Explain(a *mangolease.PendingDemand, now time.Time) string {
	if a.Demand.Generation == nil {
		return p.shortage(a, mangotraffic.StageNone, now).String()
	}
	return fmt.Sprintf("decode: %v; prefill: %v", p.shortage(a, mangotraffic.StageDecode, now), p.shortage(a, mangotraffic.StagePrefill, now))
}

func (p *Pool) shortage(a *mangolease.PendingDemand, stage mangotraffic.Stage, now time.Time) shortage {
	var x shortage
	for _, b := range p.members(group{a.Demand.Service, stage}) {
		x.listed++
		switch {
		case b.server.State == mangotraffic.StateLeaving:
			x.leaving++
		case !b.usable(now):
			x.setAside++
		case slices.Contains(a.Demand.Avoid, b.server.ID):
			x.avoided++
		case !p.hasRoom(b, a, now):
			x.full++
		}
	}
	return x
}

// hasRoom reports whether a usable server could take the demand.
func (p *Pool) hasRoom(b *backend, a *mangolease.PendingDemand, now time.Time) bool {
	ok := false
	switch b.server.Stage {
	case mangotraffic.StageNone:
		_, ok = p.plainCost(b, &a.Demand, now)
	case mangotraffic.StageDecode:
		_, ok = p.decodeCost(b, a, now)
	case mangotraffic.StagePrefill:
		_, ok = p.prefillCost(b, b, now)
	}
	return ok
}
