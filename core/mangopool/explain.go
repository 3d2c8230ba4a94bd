package mangopool

import (
	"fmt"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangotraffic"
)

// shortage counts the reasons why the servers of a stage cannot take a demand.
type shortage struct {
	listed, leaving, otherBuild, unusable, backoff, avoided, full int
}

// String returns the counts as text for the log. "Set aside" counts the servers
// that are not leaving and get no new work for now: they are ejected, had no room
// within the last [FullBackoff], were ordered to change stage, are the first of their
// build and were listed just now, or are held for streams that began at their build.
// "Backing off" counts those that have asked the demand's daemon for time, and "of another
// build" those at which the stream of the demand cannot continue.
func (x shortage) String() string {
	return fmt.Sprintf("%d listed, %d leaving, %d of another build, %d set aside, %d backing off, %d avoided, %d full",
		x.listed, x.leaving, x.otherBuild, x.unusable, x.backoff, x.avoided, x.full)
}

// Explain returns a text that says why a demand found no server.
func (p *Pool) Explain(pending *mangolease.PendingDemand, now time.Time) string {
	if pending.Demand.Generation == nil {
		return p.shortage(pending, mangotraffic.StageNone, now).String()
	}
	return fmt.Sprintf("decode: %v; prefill: %v", p.shortage(pending, mangotraffic.StageDecode, now), p.shortage(pending, mangotraffic.StagePrefill, now))
}

func (p *Pool) shortage(pending *mangolease.PendingDemand, stage mangotraffic.Stage, now time.Time) shortage {
	var x shortage
	for _, b := range p.members(group{pending.Demand.Service, stage}) {
		x.listed++
		switch {
		case b.server.State == mangotraffic.StateLeaving:
			x.leaving++
		case !b.fits(&pending.Demand):
			x.otherBuild++
		case !b.usable(now), !pending.Demand.Bound && p.isNew(b), p.isHeld(b, now) && p.yields(pending, now):
			x.unusable++
		case !p.backoffs.Open(b.server.Ref(), pending.Lease.Holder, now):
			x.backoff++
		case slices.Contains(pending.Demand.Avoid, b.server.ID):
			x.avoided++
		case !p.hasRoom(b, pending, now):
			x.full++
		}
	}
	return x
}

// hasRoom reports whether a usable server has room for the demand.
func (p *Pool) hasRoom(b *backend, pending *mangolease.PendingDemand, now time.Time) bool {
	ok := false
	switch b.server.Stage {
	case mangotraffic.StageNone:
		_, ok = p.plainCost(b, &pending.Demand, now)
	case mangotraffic.StageDecode:
		_, ok = p.decodeCost(b, pending, now)
	case mangotraffic.StagePrefill:
		_, ok = p.prefillCost(b, b, now)
	}
	return ok
}
