package mangomember

import (
	"cmp"

	"mangolane/core/mangomodel"
)

// State is what is believed of a daemon. Later states take precedence over
// earlier ones of the same version.
type State int

const (
	// Alive daemons answer probes.
	Alive State = iota
	// Leaving daemons answer probes and finish what they have.
	Leaving
	// Suspect daemons have missed a probe.
	Suspect
	// Dead daemons have not refuted a suspicion in time.
	Dead
)

// Member is one record about a daemon.
type Member struct {
	Daemon      mangomodel.DaemonID
	Incarnation mangomodel.Incarnation
	// Version grows with each refutation of one incarnation.
	Version    uint32
	State      State
	Region     mangomodel.RegionID
	DataCentre mangomodel.DataCentreID
	Address    mangomodel.Address
}

// Holder returns the daemon life that the record is about.
func (m Member) Holder() mangomodel.Holder {
	return mangomodel.Holder{Daemon: m.Daemon, Incarnation: m.Incarnation}
}

// MayOwnShards reports whether the daemon may own shards: it is not leaving, and
// not known to be dead. A suspect stays an owner until it is dead, so that one
// missed probe does not move its shards.
func (m Member) MayOwnShards() bool {
	return m.State == Alive || m.State == Suspect
}

// Reachable reports whether it makes sense to call the daemon.
func (m Member) Reachable() bool {
	return m.State == Alive || m.State == Leaving
}

// compare orders records of one daemon by precedence.
func (m Member) compare(other Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.Version, other.Version),
		cmp.Compare(m.State, other.State),
	)
}
