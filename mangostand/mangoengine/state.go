package mangoengine

import (
	"slices"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// state is an engine's state. Only the loop's goroutine accesses it.
type state struct {
	id      mangomodel.ServerID
	profile Profile
	faults  Faults
	// boots is the number of the engine's incarnation, from 1.
	boots int
	// restartAt is when a crashed engine accepts requests again; zero while it
	// runs.
	restartAt time.Time

	queue   [mangomodel.Ranks][]*job
	current *job
	// currentEnds is when the current prefill completes.
	currentEnds time.Time
	results     map[mangomodel.Sequence]*result
	sequences   map[mangomodel.Sequence]*sequence
	order       []mangomodel.Sequence
	nextStep    time.Time
	prefixCache *lru.Cache[mangomodel.PrefixHash, struct{}]
	stats       Stats
}

// Stats are the counters of an engine. A crash does not reset them.
type Stats struct {
	PrefilledTokens mangomodel.Tokens
	CachedTokens    mangomodel.Tokens
	GeneratedTokens mangomodel.Tokens
	ExpiredResults  int
	Crashes         int
}

// job is a prefill that is queued or running.
type job struct {
	prefill mangowire.Prefill
	reply   mangoloop.Reply
}

// result is a computed KV cache that has not been exported.
type result struct {
	prefill mangowire.Prefill
	expires time.Time
}

// sequence is a request that is decoded or whose response can still be read.
type sequence struct {
	prefill   mangowire.Prefill
	build     mangomodel.Build
	pieces    mangomodel.Pieces
	generated mangomodel.Tokens
	// firstOffset is the offset of the first token that this engine generates.
	firstOffset mangomodel.Tokens
	// readers are the open streams.
	readers []*reader
	done    bool
	// expires is when a finished sequence is removed; zero while it is
	// decoded. A finished sequence holds no KV memory.
	expires time.Time
}

// finishedTTL is how long a finished response can still be read.
const finishedTTL = 5 * time.Second

func newState(id mangomodel.ServerID, p Profile) *state {
	s := &state{id: id, profile: p}
	s.boot()
	return s
}

// boot starts a new incarnation with empty memory.
func (s *state) boot() {
	s.boots++
	s.restartAt = time.Time{}
	s.queue = [mangomodel.Ranks][]*job{}
	s.current = nil
	s.results = make(map[mangomodel.Sequence]*result)
	s.sequences = make(map[mangomodel.Sequence]*sequence)
	s.order = nil
	prefixCache, err := lru.New[mangomodel.PrefixHash, struct{}](max(s.profile.CachedPrefixes, 1))
	if err != nil {
		panic(err) // only a non-positive size fails
	}
	s.prefixCache = prefixCache
}

// crash ends the incarnation: all prefills fail and all streams that are not
// stalled are closed.
func (s *state) crash(now time.Time) {
	s.stats.Crashes++
	fault := unreachableFault(s.id)
	if s.current != nil {
		s.current.reply.Send(fault)
	}
	for _, jobs := range s.queue {
		for _, j := range jobs {
			j.reply.Send(fault)
		}
	}
	for _, seq := range s.sequences {
		seq.close()
	}
	s.boot()
	s.restartAt = now.Add(s.profile.RestartTime)
}

func (s *state) down() bool { return s.faults.Down || !s.restartAt.IsZero() }

// Tick runs the work that is due.
func (s *state) Tick(now time.Time) {
	if !s.restartAt.IsZero() && !now.Before(s.restartAt) {
		s.restartAt = time.Time{}
	}
	s.finishPrefill(now)
	s.expire(now)
	s.step(now)
}

// NextDue returns when work is next due, if any is.
func (s *state) NextDue() (time.Time, bool) {
	var due time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (due.IsZero() || t.Before(due)) {
			due = t
		}
	}
	earlier(s.restartAt)
	if s.current != nil {
		earlier(s.currentEnds)
	}
	for _, r := range s.results {
		earlier(r.expires)
	}
	for _, seq := range s.sequences {
		earlier(seq.expires)
	}
	if s.decoding() > 0 {
		earlier(s.nextStep)
	}
	return due, !due.IsZero()
}

// View returns a snapshot of the engine. Its load report lists the sequences
// that are decoded and those with a prefill result.
func (s *state) View(_ *View, _ time.Time) *View {
	v := &View{Down: s.down(), Faults: s.faults, Stats: s.stats, Load: mangowire.Load{
		Boot: bootName(s.id, s.boots), Build: s.profile.Build, Draining: s.faults.Draining, FreePieces: s.profile.Pieces - s.usedPieces(),
	}}
	for _, id := range s.order {
		if !s.sequences[id].done {
			v.Load.Running = append(v.Load.Running, id)
		}
	}
	for id := range s.results {
		if _, ok := s.sequences[id]; !ok {
			v.Load.Running = append(v.Load.Running, id)
		}
	}
	return v
}

