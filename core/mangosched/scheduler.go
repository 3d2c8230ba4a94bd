package mangosched

import (
	"maps"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoshard"
	"mangolane/core/mangosuspect"
)

// withdrawalRetention is how long a withdrawal is kept, to refuse a demand that
// arrives after it.
const withdrawalRetention = 10 * time.Second

// Effect is an action that the owner of a Scheduler must execute.
type Effect interface{ effect() }

// Decision is the result of a demand. Err is nil when the demand was granted.
type Decision struct {
	Grant mangomodel.GrantID
	Err   error
}

// Granted reports that a grant has become active, GrantEnded that it has ended.
type (
	Granted    struct{ Grant mangomodel.Grant }
	GrantEnded struct{ Grant mangomodel.GrantID }
)

// Cancel requests the cancellation of a sequence on a server.
type Cancel struct {
	Server   mangomodel.ServerID
	Sequence mangomodel.Sequence
}

func (Decision) effect()   {}
func (Cancel) effect()     {}
func (Granted) effect()    {}
func (GrantEnded) effect() {}

// Scheduler is the state of the shards that a daemon schedules.
type Scheduler struct {
	// self is the daemon's own incarnation. Its grants need no renewal.
	self         mangomodel.Holder
	holders      map[mangomodel.Holder]time.Time
	shards       map[mangomodel.ShardID]*mangoshard.Shard
	servers      map[mangomodel.ServerID]*mangoshard.Server
	grants       map[mangomodel.GrantID]*activeGrant
	waiting      map[mangomodel.GrantID]*mangoshard.Waiter
	crashRecords *mangosuspect.Records
	// activeSequences holds the sequences of the active grants.
	activeSequences map[mangomodel.Sequence]bool
	// withdrawn holds the times at which demands were withdrawn. A withdrawal
	// may arrive before its demand.
	withdrawn map[mangomodel.GrantID]time.Time
	// preempted holds the times at which grants were preempted.
	preempted map[mangomodel.GrantID]time.Time
	effects   []Effect
}

// activeGrant is a grant that has not ended.
type activeGrant struct {
	grant mangomodel.Grant
	since time.Time
	shard *mangoshard.Shard
	// probationEnds is when a suspect's probation ends; zero for grants that
	// are not on probation.
	probationEnds time.Time
	// occupiedAtStart is the number of sequences on the decode server when the
	// grant was added, this one included.
	occupiedAtStart int
	// preemptions is how often the request has been preempted. It is
	// maxPreemptions for every resumed request.
	preemptions int
}

// onProbation reports whether the grant's request is on probation. A crash
// during that time quarantines the request.
func (ag *activeGrant) onProbation(now time.Time) bool { return now.Before(ag.probationEnds) }

// New returns a scheduler without shards for the daemon incarnation self.
func New(self mangomodel.Holder) *Scheduler {
	return &Scheduler{
		self:            self,
		holders:         make(map[mangomodel.Holder]time.Time),
		activeSequences: make(map[mangomodel.Sequence]bool),
		shards:          make(map[mangomodel.ShardID]*mangoshard.Shard),
		servers:         make(map[mangomodel.ServerID]*mangoshard.Server),
		grants:          make(map[mangomodel.GrantID]*activeGrant),
		waiting:         make(map[mangomodel.GrantID]*mangoshard.Waiter),
		crashRecords:    mangosuspect.New(),

		withdrawn: make(map[mangomodel.GrantID]time.Time),
		preempted: make(map[mangomodel.GrantID]time.Time),
	}
}

// Configure sets the pool and the servers of each shard. A shard that is not in
// shards stays without servers. Servers that were configured before keep their
// state; removed servers are discarded, and the grants on them stay active until
// they end for another reason.
func (s *Scheduler) Configure(now time.Time, shards []mangoconfig.Shard) {
	configured := make(map[mangomodel.ServerID]bool)
	for _, sh := range s.shards {
		sh.Servers = nil
	}
	for _, cfg := range shards {
		sh := s.shard(cfg.ID)
		sh.Pool = cfg.Pool
		for _, host := range cfg.Servers {
			id := mangomodel.ServerID(host.ID)
			configured[id] = true
			sh.Servers = append(sh.Servers, s.configureServer(id, host))
		}
	}
	maps.DeleteFunc(s.servers, func(id mangomodel.ServerID, _ *mangoshard.Server) bool { return !configured[id] })
	s.refuseWithoutBuild(now)
	s.dispatchAll(now)
}

