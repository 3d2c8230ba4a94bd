package mangoquery

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// Rendezvous selects daemons by rendezvous hashing. It is computed once for
// each membership change.
type Rendezvous struct {
	// schedulers holds the daemons of the local data centre that may own
	// shards, and remote the reachable daemons of each other data centre.
	schedulers *rendezvous.Rendezvous
	remote     map[mangomodel.DataCentreID]*rendezvous.Rendezvous
}

// NewRendezvous returns the Rendezvous of the daemon self over members.
func NewRendezvous(self mangomember.Member, members []mangomember.Member) Rendezvous {
	names := make(map[mangomodel.DataCentreID][]string)
	for _, m := range members {
		local := m.DataCentre == self.DataCentre
		if local && m.MayOwnShards() || !local && m.Reachable() {
			names[m.DataCentre] = append(names[m.DataCentre], string(m.Daemon))
		}
	}
	r := Rendezvous{remote: make(map[mangomodel.DataCentreID]*rendezvous.Rendezvous)}
	for dc, list := range names {
		slices.Sort(list)
		nodes := rendezvous.New(list, xxhash.Sum64String)
		if dc == self.DataCentre {
			r.schedulers = nodes
		} else {
			r.remote[dc] = nodes
		}
	}
	return r
}

// lookup returns the record of the daemon that nodes selects for a key. It
// reports false if nodes is nil or the daemon has no record.
func (s *Snapshot) lookup(nodes *rendezvous.Rendezvous, key string) (mangomember.Member, bool) {
	if nodes == nil {
		return mangomember.Member{}, false
	}
	return s.Member(mangomodel.DaemonID(nodes.Lookup(key)))
}
