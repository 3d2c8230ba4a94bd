package mangobackend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangoroute"
	"mangolane/core/mangowire"
)

// maxFaultBody bounds the body of an error answer.
const maxFaultBody = 64 << 10

// Prefill computes the KV cache of a prompt and returns when it is done.
func (b *Backend) Prefill(ctx context.Context, server mangoconfig.Host, o mangoroute.PrefillRequest) error {
	return b.client(server).Exchange(ctx, mangomodel.StepPrefill, http.MethodPost, mangowire.PathPrefill,
		mangowire.Prefill{Sequence: o.Sequence, Rank: o.Rank, Prompt: o.Prompt, Generated: o.Generated, MaxTokens: o.MaxTokens}, nil)
}

// Import moves the KV cache of a sequence from its prefill server.
func (b *Backend) Import(ctx context.Context, server mangoconfig.Host, o mangoroute.ImportRequest) error {
	return b.client(server).Exchange(ctx, mangomodel.StepTransfer, http.MethodPost, mangowire.PathImport,
		mangowire.Import{Sequence: o.Sequence, From: o.From}, nil)
}

// Cancel frees whatever a server holds for a sequence.
func (b *Backend) Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error {
	return b.client(server).Exchange(ctx, mangomodel.StepRelease, http.MethodPost, mangowire.PathCancel,
		mangowire.Cancel{Sequence: seq}, nil)
}

// Load returns a server's report of itself.
func (b *Backend) Load(ctx context.Context, server mangoconfig.Host) (mangomodel.Load, bool, error) {
	var in mangowire.Load
	err := b.client(server).Exchange(ctx, mangomodel.StepProbe, http.MethodGet, mangowire.PathLoad, nil, &in)
	if err != nil {
		return mangomodel.Load{}, mangorest.IsConnectionRefused(err), err
	}
	return mangomodel.Load{
		Server: mangomodel.ServerID(server.ID), Boot: in.Boot, At: time.Now(),
		Draining: in.Draining, Running: in.Running, FreePieces: in.FreePieces,
	}, false, nil
}

// Decode starts or resumes the stream of a sequence.
func (b *Backend) Decode(ctx context.Context, server mangoconfig.Host, o mangoroute.DecodeRequest) (mangoroute.Stream, error) {
	body, err := json.Marshal(mangowire.Decode{Sequence: o.Sequence, Rank: o.Rank, MaxTokens: o.MaxTokens, Offset: o.Offset})
	if err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepDecode, mangomodel.PeerName(server.ID),
			mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	client := b.client(server)
	resp, err := client.Open(ctx, mangomodel.StepDecode, http.MethodPost, mangowire.PathDecode, nil, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxFaultBody))
		return nil, client.ResponseFault(mangomodel.StepDecode, resp.StatusCode, data)
	}
	s := &stream{server: server, cancel: cancel, body: resp.Body, chunks: make(chan received, streamBuffer), ctx: ctx}
	go s.read()
	return s, nil
}

// streamBuffer is how many chunks may wait for the request's goroutine.
const streamBuffer = 16

// stream is an open answer of an engine. One goroutine reads it, so that a
// read that never returns can be given up.
type stream struct {
	server mangoconfig.Host
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	chunks chan received
}

type received struct {
	chunk mangowire.Chunk
	err   error
}

// Next returns the next chunk.
func (s *stream) Next(timeout time.Duration) (mangoroute.Chunk, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-s.chunks:
		return mangoroute.Chunk(r.chunk), r.err
	case <-timer.C:
		return mangoroute.Chunk{}, s.broken(fmt.Errorf("no progress within %v: %w", timeout, context.DeadlineExceeded))
	}
}

// Close ends the stream and its reading goroutine.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}

func (s *stream) read() {
	dec := json.NewDecoder(s.body)
	for {
		var r received
		if err := dec.Decode(&r.chunk); err != nil {
			r.err = s.broken(err)
		}
		select {
		case s.chunks <- r:
		case <-s.ctx.Done():
			return
		}
		if r.err != nil {
			return
		}
	}
}

func (s *stream) broken(err error) error {
	return mangomodel.NewFault(mangomodel.StepDecode, mangomodel.PeerName(s.server.ID),
		mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
}