// Acquire requests a grant. The result is a Decision effect, which follows at
// once or later. A retry of a waiting demand is refused if the shard has no
// servers, and the demand leaves its queue.
func (s *Scheduler) Acquire(now time.Time, id mangomodel.ShardID, d mangomodel.Demand) {
	if _, ok := s.grants[d.Grant]; ok {
		s.effects = append(s.effects, Decision{Grant: d.Grant})
		return
	}
	if _, ok := s.withdrawn[d.Grant]; ok {
		s.refuse(d.Grant, mangomodel.Faultf(mangomodel.StepAdmission, mangoshard.PeerOf(id),
			mangomodel.CodeCancelled, mangomodel.RunNot, "the demand was withdrawn before it arrived"))
		return
	}
	sh, ok := s.shards[id]
	if !ok || len(sh.Servers) == 0 {
		if w, ok := s.waiting[d.Grant]; ok {
			w.Done = true
		}
		s.refuse(d.Grant, mangomodel.Faultf(mangomodel.StepAdmission, mangoshard.PeerOf(id),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "no server of the shard is configured"))
		return
	}
	if _, ok := s.waiting[d.Grant]; ok {
		return
	}
	if s.crashRecords.Quarantined(now, d.Fingerprint) {
		s.refuse(d.Grant, quarantinedFault(d))
		return
	}
	s.holders[d.Sequence.Holder] = now
	w := &mangoshard.Waiter{Demand: d, Shard: id, ArrivedAt: now}
	s.markSuspect(now, w)
	if err := sh.Admit(now, w); err != nil {
		s.refuse(d.Grant, err)
		return
	}
	s.waiting[d.Grant] = w
	sh.Queue[d.Rank].Push(w)
	s.dispatch(now, sh)
}

// Withdraw removes a demand whose caller no longer waits. If the demand has
// been granted in the meantime, its grant is ended. A demand that arrives after
// its withdrawal is refused.
func (s *Scheduler) Withdraw(now time.Time, id mangomodel.GrantID) {
	s.withdrawn[id] = now
	if w, ok := s.waiting[id]; ok {
		w.Done = true
		delete(s.waiting, id)
		return
	}
	if ag, ok := s.grants[id]; ok {
		s.endGrant(ag)
		s.dispatch(now, ag.shard)
	}
}

// Release ends a grant and records its usage. It fails with CodePreempted when
// the grant was preempted. Releasing an unknown grant does nothing, so a
// release may be retried.
func (s *Scheduler) Release(now time.Time, id mangomodel.GrantID, u mangomodel.Usage) error {
	if _, ok := s.preempted[id]; ok {
		return mangomodel.Faultf(mangomodel.StepRelease, "", mangomodel.CodePreempted, mangomodel.RunUnknown,
			"the grant was preempted by an urgent request")
	}
	ag, ok := s.grants[id]
	if !ok {
		return nil
	}
	s.recordUsage(now, ag, u)
	s.endGrant(ag)
	s.dispatch(now, ag.shard)
	return nil
}

// Tick refuses the demands whose deadline has passed, ends the probations whose
// time is over and the grants of holders whose lease has expired, and discards
// expired records.
func (s *Scheduler) Tick(now time.Time) {
	for holder, renewed := range s.holders {
		if holder != s.self && now.Sub(renewed) >= HolderLease {
			s.EndHolder(now, holder)
		}
	}
	removeExpired(s.withdrawn, now, withdrawalRetention)
	removeExpired(s.preempted, now, preemptedRetention)
	s.crashRecords.Expire(now)
	s.endProbations(now)
	for id, w := range s.waiting {
		if !now.Before(w.Deadline) {
			w.Done = true
			s.refuse(id, mangomodel.Faultf(mangomodel.StepAdmission, "",
				mangomodel.CodeOverloaded, mangomodel.RunNot, "no server became free within the latency target"))
		}
	}
	s.dispatchAll(now)
}

// removeExpired deletes the entries whose age is at least age.
func removeExpired(m map[mangomodel.GrantID]time.Time, now time.Time, age time.Duration) {
	maps.DeleteFunc(m, func(_ mangomodel.GrantID, at time.Time) bool { return now.Sub(at) >= age })
}

// endProbations ends the probations whose time is over and records that the
// requests passed.
func (s *Scheduler) endProbations(now time.Time) {
	for _, ag := range s.grants {
		if ag.probationEnds.IsZero() || ag.onProbation(now) {
			continue
		}
		ag.probationEnds = time.Time{}
		s.crashRecords.RecordPassed(now, ag.grant.Fingerprint)
		s.clearProbation(ag)
	}
}

// clearProbation makes the servers of a grant available to other suspects.
func (s *Scheduler) clearProbation(ag *activeGrant) {
	for _, id := range []mangomodel.ServerID{ag.grant.Prefill, ag.grant.Decode} {
		if sv, ok := s.servers[id]; ok && sv.Probation == ag.grant.ID {
			sv.Probation = mangomodel.GrantID{}
		}
	}
}

// NextDue returns the earliest deadline of a demand, end of a probation or
// expiry of a lease, which is when Tick is due; false if there is none.
func (s *Scheduler) NextDue() (time.Time, bool) {
	var due time.Time
	earlier := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	for _, w := range s.waiting {
		earlier(w.Deadline)
	}
	for _, ag := range s.grants {
		if !ag.probationEnds.IsZero() {
			earlier(ag.probationEnds)
		}
	}
	for holder, renewed := range s.holders {
		if holder != s.self {
			earlier(renewed.Add(HolderLease))
		}
	}
	return due, !due.IsZero()
}

