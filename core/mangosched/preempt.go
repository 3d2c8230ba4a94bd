package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoshard"
)

const (
	// preemptedRetention is how long the id of a preempted grant is kept. While
	// it is kept, Adopt does not restore the grant, and a release by its holder
	// fails with CodePreempted.
	preemptedRetention = time.Minute
	// maxPreemptions is how often one request may be preempted.
	maxPreemptions = 1
)

// preempt ends basic grants above the floor to free slots for waiting urgent
// demands. It stops at the first demand that is restricted to some of the
// servers.
func (s *Scheduler) preempt(now time.Time, sh *mangoshard.Shard) {
	if !sh.Pool.Preempt {
		return
	}
	for _, w := range sh.Queue[mangomodel.RankUrgent].Ordered() {
		if sh.Restricted(now, w) || !sh.NeedsPreemption(now) {
			return
		}
		victim := s.victim(now, sh, w)
		if victim == nil {
			return
		}
		s.revoke(now, victim)
		if next, place := sh.Next(now); next == w {
			sh.Queue[mangomodel.RankUrgent].MarkServed(w)
			s.issueGrant(now, sh, w, place)
		}
	}
}

// victim returns the basic grant to preempt for a demand, or nil: the youngest
// grant on a server that then has enough KV memory for the demand. The youngest
// request has the fewest tokens to prefill again. Grants on probation and those
// of resumed requests are not preempted.
func (s *Scheduler) victim(now time.Time, sh *mangoshard.Shard, w *mangoshard.Waiter) *activeGrant {
	need := mangomodel.PiecesFor(w.Demand.Prompt+w.Demand.MaxTokens, sh.Pool.PieceTokens)
	var best *activeGrant
	for _, ag := range s.grants {
		if ag.shard != sh || ag.grant.Rank != mangomodel.RankBasic || ag.preemptions >= maxPreemptions || ag.onProbation(now) {
			continue
		}
		sv, ok := s.servers[ag.grant.Decode]
		if !ok || !sv.Usable() || sv.Pieces-ag.grant.Pieces+need > sv.Host.Pieces {
			continue
		}
		if best == nil || ag.youngerThan(best) {
			best = ag
		}
	}
	return best
}

// youngerThan orders grants by age and then by id. The choice of a victim
// therefore does not depend on map iteration order.
func (ag *activeGrant) youngerThan(other *activeGrant) bool {
	if !ag.since.Equal(other.since) {
		return ag.since.After(other.since)
	}
	return ag.grant.ID.Compare(other.grant.ID) > 0
}

// revoke ends a grant and cancels its sequence, which ends the holder's stream.
// The holder's release of the grant then fails with CodePreempted.
func (s *Scheduler) revoke(now time.Time, ag *activeGrant) {
	s.preempted[ag.grant.ID] = now
	s.effects = append(s.effects,
		Cancel{Server: ag.grant.Prefill, Sequence: ag.grant.Sequence},
		Cancel{Server: ag.grant.Decode, Sequence: ag.grant.Sequence})
	s.endGrant(ag)
}
