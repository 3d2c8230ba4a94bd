package mangosched

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangosuspect"
)

// OrphanGrace is how long a sequence may run on an engine without a grant
// before it is cancelled.
const OrphanGrace = 8 * time.Second

// RecordLoad takes in a server's report of itself. A changed boot confirms that
// the server's process has crashed or was restarted.
func (s *Scheduler) RecordLoad(now time.Time, load mangomodel.Load) {
	sv, ok := s.servers[load.Server]
	if !ok {
		return
	}
	s.suspect.RecordBoot(now, sv.ID, load.Boot, load.At)
	sv.Down = false
	sv.Draining = load.Draining
	sv.Step.Decay()
	unclaimed := s.unclaimed(load)
	sv.Untracked = len(unclaimed)
	s.sweep(now, load.Server, unclaimed)
	s.review(now)
	s.dispatchAll(now)
}

// ServerUnreachable takes in that a server did not answer. Refused says that its
// host answered and no process listens, which confirms a crash.
func (s *Scheduler) ServerUnreachable(now time.Time, id mangomodel.ServerID, refused bool) {
	sv, ok := s.servers[id]
	if !ok {
		return
	}
	if refused {
		s.suspect.RecordRefused(now, id)
	}
	sv.Down = true
	s.review(now)
}

// unclaimed returns the sequences of a report that no grant here explains.
func (s *Scheduler) unclaimed(load mangomodel.Load) []mangomodel.Sequence {
	var unclaimed []mangomodel.Sequence
	for _, seq := range load.Running {
		if !s.claimed[seq] {
			unclaimed = append(unclaimed, seq)
		}
	}
	return unclaimed
}

// sweep cancels sequences that have stayed unclaimed for OrphanGrace. Within
// that time every live holder has renewed its grants with the shard's owner.
func (s *Scheduler) sweep(now time.Time, id mangomodel.ServerID, unclaimed []mangomodel.Sequence) {
	sv := s.servers[id]
	orphans := make(map[mangomodel.Sequence]time.Time, len(unclaimed))
	for _, seq := range unclaimed {
		first, seen := sv.Orphans[seq]
		if !seen {
			first = now
		}
		orphans[seq] = first
		if now.Sub(first) >= OrphanGrace {
			s.effects = append(s.effects, Cancel{Server: id, Sequence: seq})
		}
	}
	sv.Orphans = orphans
}

// learn updates the measured speeds and the suspicions from a usage.
func (s *Scheduler) learn(now time.Time, h *held, u mangomodel.Usage) {
	h.shard.HoldTime.Add(now.Sub(h.since).Seconds())
	if sv, ok := s.servers[h.grant.Prefill]; ok && u.PrefillTime > 0 {
		sv.Rate.Add(float64(u.PrefillTokens) / u.PrefillTime.Seconds())
	}
	if sv, ok := s.servers[h.grant.Decode]; ok && u.StepTime > 0 {
		sv.Step.Add(float64(h.boarded+sv.Occupied())/2, u.StepTime)
	}
	if sv, ok := s.servers[u.Failed]; ok {
		// Until the next report says otherwise, so that retries do not run
		// into the same server.
		sv.Down = true
		s.suspect.RecordFailure(sv.ID, mangosuspect.StreamFailure{Fingerprint: h.grant.Fingerprint, At: now, Alone: h.onProbation(now)})
		s.review(now)
		return
	}
	if u.StepTime > 0 {
		s.suspect.RecordPassed(now, h.grant.Fingerprint)
	}
}

// Status returns what is shown of each shard.
func (s *Scheduler) Status() []mangoquery.ShardStatus {
	list := make([]mangoquery.ShardStatus, 0, len(s.shards))
	for id, sh := range s.shards {
		st := mangoquery.ShardStatus{Shard: id, Slots: sh.Slots(), Used: sh.Used()}
		for rank := range sh.Queue {
			st.Waiting[rank] = sh.Queue[rank].Len()
		}
		list = append(list, st)
	}
	slices.SortFunc(list, func(a, b mangoquery.ShardStatus) int {
		return cmp.Compare(a.Shard.String(), b.Shard.String())
	})
	return list
}