func (s *state) usedPieces() mangomodel.Pieces {
	n := mangomodel.Pieces(0)
	for _, seq := range s.sequences {
		n += seq.pieces
	}
	return n
}

// startPrefill starts the next queued prefill, urgent ones first, unless one is
// running.
func (s *state) startPrefill(now time.Time) {
	if s.current != nil {
		return
	}
	for rank := range s.queue {
		if len(s.queue[rank]) == 0 {
			continue
		}
		s.current, s.queue[rank] = s.queue[rank][0], s.queue[rank][1:]
		if strings.Contains(s.current.prefill.Prompt, PoisonPrefill) {
			s.crash(now)
			return
		}
		s.currentEnds = now.Add(s.prefillTime(s.current.prefill))
		return
	}
}

// prefillTime returns how long a prefill takes, given the prefixes that are
// cached, and adds the prompt's prefixes to the cache.
func (s *state) prefillTime(p mangowire.Prefill) time.Duration {
	tokens := mangomodel.CountTokens(p.Prompt) + mangomodel.CountTokens(p.Generated)
	cached := mangomodel.Tokens(0)
	hit := true
	for i, h := range mangomodel.PrefixHashes(p.Prompt) {
		hit = hit && s.prefixCache.Contains(h)
		if hit {
			cached = mangomodel.PrefixTokens(i)
		}
		s.prefixCache.Add(h, struct{}{})
	}
	s.stats.PrefilledTokens += tokens - cached
	s.stats.CachedTokens += cached
	return time.Duration(float64(tokens-cached) / float64(s.profile.PrefillRate) * float64(time.Second))
}

func (s *state) finishPrefill(now time.Time) {
	if s.current == nil || now.Before(s.currentEnds) {
		return
	}
	j := s.current
	s.current = nil
	s.results[j.prefill.Sequence] = &result{prefill: j.prefill, expires: now.Add(s.profile.ResultTTL)}
	j.reply.Send(nil)
	s.startPrefill(now)
}

// cancelQueued removes the queued prefill of a sequence and fails its request.
func (s *state) cancelQueued(id mangomodel.Sequence) {
	for rank := range s.queue {
		s.queue[rank] = slices.DeleteFunc(s.queue[rank], func(j *job) bool {
			if j.prefill.Sequence != id {
				return false
			}
			j.reply.Send(sequenceNotFound(s.id, mangomodel.StepPrefill))
			return true
		})
	}
}

func (s *state) expire(now time.Time) {
	for id, r := range s.results {
		if !now.Before(r.expires) {
			delete(s.results, id)
			s.stats.ExpiredResults++
		}
	}
	for id, seq := range s.sequences {
		if !seq.expires.IsZero() && !now.Before(seq.expires) {
			s.removeSequence(id)
		}
	}
}

// decoding returns the number of sequences that are not finished.
func (s *state) decoding() int {
	n := 0
	for _, seq := range s.sequences {
		if !seq.done {
			n++
		}
	}
	return n
}

// step generates one token of each unfinished sequence when a decode step is
// due.
func (s *state) step(now time.Time) {
	n := s.decoding()
	if n == 0 || now.Before(s.nextStep) {
		return
	}
	for _, id := range slices.Clone(s.order) {
		seq := s.sequences[id]
		if seq == nil || seq.done {
			continue
		}
		if strings.Contains(seq.prefill.Prompt, PoisonDecode) {
			s.crash(now)
			return
		}
		s.generate(now, seq)
	}
	s.nextStep = now.Add(s.stepTime(n))
}

func (s *state) stepTime(n int) time.Duration {
	return s.profile.StepBase + time.Duration(n)*s.profile.StepPerSequence
}

func (s *state) generate(now time.Time, seq *sequence) {
	c := seq.chunk(seq.firstOffset + seq.generated)
	seq.generated++
	s.stats.GeneratedTokens++
	seq.done = c.Last
	for _, r := range seq.readers {
		r.deliver(s.faults, c)
	}
	if seq.done {
		seq.pieces = 0
		seq.expires = now.Add(finishedTTL)
	}
}

func (seq *sequence) chunk(offset mangomodel.Tokens) mangowire.Chunk {
	p := seq.prefill
	return mangowire.Chunk{
		Request: p.Sequence.Request, Attempt: p.Sequence.Attempt, Offset: offset,
		Text: Token(string(seq.build)+p.Prompt, offset), Last: offset+1 >= p.MaxTokens, Build: seq.build,
	}
}

// close closes the streams, except stalled ones, which stay open and deliver
// nothing.
func (seq *sequence) close() {
	for _, r := range seq.readers {
		if !r.stalled {
			close(r.chunks)
		}
	}
	seq.readers = nil
}

// removeSequence frees a sequence's memory and closes its streams.
func (s *state) removeSequence(id mangomodel.Sequence) {
	seq, ok := s.sequences[id]
	if !ok {
		return
	}
	seq.close()
	delete(s.sequences, id)
	s.order = slices.DeleteFunc(s.order, func(other mangomodel.Sequence) bool { return other == id })
}
