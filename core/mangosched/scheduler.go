package mangosched

import (
	"maps"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoshard"
	"mangolane/core/mangosuspect"
)

// withdrawalMemory is how long a withdrawal is remembered.
const withdrawalMemory = 10 * time.Second

// Effect is something that the owner of a Scheduler must carry out.
type Effect interface{ effect() }

// Decision answers a demand. Err is nil when the grant was given.
type Decision struct {
	Grant mangomodel.GrantID
	Err   error
}

// Granted says that a grant is in force, GrantEnded that it no longer is.
type (
	Granted    struct{ Grant mangomodel.Grant }
	GrantEnded struct{ Grant mangomodel.GrantID }
)

// Cancel asks for a sequence to be cancelled on a server.
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
	// self is the daemon's own life, whose grants need no renewal.
	self    mangomodel.Holder
	holders map[mangomodel.Holder]time.Time
	shards  map[mangomodel.ShardID]*mangoshard.Shard
	servers map[mangomodel.ServerID]*mangoshard.Server
	grants  map[mangomodel.GrantID]*held
	waiting map[mangomodel.GrantID]*mangoshard.Waiter
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
	shard *mangoshard.Shard
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
		shards:  make(map[mangomodel.ShardID]*mangoshard.Shard),
		servers: make(map[mangomodel.ServerID]*mangoshard.Server),
		grants:  make(map[mangomodel.GrantID]*held),
		waiting: make(map[mangomodel.GrantID]*mangoshard.Waiter),
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
		sh.Servers = nil
	}
	for _, cfg := range shards {
		sh := s.shard(cfg.ID)
		sh.Pool = cfg.Pool
		for _, host := range cfg.Servers {
			id := mangomodel.ServerID(host.ID)
			known[id] = true
			sh.Servers = append(sh.Servers, s.configureServer(id, host))
		}
	}
	maps.DeleteFunc(s.servers, func(id mangomodel.ServerID, _ *mangoshard.Server) bool { return !known[id] })
	s.dispatchAll(now)
}

// Acquire asks for a grant. The answer is a Decision effect, now or later.
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
		s.refuse(d.Grant, mangomodel.Faultf(mangomodel.StepAdmission, mangoshard.PeerOf(id),
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
	w := &mangoshard.Waiter{Demand: d, Arrived: now}
	s.inspect(now, w)
	if err := sh.Admit(now, w); err != nil {
		s.refuse(d.Grant, err)
		return
	}
	s.waiting[d.Grant] = w
	sh.Queue[d.Rank].Push(w)
	s.dispatch(now, sh)
}

// Withdraw forgets a demand whose caller no longer waits. A demand that was
// granted in the meantime is released, and one that arrives after its
// withdrawal is refused.
func (s *Scheduler) Withdraw(now time.Time, id mangomodel.GrantID) {
	s.withdrawn[id] = now
	if w, ok := s.waiting[id]; ok {
		w.Left = true
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
		if !now.Before(w.Deadline) {
			w.Left = true
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
		s.suspect.RecordPassed(now, h.grant.Fingerprint)
		s.clearProbation(h)
	}
}

// clearProbation lets other suspects onto the servers of a grant.
func (s *Scheduler) clearProbation(h *held) {
	for _, id := range []mangomodel.ServerID{h.grant.Prefill, h.grant.Decode} {
		if sv, ok := s.servers[id]; ok && sv.Probation == h.grant.ID {
			sv.Probation = mangomodel.GrantID{}
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
		earlier(w.Deadline)
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
	}
	sv.Host = host
	return sv
}

func (s *Scheduler) refuse(id mangomodel.GrantID, err error) {
	delete(s.waiting, id)
	s.effects = append(s.effects, Decision{Grant: id, Err: err})
}

// take counts a grant against its decode server.
func (s *Scheduler) take(h *held) {
	s.grants[h.grant.ID] = h
	s.claimed[h.grant.Sequence] = true
	s.effects = append(s.effects, Granted{Grant: h.grant})
	if sv, ok := s.servers[h.grant.Decode]; ok {
		sv.AddGrant(h.grant)
		h.boarded = sv.Occupied()
	}
}

// end gives back what take counted.
func (s *Scheduler) end(h *held) {
	delete(s.grants, h.grant.ID)
	delete(s.claimed, h.grant.Sequence)
	s.effects = append(s.effects, GrantEnded{Grant: h.grant.ID})
	if sv, ok := s.servers[h.grant.Decode]; ok {
		sv.RemoveGrant(h.grant)
	}
	s.clearProbation(h)
}

func (s *Scheduler) dispatchAll(now time.Time) {
	for _, sh := range s.shards {
		s.dispatch(now, sh)
	}
}

// dispatch grants waiting demands of a shard while there is room.
func (s *Scheduler) dispatch(now time.Time, sh *mangoshard.Shard) {
	s.fill(now, sh)
	s.preempt(now, sh)
}

func (s *Scheduler) fill(now time.Time, sh *mangoshard.Shard) {
	for {
		w, place := sh.Next(now)
		if w == nil {
			return
		}
		sh.Queue[w.Demand.Rank].Served(w)
		if place.Expected > w.Remaining(now) {
			s.refuse(w.Demand.Grant, mangoshard.Overloaded(sh.ID, place.Expected-w.Remaining(now)))
			continue
		}
		s.give(now, sh, w, place)
	}
}

func (s *Scheduler) give(now time.Time, sh *mangoshard.Shard, w *mangoshard.Waiter, p mangoshard.Placement) {
	d := w.Demand
	g := mangomodel.Grant{
		ID: d.Grant, Shard: sh.ID, Sequence: d.Sequence, Workspace: d.Workspace, Rank: d.Rank,
		Prefill: p.Prefill.ID, Decode: p.Decode.ID, Fingerprint: d.Fingerprint, TPOT: d.TPOT,
		Pieces: mangomodel.PiecesFor(d.Prompt+d.MaxTokens, sh.Pool.PieceTokens), Expected: p.Expected,
	}
	p.Prefill.BusyUntil = p.PrefillDone
	p.Prefill.RecordPrefixes(d.Prefixes)
	h := &held{grant: g, since: now, shard: sh}
	if d.Resumed {
		h.preemptions = preemptTimes
	}
	if w.Suspect {
		p.Prefill.Probation, p.Decode.Probation = d.Grant, d.Grant
		h.probationEnds = now.Add(p.Expected + probationTime)
	}
	delete(s.waiting, d.Grant)
	s.take(h)
	s.effects = append(s.effects, Decision{Grant: d.Grant})
}
