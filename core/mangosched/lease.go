package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// HolderLease is how long a holder's grants stay valid without a renewal.
	HolderLease = 6 * time.Second
	// unlistedGrace is the age up to which a grant missing from its holder's
	// renewal is kept, since the holder may have composed the renewal before
	// the grant was issued or adopted.
	unlistedGrace = 5 * time.Second
)

// Renew extends the lease of a holder and ends the holder's grants that lists
// no longer contains, once they are older than unlistedGrace.
func (s *Scheduler) Renew(now time.Time, holder mangomodel.Holder, lists []mangomodel.ShardGrants) {
	s.holders[holder] = now
	listed := make(map[uint64]bool)
	for _, list := range lists {
		for _, n := range list.Numbers {
			listed[n] = true
		}
	}
	for id, ag := range s.grants {
		if id.Holder == holder && !listed[id.Number] && now.Sub(ag.since) > unlistedGrace {
			s.endGrant(ag)
		}
	}
	s.dispatchAll(now)
}

// Adopt records grants that another scheduler issued, for example the previous
// owner of a shard. Grants that are already recorded or were preempted are
// skipped.
func (s *Scheduler) Adopt(now time.Time, grants []mangomodel.Grant) {
	for _, g := range grants {
		s.holders[g.ID.Holder] = now
		s.adopt(now, g)
	}
}

// EndHolder ends every grant of a daemon incarnation that has ended or whose
// lease has expired, cancels its sequences on the engines and removes its
// waiting demands.
func (s *Scheduler) EndHolder(now time.Time, holder mangomodel.Holder) {
	delete(s.holders, holder)
	for _, ag := range s.grants {
		if ag.grant.ID.Holder != holder {
			continue
		}
		s.effects = append(s.effects,
			Cancel{Server: ag.grant.Prefill, Sequence: ag.grant.Sequence},
			Cancel{Server: ag.grant.Decode, Sequence: ag.grant.Sequence})
		s.endGrant(ag)
	}
	for id, w := range s.waiting {
		if id.Holder == holder {
			w.Done = true
			delete(s.waiting, id)
		}
	}
	s.dispatchAll(now)
}

func (s *Scheduler) adopt(now time.Time, g mangomodel.Grant) {
	if _, ok := s.preempted[g.ID]; ok {
		return
	}
	if _, ok := s.grants[g.ID]; ok {
		return
	}
	s.addGrant(&activeGrant{grant: g, since: now, shard: s.shard(g.Shard)})
}
