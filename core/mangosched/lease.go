package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// HolderLease is how long a holder's grants last without a renewal.
	HolderLease = 6 * time.Second
	// adoptGrace is how long a grant that its holder does not list in a
	// renewal is kept, since the renewal may have been composed before the
	// grant.
	adoptGrace = 5 * time.Second
)

// Renew records that a holder is alive and which grants it holds. Grants of
// the holder that it no longer lists are ended.
func (s *Scheduler) Renew(now time.Time, holder mangomodel.Holder, lists []mangomodel.ShardGrants) {
	s.holders[holder] = now
	listed := make(map[uint64]bool)
	for _, list := range lists {
		for _, n := range list.Numbers {
			listed[n] = true
		}
	}
	for id, h := range s.grants {
		if id.Holder == holder && !listed[id.Number] && now.Sub(h.since) > adoptGrace {
			s.end(h)
		}
	}
	s.dispatchAll(now)
}

// Adopt takes over grants that another scheduler gave, such as those of a
// predecessor.
func (s *Scheduler) Adopt(now time.Time, grants []mangomodel.Grant) {
	for _, g := range grants {
		s.holders[g.ID.Holder] = now
		s.adopt(now, g)
	}
}

// HolderLost ends every grant of a daemon life that is over and cancels its
// sequences on the engines.
func (s *Scheduler) HolderLost(now time.Time, holder mangomodel.Holder) {
	delete(s.holders, holder)
	for _, h := range s.grants {
		if h.grant.ID.Holder != holder {
			continue
		}
		s.effects = append(s.effects,
			Cancel{Server: h.grant.Prefill, Sequence: h.grant.Sequence},
			Cancel{Server: h.grant.Decode, Sequence: h.grant.Sequence})
		s.end(h)
	}
	for id, w := range s.waiting {
		if id.Holder == holder {
			w.Left = true
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
	s.take(&held{grant: g, since: now, shard: s.shard(g.Shard)})
}
