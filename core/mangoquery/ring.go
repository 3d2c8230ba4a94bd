package mangoquery

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// Rendezvous choose daemons by rendezvous hashing. They are computed once for each
// change of the membership.
type Rendezvous struct {
	// schedulers are the daemons of the own data centre that own shards, and
	// contacts the reachable daemons of each other data centre.
	schedulers *rendezvous.Rendezvous
	contacts   map[mangomodel.DataCentreID]*rendezvous.Rendezvous
}

// NewRendezvous returns the Rendezvous of a daemon that knows some members.
func NewRendezvous(self mangomember.Member, members []mangomember.Member) Rendezvous {
	names := make(map[mangomodel.DataCentreID][]string)
	for _, m := range members {
		local := m.DataCentre == self.DataCentre
		if local && m.MayOwnShards() || !local && m.Reachable() {
			names[m.DataCentre] = append(names[m.DataCentre], string(m.Daemon))
		}
	}
	r := Rendezvous{contacts: make(map[mangomodel.DataCentreID]*rendezvous.Rendezvous)}
	for dc, list := range names {
		slices.Sort(list)
		ring := rendezvous.New(list, xxhash.Sum64String)
		if dc == self.DataCentre {
			r.schedulers = ring
		} else {
			r.contacts[dc] = ring
		}
	}
	return r
}

// lookup returns the daemon that a ring chooses for a key.
func (s *Snapshot) lookup(ring *rendezvous.Rendezvous, key string) (mangomember.Member, bool) {
	if ring == nil {
		return mangomember.Member{}, false
	}
	return s.Member(mangomodel.DaemonID(ring.Lookup(key)))
}
