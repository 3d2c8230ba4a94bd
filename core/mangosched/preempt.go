package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoshard"
)

const (
	// preemptedMemory is how long a preempted grant is remembered, so that a
	// renewal does not bring it back and its holder learns why it ended.
	preemptedMemory = time.Minute
	// preemptTimes bounds how often one request is preempted.
	preemptTimes = 1
)

// preempt makes room for urgent demands that wait and find no slot, by ending
// basic grants above the floor.
func (s *Scheduler) preempt(now time.Time, sh *mangoshard.Shard) {
	if !sh.Pool.Preempt {
		return
	}
	for _, w := range sh.Queue[mangomodel.RankUrgent].Ordered() {
		if w.Restricted() || !sh.NeedsPreemption(now) {
			return
		}
		victim := s.victim(now, sh, w)
		if victim == nil {
			return
		}
		s.takeBack(now, victim)
		if next, place := sh.Next(now); next == w {
			sh.Queue[mangomodel.RankUrgent].Served(w)
			s.give(now, sh, w, place)
		}
	}
}

// victim returns the basic grant to end for a demand: the youngest one, whose
// request has the least to prefill again, on a server that would then have
// room.
func (s *Scheduler) victim(now time.Time, sh *mangoshard.Shard, w *mangoshard.Waiter) *held {
	need := mangomodel.PiecesFor(w.Demand.Prompt+w.Demand.MaxTokens, sh.Pool.PieceTokens)
	var best *held
	for _, h := range s.grants {
		if h.shard != sh || h.grant.Rank != mangomodel.RankBasic || h.preemptions >= preemptTimes || h.onProbation(now) {
			continue
		}
		sv, ok := s.servers[h.grant.Decode]
		if !ok || !sv.Usable() || sv.Pieces-h.grant.Pieces+need > sv.Host.Pieces {
			continue
		}
		if best == nil || h.youngerThan(best) {
			best = h
		}
	}
	return best
}

// youngerThan orders grants by age and then by id, so that the order of the
// map does not matter.
func (h *held) youngerThan(other *held) bool {
	if !h.since.Equal(other.since) {
		return h.since.After(other.since)
	}
	return h.grant.ID.Compare(other.grant.ID) > 0
}

// takeBack ends a grant and cancels its sequence. Its holder learns of it when
// the stream ends and it releases the grant.
func (s *Scheduler) takeBack(now time.Time, h *held) {
	s.preempted[h.grant.ID] = now
	s.effects = append(s.effects,
		Cancel{Server: h.grant.Prefill, Sequence: h.grant.Sequence},
		Cancel{Server: h.grant.Decode, Sequence: h.grant.Sequence})
	s.end(h)
}