// TakeEffects returns and clears the effects since the last call.
func (s *Scheduler) TakeEffects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// Grants returns the active grants, in no particular order.
func (s *Scheduler) Grants() []mangomodel.Grant {
	grants := make([]mangomodel.Grant, 0, len(s.grants))
	for _, ag := range s.grants {
		grants = append(grants, ag.grant)
	}
	return grants
}

func (s *Scheduler) shard(id mangomodel.ShardID) *mangoshard.Shard {
	sh, ok := s.shards[id]
	if !ok {
		sh = mangoshard.New(id)
		s.shards[id] = sh
	}
	return sh
}

func (s *Scheduler) configureServer(id mangomodel.ServerID, host mangoconfig.Host) *mangoshard.Server {
	sv, ok := s.servers[id]
	if !ok {
		sv = mangoshard.NewServer(id, host)
		s.servers[id] = sv
		s.countGrants(sv)
	}
	sv.Host = host
	return sv
}

// countGrants counts the active grants on a server that was removed before.
func (s *Scheduler) countGrants(sv *mangoshard.Server) {
	for _, ag := range s.grants {
		if ag.grant.Decode == sv.ID {
			sv.AddGrant(ag.grant)
		}
	}
}

func (s *Scheduler) refuse(id mangomodel.GrantID, err error) {
	delete(s.waiting, id)
	s.effects = append(s.effects, Decision{Grant: id, Err: err})
}

// addGrant records a grant as active and counts it against its decode server.
func (s *Scheduler) addGrant(ag *activeGrant) {
	s.grants[ag.grant.ID] = ag
	s.activeSequences[ag.grant.Sequence] = true
	s.effects = append(s.effects, Granted{Grant: ag.grant})
	if sv, ok := s.servers[ag.grant.Decode]; ok {
		sv.AddGrant(ag.grant)
		ag.occupiedAtStart = sv.Occupied()
	}
}

// endGrant reverses addGrant and ends the grant's probation.
func (s *Scheduler) endGrant(ag *activeGrant) {
	delete(s.grants, ag.grant.ID)
	delete(s.activeSequences, ag.grant.Sequence)
	s.effects = append(s.effects, GrantEnded{Grant: ag.grant.ID})
	if sv, ok := s.servers[ag.grant.Decode]; ok {
		sv.RemoveGrant(ag.grant)
	}
	s.clearProbation(ag)
}

func (s *Scheduler) dispatchAll(now time.Time) {
	for _, sh := range s.shards {
		s.dispatch(now, sh)
	}
}

// dispatch grants waiting demands of a shard while it has capacity, then
// preempts basic grants for the urgent demands that remain.
func (s *Scheduler) dispatch(now time.Time, sh *mangoshard.Shard) {
	s.grantWaiting(now, sh)
	s.preempt(now, sh)
}

func (s *Scheduler) grantWaiting(now time.Time, sh *mangoshard.Shard) {
	for {
		w, place := sh.Next(now)
		if w == nil {
			return
		}
		sh.Queue[w.Demand.Rank].MarkServed(w)
		if place.Expected > w.Remaining(now) {
			s.refuse(w.Demand.Grant, mangoshard.Overloaded(sh.ID, place.Expected-w.Remaining(now)))
			continue
		}
		s.issueGrant(now, sh, w, place)
	}
}

func (s *Scheduler) issueGrant(now time.Time, sh *mangoshard.Shard, w *mangoshard.Waiter, p mangoshard.Placement) {
	d := w.Demand
	g := mangomodel.Grant{
		ID: d.Grant, Shard: sh.ID, Sequence: d.Sequence, Workspace: d.Workspace, Rank: d.Rank,
		Prefill: p.Prefill.ID, Decode: p.Decode.ID, Fingerprint: d.Fingerprint, TPOT: d.TPOT,
		Pieces: mangomodel.PiecesFor(d.Prompt+d.MaxTokens, sh.Pool.PieceTokens), Expected: p.Expected,
	}
	p.Prefill.BusyUntil = p.PrefillDone
	p.Prefill.RecordPrefixes(d.Prefixes)
	sh.Backoffs.Started(p.Prefill.Ref(), d.Grant.Holder, now)
	sh.Backoffs.Started(p.Decode.Ref(), d.Grant.Holder, now)
	ag := &activeGrant{grant: g, since: now, shard: sh}
	if d.Resumed {
		ag.preemptions = maxPreemptions
	}
	if w.Suspect {
		p.Prefill.Probation, p.Decode.Probation = d.Grant, d.Grant
		ag.probationEnds = now.Add(p.Expected + probationTime)
	}
	delete(s.waiting, d.Grant)
	s.addGrant(ag)
	s.effects = append(s.effects, Decision{Grant: d.Grant})
}
