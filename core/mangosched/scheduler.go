package mangosched

import (
	"maps"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangosuspect"
)

// adoptGrace is how long a grant that its holder does not list in a renewal
// is kept, since the renewal may have been composed before the grant.
const adoptGrace = 5 * time.Second

// withdrawalMemory is how long a withdrawal is remembered.
const withdrawalMemory = 10 * time.Second

// HolderLease is how long a holder's grants last without a renewal.
const HolderLease = 6 * time.Second

// Effect is something that the owner of a Scheduler must carry out.
type Effect interface{ effect() }

// Decided answers a demand. Err is nil when the grant was given.
type Decided struct {
	Grant mangomodel.GrantID
	Err   error
}

// Given says that a grant is in force, Ended that it no longer is.
type (
	Given struct{ Grant mangomodel.Grant }
	Ended struct{ Grant mangomodel.GrantID }
)

// Cancel asks for a sequence to be cancelled on a server.
type Cancel struct {
	Server   mangomodel.ServerID
	Sequence mangomodel.Sequence
}

func (Decided) effect() {}
func (Cancel) effect()  {}
func (Given) effect()   {}
func (Ended) effect()   {}

// Scheduler is the state of the shards that a daemon schedules.
type Scheduler struct {
	// self is the daemon's own life, whose grants need no renewal.
	self    mangomodel.Holder
	holders map[mangomodel.Holder]time.Time
	shards  map[mangomodel.ShardID]*shard
	servers map[mangomodel.ServerID]*server
	grants  map[mangomodel.GrantID]*held
	waiting map[mangomodel.GrantID]*waiter
	suspect *mangosuspect.Records
	// claimed holds the sequences of the grants in force.
	claimed map[mangomodel.Sequence]bool
	// withdrawn is when demands were withdrawn, which may overtake them.
	withdrawn map[mangomodel.GrantID]time.Time
	// preempted is when grants were taken back.
	preempted map[mangomodel.GrantID]time.Time
	effects   []Effect
}

// held is a grant in force.
type held struct {
	grant mangomodel.Grant
	since time.Time
	shard *shard
	// probationEnds is when a suspect's probation ends; zero for others.
	probationEnds time.Time
	// boarded is how many sequences the decode server had with this one.
	boarded int
	// preemptions is how often the request was preempted before.
	preemptions int
}

// onProbation reports whether the grant's request may still show that it
// crashes servers.
func (h *held) onProbation(now time.Time) bool { return now.Before(h.probationEnds) }

// New returns an empty scheduler of a daemon.
func New(self mangomodel.Holder) *Scheduler {
	return &Scheduler{
		self:    self,
		holders: make(map[mangomodel.Holder]time.Time),
		claimed: make(map[mangomodel.Sequence]bool),
		shards:  make(map[mangomodel.ShardID]*shard),
		servers: make(map[mangomodel.ServerID]*server),
		grants:  make(map[mangomodel.GrantID]*held),
		waiting: make(map[mangomodel.GrantID]*waiter),
		suspect: mangosuspect.New(),

		withdrawn: make(map[mangomodel.GrantID]time.Time),
		preempted: make(map[mangomodel.GrantID]time.Time),
	}
}

// Configure replaces the set of shards. Servers that stay keep their state;
// grants on servers that are gone end when their holders release them.
func (s *Scheduler) Configure(now time.Time, shards []mangoconfig.Shard) {
	known := make(map[mangomodel.ServerID]bool)
	for _, sh := range s.shards {
		sh.servers = nil
	}
	for _, cfg := range shards {
		sh := s.shard(cfg.ID)
		sh.pool = cfg.Pool
		for _, host := range cfg.Servers {
			id := mangomodel.ServerID(host.ID)
			known[id] = true
			sh.servers = append(sh.servers, s.configureServer(id, host))
		}
	}
	maps.DeleteFunc(s.servers, func(id mangomodel.ServerID, _ *server) bool { return !known[id] })
	s.dispatchAll(now)
}

