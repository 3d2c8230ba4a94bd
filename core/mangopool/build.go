package mangopool

import (
	"mangolane/core/mangolease"
	"mangolane/core/mangotraffic"
)

// fits reports whether a server has the build that a demand is bound to. Any server may
// compute the KV cache: the events come from the one that generates them.
func (b *backend) fits(d *mangolease.Demand) bool {
	return !d.Bound || b.server.Stage == mangotraffic.StagePrefill || b.server.Build == d.Build
}

// LacksBuild reports whether a demand is bound to a build of which no server is ready to
// run calls, while servers of another build are.
func (p *Pool) LacksBuild(d *mangolease.Demand) bool {
	if !d.Bound {
		return false
	}
	others := false
	for _, b := range p.members(group{d.Service, runStage(d)}) {
		if b.server.State != mangotraffic.StateReady {
			continue
		}
		if b.fits(d) {
			return false
		}
		others = true
	}
	return others
}

// hasOtherBuild reports whether servers of another build than that of a demand run calls.
func (p *Pool) hasOtherBuild(d *mangolease.Demand) bool {
	for _, b := range p.members(group{d.Service, runStage(d)}) {
		if !b.fits(d) {
			return true
		}
	}
	return false
}

// runStage returns the stage of the servers that run a demand's call.
func runStage(d *mangolease.Demand) mangotraffic.Stage {
	if d.Generation == nil {
		return mangotraffic.StageNone
	}
	return mangotraffic.StageDecode
}
