package mangoshard

import (
	"time"

	"mangolane/core/mangomodel"
)

// buildTTL is how long the build in a load report is used. A scheduler that gets no
// reports, as one that does not own the shard, must not refuse by what it knew before.
const buildTTL = 5 * time.Second

// mayContinue reports whether a server may get a demand that is bound to a build. Any
// server may prefill. One whose build is not known may get it too: chunks state their
// build.
func (sv *Server) mayContinue(now time.Time, d *mangomodel.Demand) bool {
	return !d.Bound || sv.Host.Role != mangomodel.RoleDecode || sv.Build == d.Build || now.Sub(sv.ReportedAt) >= buildTTL
}

// LacksBuild reports whether a demand is bound to a build of which no decode server
// accepts new requests while it is up, while servers of another build do.
func (sh *Shard) LacksBuild(now time.Time, d *mangomodel.Demand) bool {
	others := false
	for _, sv := range sh.Servers {
		if sv.Host.Role != mangomodel.RoleDecode || !sv.accepts() {
			continue
		}
		if sv.mayContinue(now, d) {
			return false
		}
		others = true
	}
	return others
}

// hasOtherBuild reports whether some decode servers have another build than the one that
// a demand is bound to.
func (sh *Shard) hasOtherBuild(now time.Time, d *mangomodel.Demand) bool {
	for _, sv := range sh.Servers {
		if !sv.mayContinue(now, d) {
			return true
		}
	}
	return false
}

// Builds counts the decode servers of each reported build that accept new requests. It
// returns nil if none states its build.
func (sh *Shard) Builds() map[mangomodel.Build]int {
	var counts map[mangomodel.Build]int
	unstated := 0
	for _, sv := range sh.Servers {
		switch {
		case sv.Host.Role != mangomodel.RoleDecode || !sv.Usable() || sv.ReportedAt.IsZero():
		case sv.Build == "":
			unstated++
		default:
			if counts == nil {
				counts = make(map[mangomodel.Build]int)
			}
			counts[sv.Build]++
		}
	}
	if counts != nil && unstated > 0 {
		counts[""] = unstated
	}
	return counts
}

// CannotResume returns the fault of a demand whose build no server has.
func CannotResume(id mangomodel.ShardID, build mangomodel.Build) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, PeerOf(id), mangomodel.CodeCannotResume, mangomodel.RunNot,
		"no decode server has the build %q that began the response", build)
}