// Acquire asks for a grant. The answer is a Decided effect, now or later.
func (s *Scheduler) Acquire(now time.Time, id mangomodel.ShardID, d mangomodel.Demand) {
	if _, ok := s.grants[d.Grant]; ok {
		s.effects = append(s.effects, Decided{Grant: d.Grant})
		return
	}
	if _, ok := s.withdrawn[d.Grant]; ok {
		s.refuse(d.Grant, mangomodel.Faultf(mangomodel.StepAdmission, peerOf(id),
			mangomodel.CodeCancelled, mangomodel.RunNot, "the demand was withdrawn before it arrived"))
		return
	}
	sh, ok := s.shards[id]
	if !ok || len(sh.servers) == 0 {
		s.refuse(d.Grant, mangomodel.Faultf(mangomodel.StepAdmission, peerOf(id),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "no server of the shard is configured"))
		return
	}
	if _, ok := s.waiting[d.Grant]; ok {
		return
	}
	if s.suspect.Quarantined(now, d.Fingerprint) {
		s.refuse(d.Grant, quarantinedFault(d))
		return
	}
	s.holders[d.Sequence.Holder] = now
	w := &waiter{demand: d, arrived: now}
	s.inspect(now, w)
	if err := sh.admit(now, w); err != nil {
		s.refuse(d.Grant, err)
		return
	}
	s.waiting[d.Grant] = w
	sh.queue[d.Rank].Push(w)
	s.dispatch(now, sh)
}

// Withdraw forgets a demand whose caller no longer waits. A demand that was
// granted in the meantime is released, and one that arrives after its
// withdrawal is refused.
func (s *Scheduler) Withdraw(now time.Time, id mangomodel.GrantID) {
	s.withdrawn[id] = now
	if w, ok := s.waiting[id]; ok {
		w.gone = true
		delete(s.waiting, id)
		return
	}
	if h, ok := s.grants[id]; ok {
		s.end(h)
		s.dispatch(now, h.shard)
	}
}

// Release ends a grant and learns from its usage. It fails with CodePreempted
// when the grant was taken back. Releasing an unknown grant does nothing, so a
// release may be repeated.
func (s *Scheduler) Release(now time.Time, id mangomodel.GrantID, u mangomodel.Usage) error {
	if _, ok := s.preempted[id]; ok {
		return mangomodel.Faultf(mangomodel.StepRelease, "", mangomodel.CodePreempted, mangomodel.RunUnknown,
			"the grant was taken back for urgent work")
	}
	h, ok := s.grants[id]
	if !ok {
		return nil
	}
	s.learn(now, h, u)
	s.end(h)
	s.dispatch(now, h.shard)
	return nil
}

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
			w.gone = true
			delete(s.waiting, id)
		}
	}
	s.dispatchAll(now)
}

// Tick refuses the demands that can no longer meet their targets and ends the
// grants of holders whose lease has lapsed.
func (s *Scheduler) Tick(now time.Time) {
	for holder, renewed := range s.holders {
		if holder != s.self && now.Sub(renewed) >= HolderLease {
			s.HolderLost(now, holder)
		}
	}
	forget(s.withdrawn, now, withdrawalMemory)
	forget(s.preempted, now, preemptedMemory)
	s.suspect.Expire(now)
	s.endProbations(now)
	for id, w := range s.waiting {
		if !now.Before(w.giveUp) {
			w.gone = true
			s.refuse(id, mangomodel.Faultf(mangomodel.StepAdmission, "",
				mangomodel.CodeOverloaded, mangomodel.RunNot, "no server became free within the latency target"))
		}
	}
	s.dispatchAll(now)
}

// forget drops the entries that are older than an age.
func forget(m map[mangomodel.GrantID]time.Time, now time.Time, age time.Duration) {
	maps.DeleteFunc(m, func(_ mangomodel.GrantID, at time.Time) bool { return now.Sub(at) >= age })
}

// endProbations clears the suspects that have run long enough.
func (s *Scheduler) endProbations(now time.Time) {
	for _, h := range s.grants {
		if h.probationEnds.IsZero() || h.onProbation(now) {
			continue
		}
		h.probationEnds = time.Time{}
		s.suspect.Passed(now, h.grant.Fingerprint)
		s.clearProbation(h)
	}
}

// clearProbation lets other suspects onto the servers of a grant.
func (s *Scheduler) clearProbation(h *held) {
	for _, id := range []mangomodel.ServerID{h.grant.Prefill, h.grant.Decode} {
		if sv, ok := s.servers[id]; ok && sv.probation == h.grant.ID {
			sv.probation = mangomodel.GrantID{}
		}
	}
}

// NextDue returns when Tick next has something to do, if ever.
func (s *Scheduler) NextDue() (time.Time, bool) {
	var due time.Time
	earlier := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	for _, w := range s.waiting {
		earlier(w.giveUp)
	}
	for _, h := range s.grants {
		if !h.probationEnds.IsZero() {
			earlier(h.probationEnds)
		}
	}
	for holder, renewed := range s.holders {
		if holder != s.self {
			earlier(renewed.Add(HolderLease))
		}
	}
	return due, !due.IsZero()
}

