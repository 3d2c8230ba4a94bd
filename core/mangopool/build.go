package mangopool

import (
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// minDecoders is how many decode engines stage changes leave to each of several builds:
// a stream whose engine fails continues at another one of its build.
const minDecoders = 2

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

// decoderCounts counts the ready decode engines of each listed build of a service.
type decoderCounts map[mangomodel.Build]int

// decoderCounts counts the decode engines of a service by build. A build without any is
// included.
func (p *Pool) decoderCounts(name mangotraffic.ServiceName, now time.Time) decoderCounts {
	counts := make(decoderCounts)
	for _, b := range p.backends {
		if b.server.Service != name {
			continue
		}
		n := counts[b.server.Build]
		if b.staysDecoder(now) {
			n++
		}
		counts[b.server.Build] = n
	}
	return counts
}

// staysDecoder reports whether a server decodes and was not ordered to change that.
func (b *backend) staysDecoder(now time.Time) bool {
	return b.server.State == mangotraffic.StateReady && b.stage(now) == mangotraffic.StageDecode &&
		!b.mayCarryOut(mangotraffic.StagePrefill, now)
}

// allow reports whether an engine may be ordered to change its stage without its build
// losing the decode engines that its streams continue at. A single build is not
// protected: its service needs prefill engines as well.
func (c decoderCounts) allow(b *backend, to mangotraffic.Stage, now time.Time) bool {
	if to != mangotraffic.StagePrefill || len(c) < 2 {
		return true
	}
	left := c[b.server.Build]
	if b.staysDecoder(now) {
		left--
	}
	return left >= minDecoders
}
