package mangosched

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoshard"
	"mangolane/core/mangosuspect"
)

// OrphanGrace is how long an engine may report a sequence without a grant
// before the sequence is cancelled.
const OrphanGrace = 8 * time.Second

// RecordLoad records a server's load report. A changed boot confirms that the
// server's process has crashed or was restarted. Reports of servers that are
// not configured are ignored.
func (s *Scheduler) RecordLoad(now time.Time, load mangomodel.Load) {
	sv, ok := s.servers[load.Server]
	if !ok {
		return
	}
	s.crashRecords.RecordBoot(now, sv.ID, load.Boot, load.At)
	if load.Boot != sv.Boot {
		if sv.Boot != "" {
			sv.BootChanged = now
		}
		sv.Boot = load.Boot
	}
	sv.Build, sv.ReportedAt = load.Build, now
	sv.Down = false
	sv.Draining = load.Draining
	sv.StepModel.Decay()
	untracked := s.untrackedSequences(load)
	sv.Untracked = len(untracked)
	s.cancelOrphans(now, load.Server, untracked)
	s.applySuspicions(now)
	s.refuseWithoutBuild(now)
	s.dispatchAll(now)
}

// refuseWithoutBuild refuses the waiting demands whose build no server has any more.
func (s *Scheduler) refuseWithoutBuild(now time.Time) {
	for id, w := range s.waiting {
		if sh := s.shard(w.Shard); sh.LacksBuild(now, &w.Demand) {
			w.Done = true
			s.refuse(id, mangoshard.CannotResume(sh.ID, w.Demand.Build))
		}
	}
}

// ServerUnreachable records that a server did not respond. Refused is set when
// its host refused the connection because no process listens, which confirms a
// crash.
func (s *Scheduler) ServerUnreachable(now time.Time, id mangomodel.ServerID, refused bool) {
	sv, ok := s.servers[id]
	if !ok {
		return
	}
	if refused {
		s.crashRecords.RecordRefused(now, id)
	}
	sv.Down = true
	s.applySuspicions(now)
}

// untrackedSequences returns the sequences of a report that belong to no active
// grant of this scheduler.
func (s *Scheduler) untrackedSequences(load mangomodel.Load) []mangomodel.Sequence {
	var untracked []mangomodel.Sequence
	for _, seq := range load.Running {
		if !s.activeSequences[seq] {
			untracked = append(untracked, seq)
		}
	}
	return untracked
}

// cancelOrphans cancels sequences that have been reported without a grant for
// OrphanGrace. Within that time every live holder has renewed its grants with
// the shard's owner.
func (s *Scheduler) cancelOrphans(now time.Time, id mangomodel.ServerID, untracked []mangomodel.Sequence) {
	sv := s.servers[id]
	orphans := make(map[mangomodel.Sequence]time.Time, len(untracked))
	for _, seq := range untracked {
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

// recordUsage updates the measured speeds and the suspicions from the usage of
// a released grant.
func (s *Scheduler) recordUsage(now time.Time, ag *activeGrant, u mangomodel.Usage) {
	ag.shard.HoldTime.Add(now.Sub(ag.since).Seconds())
	if sv, ok := s.servers[u.Refused]; ok {
		ag.shard.Backoffs.Add(sv.Ref(), ag.grant.ID.Holder, u.Backoff, now)
	}
	if sv, ok := s.servers[ag.grant.Prefill]; ok && u.PrefillTime > 0 {
		sv.Rate.Add(float64(u.PrefillTokens) / u.PrefillTime.Seconds())
	}
	if sv, ok := s.servers[ag.grant.Decode]; ok && u.StepTime > 0 {
		sv.StepModel.Add(float64(ag.occupiedAtStart+sv.Occupied())/2, u.StepTime)
	}
	if sv, ok := s.servers[u.Failed]; ok {
		// Retries avoid the server until its next load report clears Down.
		sv.Down = true
		s.crashRecords.RecordFailure(sv.ID, mangosuspect.StreamFailure{Fingerprint: ag.grant.Fingerprint, At: now, Alone: ag.onProbation(now)})
		s.applySuspicions(now)
		return
	}
	if u.StepTime > 0 {
		s.crashRecords.RecordPassed(now, ag.grant.Fingerprint)
	}
}

// Status returns the slots and the waiting demands of each shard, ordered by
// shard id.
func (s *Scheduler) Status() []mangoquery.ShardStatus {
	list := make([]mangoquery.ShardStatus, 0, len(s.shards))
	for id, sh := range s.shards {
		st := mangoquery.ShardStatus{Shard: id, Slots: sh.Slots(), Used: sh.UsedByRank(), Builds: sh.Builds()}
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
