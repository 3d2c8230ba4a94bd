package mangoengine

import (
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// prefillCommand queues a prefill. Its reply is sent when the prefill ends.
type prefillCommand struct{ job *job }

// Await implements [mangoloop.Deferred]. It keeps the reply with the job.
func (c prefillCommand) Await(_ *state, r mangoloop.Reply) { c.job.reply = r }

// Apply implements [mangoloop.Command].
func (c prefillCommand) Apply(s *state, now time.Time) error {
	if s.down() {
		return unreachableFault(s.id)
	}
	rank := c.job.prefill.Rank
	s.queue[rank] = append(s.queue[rank], c.job)
	s.startPrefill(now)
	return nil
}

// exportCommand removes a prefill result from the engine and returns it.
type exportCommand struct {
	sequence mangomodel.Sequence
	exported *mangowire.Exported
}

// Apply implements [mangoloop.Command].
func (c exportCommand) Apply(s *state, _ time.Time) error {
	if s.down() {
		return unreachableFault(s.id)
	}
	r, ok := s.results[c.sequence]
	if !ok {
		return sequenceNotFound(s.id, mangomodel.StepTransfer)
	}
	delete(s.results, c.sequence)
	tokens := mangomodel.CountTokens(r.prefill.Prompt) + mangomodel.CountTokens(r.prefill.Generated)
	*c.exported = mangowire.Exported{Prefill: r.prefill, Bytes: mangomodel.Bytes(tokens) * s.profile.KVBytesPerToken}
	return nil
}

// installCommand starts a sequence from an imported KV cache.
type installCommand struct{ prefill mangowire.Prefill }

// Apply implements [mangoloop.Command].
func (c installCommand) Apply(s *state, now time.Time) error {
	if s.down() {
		return unreachableFault(s.id)
	}
	p := c.prefill
	need := mangomodel.PiecesFor(mangomodel.CountTokens(p.Prompt)+p.MaxTokens, s.profile.PieceTokens)
	if s.decoding() >= int(s.profile.Slots) || s.usedPieces()+need > s.profile.Pieces {
		return mangomodel.Faultf(mangomodel.StepTransfer, mangomodel.PeerName(s.id),
			mangomodel.CodeOverloaded, mangomodel.RunNot, "no free decode slot or too little free KV memory")
	}
	if s.decoding() == 0 {
		s.nextStep = now.Add(s.stepTime(1))
	}
	s.sequences[p.Sequence] = &sequence{prefill: p, build: s.profile.Build, pieces: need, firstOffset: mangomodel.CountTokens(p.Generated)}
	s.order = append(s.order, p.Sequence)
	return nil
}

// openStreamCommand attaches a reader to a sequence and delivers the chunks
// that were generated from the offset on.
type openStreamCommand struct {
	decode mangowire.Decode
	reader *reader
}

// Apply implements [mangoloop.Command].
func (c openStreamCommand) Apply(s *state, _ time.Time) error {
	if s.down() {
		return unreachableFault(s.id)
	}
	seq, ok := s.sequences[c.decode.Sequence]
	if !ok || c.decode.Offset < seq.firstOffset {
		return sequenceNotFound(s.id, mangomodel.StepDecode)
	}
	c.reader.open(seq.prefill.MaxTokens)
	for offset := c.decode.Offset; offset < seq.firstOffset+seq.generated; offset++ {
		c.reader.deliver(s.faults, seq.chunk(offset))
	}
	seq.readers = append(seq.readers, c.reader)
	return nil
}

// cancelCommand discards the result, the decoding and the queued prefill of a
// sequence.
type cancelCommand struct{ sequence mangomodel.Sequence }

// Apply implements [mangoloop.Command].
func (c cancelCommand) Apply(s *state, _ time.Time) error {
	if s.down() {
		return unreachableFault(s.id)
	}
	delete(s.results, c.sequence)
	s.removeSequence(c.sequence)
	s.cancelQueued(c.sequence)
	return nil
}

// injectCommand replaces the active faults.
type injectCommand struct{ faults Faults }

// Apply implements [mangoloop.Command].
func (c injectCommand) Apply(s *state, _ time.Time) error {
	s.faults = c.faults
	return nil
}

// stallCommand stalls the open streams: they deliver no further chunk.
type stallCommand struct{}

// Apply implements [mangoloop.Command].
func (stallCommand) Apply(s *state, _ time.Time) error {
	for _, seq := range s.sequences {
		for _, r := range seq.readers {
			r.stalled = true
		}
	}
	return nil
}

// crashCommand emulates a crash of the engine's process.
type crashCommand struct{}

// Apply implements [mangoloop.Command].
func (crashCommand) Apply(s *state, now time.Time) error {
	s.crash(now)
	return nil
}
