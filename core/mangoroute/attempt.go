package mangoroute

import (
	"context"
	"errors"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

const (
	// prefillSlack is added to the predicted time of a prefill before it
	// counts as stalled.
	prefillSlack = 3 * time.Second
	// transferTimeout bounds a transfer. A prefill's result survives under a
	// second, so a transfer that takes longer has nothing left to move.
	transferTimeout = time.Second
	// progressTimeout is how long a stream may deliver nothing before its
	// connection counts as silent.
	progressTimeout = 2 * time.Second
	// measuredTokens is how many tokens make a step time worth reporting.
	measuredTokens = 8
	// maxResumes bounds the new connections to the same decode server.
	maxResumes = 2
)

// attempt is one attempt of a request under a grant.
type attempt struct {
	lease lease
	run   *run
	usage mangomodel.Usage
	// prefilled and decoded are set when the prefill has completed and when
	// the first chunk of the decode has arrived.
	prefilled, decoded bool
	// began and tokens measure the decode.
	began  time.Time
	tokens mangomodel.Tokens
	// avoidBefore are the servers to avoid if nobody is to blame.
	avoidBefore []mangomodel.ServerID
}

// server returns the announcement of a granted server.
func (g *Generator) server(step mangomodel.Step, id mangomodel.ServerID) (mangoconfig.Host, error) {
	h, ok := g.control.Snapshot().Server(id)
	if !ok {
		return h, mangomodel.Faultf(step, mangomodel.PeerName(id), mangomodel.CodeUnavailable, mangomodel.RunUnknown,
			"the server is no longer configured")
	}
	return h, nil
}

// prefill computes the KV cache of the prompt and of what was generated.
func (g *Generator) prefill(ctx context.Context, a *attempt) error {
	grant := a.lease.grant
	server, err := g.server(mangomodel.StepPrefill, grant.Prefill)
	if err != nil {
		return err
	}
	stepCtx, cancel := context.WithTimeout(ctx, 2*grant.Expected+prefillSlack)
	defer cancel()
	stepCtx, end := g.tracer.Start(stepCtx, mangomodel.StepPrefill, mangomodel.PeerName(grant.Prefill))
	started := time.Now()
	err = g.engines.Prefill(stepCtx, server, PrefillRequest{
		Sequence: grant.Sequence, Rank: grant.Rank,
		Prompt: a.run.request.Prompt, Generated: string(a.run.generated), MaxTokens: a.run.request.MaxTokens,
	})
	end(err)
	if err != nil {
		a.blame(ctx, err, grant.Prefill)
		return err
	}
	a.prefilled = true
	a.usage.PrefillTokens = mangomodel.CountTokens(a.run.request.Prompt) + a.run.next
	a.usage.PrefillTime = time.Since(started)
	g.observer.PrefillDone(a.usage.PrefillTokens)
	return nil
}

// transfer moves the KV cache to the decode server.
func (g *Generator) transfer(ctx context.Context, a *attempt) error {
	grant := a.lease.grant
	from, err := g.server(mangomodel.StepTransfer, grant.Prefill)
	if err != nil {
		return err
	}
	to, err := g.server(mangomodel.StepTransfer, grant.Decode)
	if err != nil {
		return err
	}
	stepCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	stepCtx, end := g.tracer.Start(stepCtx, mangomodel.StepTransfer, mangomodel.PeerName(grant.Decode))
	err = g.engines.Import(stepCtx, to, ImportRequest{Sequence: grant.Sequence, From: from.Address})
	end(err)
	if err != nil {
		a.blame(ctx, err, grant.Prefill, grant.Decode)
	}
	return err
}

// decode streams the answer, over a new connection when one falls silent.
func (g *Generator) decode(ctx context.Context, a *attempt) error {
	server, err := g.server(mangomodel.StepDecode, a.lease.grant.Decode)
	if err != nil {
		return err
	}
	ctx, end := g.tracer.Start(ctx, mangomodel.StepDecode, mangomodel.PeerName(a.lease.grant.Decode))
	a.began = time.Now()
	for resumes := 0; ; resumes++ {
		err = g.stream(ctx, a, server)
		if err == nil || ctx.Err() != nil || resumes >= maxResumes || mangomodel.HasCode(err, mangomodel.CodeNotFound) {
			break
		}
	}
	end(err)
	if a.tokens >= measuredTokens {
		a.usage.StepTime = time.Since(a.began) / time.Duration(a.tokens)
	}
	if err != nil && !mangomodel.HasCode(err, mangomodel.CodeCancelled) {
		a.blame(ctx, err, a.lease.grant.Decode)
	}
	return err
}

// stream passes on the chunks of one connection.
func (g *Generator) stream(ctx context.Context, a *attempt, server mangoconfig.Host) error {
	r := a.run
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := g.open(ctx, cancel, server, DecodeRequest{
		Sequence: a.lease.grant.Sequence, Rank: r.request.Rank, MaxTokens: r.request.MaxTokens, Offset: r.next,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for !r.done {
		chunk, err := s.Next(progressTimeout)
		if err != nil {
			return err
		}
		if err := a.accept(chunk); err != nil {
			return err
		}
	}
	return nil
}

// open opens a stream. A server that does not answer within progressTimeout is
// given up by cancelling the stream's context, which else outlives the opening.
func (g *Generator) open(ctx context.Context, cancel func(), server mangoconfig.Host, req DecodeRequest) (Stream, error) {
	timer := time.AfterFunc(progressTimeout, cancel)
	s, err := g.engines.Decode(ctx, server, req)
	if timer.Stop() || err == nil {
		return s, err
	}
	return nil, mangomodel.Faultf(mangomodel.StepDecode, mangomodel.PeerName(server.ID), mangomodel.CodeUnavailable,
		mangomodel.RunUnknown, "no answer within %v: %w", progressTimeout, context.DeadlineExceeded)
}

// accept passes a chunk on if it is the next one of this attempt. A chunk of
// another request or attempt, or one that was passed on already, is dropped.
func (a *attempt) accept(c Chunk) error {
	r := a.run
	seq := a.lease.grant.Sequence
	if c.Request != seq.Request || c.Attempt != seq.Attempt || c.Offset < r.next {
		return nil
	}
	peer := mangomodel.PeerName(a.lease.grant.Decode)
	if c.Offset > r.next {
		return mangomodel.Faultf(mangomodel.StepDecode, peer, mangomodel.CodeBackend, mangomodel.RunUnknown,
			"chunk %d arrived where %d was due", c.Offset, r.next)
	}
	a.decoded = true
	if err := r.sink.Token(c.Offset, c.Text); err != nil {
		return mangomodel.NewFault(mangomodel.StepRespond, "", mangomodel.CodeCancelled, mangomodel.RunUnknown, err)
	}
	r.passed(c)
	a.tokens++
	return nil
}

// passed notes a chunk that reached the sink.
func (r *run) passed(c Chunk) {
	r.last = time.Now()
	if r.first.IsZero() {
		r.first = r.last
	}
	r.generated = append(r.generated, c.Text...)
	r.next++
	r.done = c.Last
}

// blame notes the servers whose failure ended the attempt. Nobody is to blame
// when the caller went away. A server whose connection broke may have crashed;
// one that was only slow has not.
func (a *attempt) blame(ctx context.Context, err error, ids ...mangomodel.ServerID) {
	if ctx.Err() != nil {
		return
	}
	a.run.avoid = append(a.run.avoid, ids...)
	if len(ids) == 1 && !errors.Is(err, context.DeadlineExceeded) && mangomodel.HasCode(err, mangomodel.CodeUnavailable) {
		a.usage.Failed = ids[0]
	}
}
