package mangoengine

import (
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// prefillCommand queues a prefill and is answered when it is done.
type prefillCommand struct{ job *job }

// Await keeps the reply until the prefill is done.
func (c prefillCommand) Await(_ *state, r mangoloop.Reply) { c.job.reply = r }

// Apply implements [mangoloop.Command].
func (c prefillCommand) Apply(s *state, now time.Time) error {
	if s.down() {
		return unreachable(s.id)
	}
	rank := c.job.prefill.Rank
	s.queue[rank] = append(s.queue[rank], c.job)
	s.startPrefill(now)
	return nil
}

// exportCommand takes a result out of the engine.
type exportCommand struct {
	sequence mangomodel.Sequence
	exported *mangowire.Exported
}

// Apply implements [mangoloop.Command].
func (c exportCommand) Apply(s *state, _ time.Time) error {
	if s.down() {
		return unreachable(s.id)
	}
	r, ok := s.results[c.sequence]
	if !ok {
		return notHere(s.id, mangomodel.StepTransfer)
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
		return unreachable(s.id)
	}
	p := c.prefill
	need := mangomodel.PiecesFor(mangomodel.CountTokens(p.Prompt)+p.MaxTokens, s.profile.PieceTokens)
	if s.decoding() >= int(s.profile.Slots) || s.usedPieces()+need > s.profile.Pieces {
		return mangomodel.Faultf(mangomodel.StepTransfer, mangomodel.PeerName(s.id),
			mangomodel.CodeOverloaded, mangomodel.RunNot, "no slot or no memory is free")
	}
	if s.decoding() == 0 {
		s.nextStep = now.Add(s.stepTime(1))
	}
	s.sequences[p.Sequence] = &sequence{prefill: p, pieces: need, first: mangomodel.CountTokens(p.Generated)}
	s.order = append(s.order, p.Sequence)
	return nil
}

// readCommand opens a stream.
type readCommand struct {
	decode mangowire.Decode
	reader *reader
}

// Apply implements [mangoloop.Command].
func (c readCommand) Apply(s *state, _ time.Time) error {
	if s.down() {
		return unreachable(s.id)
	}
	seq, ok := s.sequences[c.decode.Sequence]
	if !ok || c.decode.Offset < seq.first {
		return notHere(s.id, mangomodel.StepDecode)
	}
	c.reader.open(seq.prefill.MaxTokens)
	for offset := c.decode.Offset; offset < seq.first+seq.produced; offset++ {
		c.reader.deliver(s.faults, seq.chunk(offset))
	}
	seq.readers = append(seq.readers, c.reader)
	return nil
}

// cancelCommand frees whatever is held for a sequence.
type cancelCommand struct{ sequence mangomodel.Sequence }

// Apply implements [mangoloop.Command].
func (c cancelCommand) Apply(s *state, _ time.Time) error {
	if s.down() {
		return unreachable(s.id)
	}
	delete(s.results, c.sequence)
	s.drop(c.sequence)
	s.unqueue(c.sequence)
	return nil
}

// injectCommand switches faults.
type injectCommand struct{ faults Faults }

// Apply implements [mangoloop.Command].
func (c injectCommand) Apply(s *state, _ time.Time) error {
	s.faults = c.faults
	return nil
}

// silenceCommand makes the open streams deliver nothing more.
type silenceCommand struct{}

// Apply implements [mangoloop.Command].
func (silenceCommand) Apply(s *state, _ time.Time) error {
	for _, seq := range s.sequences {
		for _, r := range seq.readers {
			r.silent = true
		}
	}
	return nil
}

// crashCommand ends the engine's process.
type crashCommand struct{}

// Apply implements [mangoloop.Command].
func (crashCommand) Apply(s *state, now time.Time) error {
	s.crash(now)
	return nil
}
