package mangomember

import (
	"cmp"

	"mangolane/core/mangomodel"
)

// State is the recorded state of a daemon. Later states take precedence over
// earlier ones of the same version.
type State int

const (
	// Alive daemons respond to probes.
	Alive State = iota
	// Leaving daemons respond to probes and finish their current requests.
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
	// Version increases, within one incarnation, with each refutation and when
	// the daemon starts to leave.
	Version    uint32
	State      State
	Region     mangomodel.RegionID
	DataCentre mangomodel.DataCentreID
	Address    mangomodel.Address
}

// Holder returns the daemon incarnation that the record describes.
func (m Member) Holder() mangomodel.Holder {
	return mangomodel.Holder{Daemon: m.Daemon, Incarnation: m.Incarnation}
}

// MayOwnShards reports whether the daemon may own shards: it is recorded neither
// as leaving nor as dead. A suspect remains an owner until it is dead, so that
// one missed probe does not move its shards.
func (m Member) MayOwnShards() bool {
	return m.State == Alive || m.State == Suspect
}

// Reachable reports whether the daemon is expected to respond to calls.
func (m Member) Reachable() bool {
	return m.State == Alive || m.State == Leaving
}

// compare orders records of one daemon by precedence: the greater record is
// kept.
func (m Member) compare(other Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.Version, other.Version),
		cmp.Compare(m.State, other.State),
	)
}