// TakeEffects returns the effects since the last call.
func (s *Scheduler) TakeEffects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// Grants returns the grants in force, in no order.
func (s *Scheduler) Grants() []mangomodel.Grant {
	grants := make([]mangomodel.Grant, 0, len(s.grants))
	for _, h := range s.grants {
		grants = append(grants, h.grant)
	}
	return grants
}

func (s *Scheduler) shard(id mangomodel.ShardID) *shard {
	sh, ok := s.shards[id]
	if !ok {
		sh = newShard(id)
		s.shards[id] = sh
	}
	return sh
}

func (s *Scheduler) configureServer(id mangomodel.ServerID, host mangoconfig.Host) *server {
	sv, ok := s.servers[id]
	if !ok {
		sv = newServer(id, host)
		s.servers[id] = sv
	}
	sv.host = host
	return sv
}

func (s *Scheduler) refuse(id mangomodel.GrantID, err error) {
	delete(s.waiting, id)
	s.effects = append(s.effects, Decided{Grant: id, Err: err})
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

// take counts a grant against its shard and its decode server.
func (s *Scheduler) take(h *held) {
	s.grants[h.grant.ID] = h
	s.claimed[h.grant.Sequence] = true
	s.effects = append(s.effects, Given{Grant: h.grant})
	h.shard.used[h.grant.Rank]++
	if sv, ok := s.servers[h.grant.Decode]; ok {
		sv.board(h.grant)
		h.boarded = sv.occupied()
	}
}

// end gives back what take counted.
func (s *Scheduler) end(h *held) {
	delete(s.grants, h.grant.ID)
	delete(s.claimed, h.grant.Sequence)
	s.effects = append(s.effects, Ended{Grant: h.grant.ID})
	h.shard.used[h.grant.Rank]--
	if sv, ok := s.servers[h.grant.Decode]; ok {
		sv.leave(h.grant)
	}
	s.clearProbation(h)
}

func (s *Scheduler) dispatchAll(now time.Time) {
	for _, sh := range s.shards {
		s.dispatch(now, sh)
	}
}

// dispatch grants waiting demands of a shard while there is room.
func (s *Scheduler) dispatch(now time.Time, sh *shard) {
	s.fill(now, sh)
	s.preempt(now, sh)
}

func (s *Scheduler) fill(now time.Time, sh *shard) {
	for {
		w, place := sh.next(now)
		if w == nil {
			return
		}
		sh.queue[w.demand.Rank].Served(w)
		if place.expected > w.remaining(now) {
			s.refuse(w.demand.Grant, overloaded(sh.id, place.expected-w.remaining(now)))
			continue
		}
		s.give(now, sh, w, place)
	}
}

func (s *Scheduler) give(now time.Time, sh *shard, w *waiter, p placement) {
	d := w.demand
	g := mangomodel.Grant{
		ID: d.Grant, Shard: sh.id, Sequence: d.Sequence, Workspace: d.Workspace, Rank: d.Rank,
		Prefill: p.prefill.id, Decode: p.decode.id, Fingerprint: d.Fingerprint, TPOT: d.TPOT,
		Pieces: mangomodel.PiecesFor(d.Prompt+d.MaxTokens, sh.pool.PieceTokens), Expected: p.expected,
	}
	p.prefill.busyUntil = p.prefillDone
	p.prefill.remember(d.Prefixes)
	h := &held{grant: g, since: now, shard: sh}
	if d.Resumed {
		h.preemptions = preemptTimes
	}
	if w.suspect {
		p.prefill.probation, p.decode.probation = d.Grant, d.Grant
		h.probationEnds = now.Add(p.expected + probationTime)
	}
	delete(s.waiting, d.Grant)
	s.take(h)
	s.effects = append(s.effects, Decided{Grant: d.Grant})
}

func peerOf(id mangomodel.ShardID) mangomodel.PeerName {
	return mangomodel.PeerName(id.String())
}

func overloaded(id mangomodel.ShardID, after time.Duration) error {
	f := mangomodel.Faultf(mangomodel.StepAdmission, peerOf(id), mangomodel.CodeOverloaded, mangomodel.RunNot,
		"the latency target cannot be met now")
	f.RetryAfter = max(after, time.Millisecond)
	return f
}
