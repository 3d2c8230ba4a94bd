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

// state is an engine's state. Only its loop touches it.
type state struct {
	id      mangomodel.ServerID
	profile Profile
	faults  Faults
	boots   int
	// restartAt is when a crashed engine is back; zero while it runs.
	restartAt time.Time

	queue   [mangomodel.Ranks][]*job
	current *job
	// currentEnds is when the current prefill is done.
	currentEnds time.Time
	results     map[mangomodel.Sequence]*result
	sequences   map[mangomodel.Sequence]*sequence
	order       []mangomodel.Sequence
	nextStep    time.Time
	resident    *lru.Cache[mangomodel.PrefixHash, struct{}]
	stats       Stats
}

// Stats counts what an engine has done.
type Stats struct {
	PrefilledTokens mangomodel.Tokens
	CachedTokens    mangomodel.Tokens
	GeneratedTokens mangomodel.Tokens
	ExpiredResults  int
	Crashes         int
}

// job is a prefill that waits or is computed.
type job struct {
	prefill mangowire.Prefill
	reply   mangoloop.Reply
}

// result is a computed KV cache that was not exported yet.
type result struct {
	prefill mangowire.Prefill
	expires time.Time
}

// sequence is a request that is decoded.
type sequence struct {
	prefill  mangowire.Prefill
	pieces   mangomodel.Pieces
	produced mangomodel.Tokens
	// first is the offset of the first token that this engine generates.
	first mangomodel.Tokens
	// readers are the open streams.
	readers []*reader
	done    bool
	// freeAt is when a finished sequence, which holds no KV memory any more,
	// can no longer be read.
	freeAt time.Time
}

// finishedLife is how long a finished answer can still be read.
const finishedLife = 5 * time.Second

func newState(id mangomodel.ServerID, p Profile) *state {
	s := &state{id: id, profile: p}
	s.boot()
	return s
}

// boot starts a new life with empty memory.
func (s *state) boot() {
	s.boots++
	s.restartAt = time.Time{}
	s.queue = [mangomodel.Ranks][]*job{}
	s.current = nil
	s.results = make(map[mangomodel.Sequence]*result)
	s.sequences = make(map[mangomodel.Sequence]*sequence)
	s.order = nil
	resident, err := lru.New[mangomodel.PrefixHash, struct{}](max(s.profile.CachedPrefixes, 1))
	if err != nil {
		panic(err) // only a non-positive size fails
	}
	s.resident = resident
}

// crash ends the life: every open exchange breaks.
func (s *state) crash(now time.Time) {
	s.stats.Crashes++
	broken := unreachable(s.id)
	if s.current != nil {
		s.current.reply.Send(broken)
	}
	for _, jobs := range s.queue {
		for _, j := range jobs {
			j.reply.Send(broken)
		}
	}
	for _, seq := range s.sequences {
		seq.close()
	}
	s.boot()
	s.restartAt = now.Add(s.profile.RestartTime)
}

func (s *state) down() bool { return s.faults.Down || !s.restartAt.IsZero() }

// Tick does what is due.
func (s *state) Tick(now time.Time) {
	if !s.restartAt.IsZero() && !now.Before(s.restartAt) {
		s.restartAt = time.Time{}
	}
	s.finishPrefill(now)
	s.expire(now)
	s.step(now)
}

// NextDue returns when Tick next has something to do.
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
		earlier(seq.freeAt)
	}
	if s.decoding() > 0 {
		earlier(s.nextStep)
	}
	return due, !due.IsZero()
}

// View returns the engine's report of itself.
func (s *state) View(_ *View, _ time.Time) *View {
	v := &View{Down: s.down(), Faults: s.faults, Stats: s.stats, Load: mangowire.Load{
		Boot: bootName(s.id, s.boots), Draining: s.faults.Draining, FreePieces: s.profile.Pieces - s.usedPieces(),
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

// startPrefill begins the next waiting prefill, urgent ones first.
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

// prefillTime looks the prompt up in the prefix cache and adds it.
func (s *state) prefillTime(p mangowire.Prefill) time.Duration {
	tokens := mangomodel.CountTokens(p.Prompt) + mangomodel.CountTokens(p.Generated)
	cached := mangomodel.Tokens(0)
	hit := true
	for i, h := range mangomodel.PrefixHashes(p.Prompt) {
		hit = hit && s.resident.Contains(h)
		if hit {
			cached = mangomodel.PrefixTokens(i)
		}
		s.resident.Add(h, struct{}{})
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

// unqueue drops a prefill that has not begun.
func (s *state) unqueue(id mangomodel.Sequence) {
	for rank := range s.queue {
		s.queue[rank] = slices.DeleteFunc(s.queue[rank], func(j *job) bool {
			if j.prefill.Sequence != id {
				return false
			}
			j.reply.Send(notHere(s.id, mangomodel.StepPrefill))
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
		if !seq.freeAt.IsZero() && !now.Before(seq.freeAt) {
			s.drop(id)
		}
	}
}

// decoding counts the sequences that still generate.
func (s *state) decoding() int {
	n := 0
	for _, seq := range s.sequences {
		if !seq.done {
			n++
		}
	}
	return n
}

// step generates one token of each sequence when a step is due.
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
	c := seq.chunk(seq.first + seq.produced)
	seq.produced++
	s.stats.GeneratedTokens++
	seq.done = c.Last
	for _, r := range seq.readers {
		r.deliver(s.faults, c)
	}
	if seq.done {
		seq.pieces = 0
		seq.freeAt = now.Add(finishedLife)
	}
}

func (q *sequence) chunk(offset mangomodel.Tokens) mangowire.Chunk {
	p := q.prefill
	return mangowire.Chunk{
		Request: p.Sequence.Request, Attempt: p.Sequence.Attempt, Offset: offset,
		Text: Token(p.Prompt, offset), Last: offset+1 >= p.MaxTokens,
	}
}

// close ends the streams. One that fell silent stays open and silent.
func (q *sequence) close() {
	for _, r := range q.readers {
		if !r.silent {
			close(r.chunks)
		}
	}
	q.readers = nil
}

// drop frees a sequence's memory and ends its streams.
func (s *state) drop(id mangomodel.Sequence) {
	seq, ok := s.sequences[id]
	if !ok {
		return
	}
	seq.close()
	delete(s.sequences, id)
	s.order = slices.DeleteFunc(s.order, func(other mangomodel.Sequence) bool { return other == id })
}
