package mangopool

import (
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// minDecoders is how many decode engines stage changes leave to each of several builds:
// a stream whose engine fails continues at another one of its build.
const minDecoders = 2

// listSpread is by how much the lists of daemons in touch may differ in age.
const listSpread = 1500 * time.Millisecond

// serviceBuild identifies a build of a service.
type serviceBuild struct {
	service mangotraffic.ServiceName
	build   mangomodel.Build
}

// recordBuilds records since when the builds of a group have been considered, and which of
// its servers are settled.
func (p *Pool) recordBuilds(g group, now time.Time) {
	for _, b := range p.members(g) {
		if b.settled {
			continue
		}
		key := serviceBuild{g.service, b.server.Build}
		since, ok := p.builds[key]
		if !ok {
			since = now
			p.builds[key] = now
		}
		b.settled = now.Sub(since) >= listSpread
	}
}

// isNew reports whether a server's build was listed so lately that other daemons may not
// know it, while servers of an earlier build are ready. Such a daemon would resume a stream
// that began there at the earlier build.
func (p *Pool) isNew(b *backend) bool {
	if b.settled || b.server.Stage == mangotraffic.StagePrefill {
		return false
	}
	return slices.ContainsFunc(p.members(group{b.server.Service, b.server.Stage}), func(other *backend) bool {
		return other.settled && other.server.State == mangotraffic.StateReady
	})
}

// forgetBuild forgets a build of which no server is listed any more.
func (p *Pool) forgetBuild(gone *mangotraffic.Server) {
	for _, b := range p.backends {
		if b.server.Service == gone.Service && b.server.Build == gone.Build {
			return
		}
	}
	delete(p.builds, serviceBuild{gone.Service, gone.Build})
}

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

// HasOtherBuild reports whether servers of another build than that of a demand run calls.
func (p *Pool) HasOtherBuild(d *mangolease.Demand) bool {
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
