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

// maxFaultBody bounds the bytes read of an error response's body.
const maxFaultBody = 64 << 10

// maxChunk bounds the bytes read for one chunk of a stream. A decoder keeps all of
// them, and a server in trouble may send them without end.
const maxChunk = 1 << 20

// Prefill computes the KV cache of a prompt and returns when it is done.
func (b *Backend) Prefill(ctx context.Context, server mangoconfig.Host, req mangoroute.PrefillRequest) error {
	return b.pooledClient(server).Exchange(ctx, mangomodel.StepPrefill, http.MethodPost, mangowire.PathPrefill,
		mangowire.Prefill{Sequence: req.Sequence, Rank: req.Rank, Prompt: req.Prompt, Generated: req.Generated, MaxTokens: req.MaxTokens}, nil)
}

// Import makes a decode server fetch the KV cache of a sequence from its prefill
// server.
func (b *Backend) Import(ctx context.Context, server mangoconfig.Host, req mangoroute.ImportRequest) error {
	return b.pooledClient(server).Exchange(ctx, mangomodel.StepTransfer, http.MethodPost, mangowire.PathImport,
		mangowire.Import{Sequence: req.Sequence, From: req.From}, nil)
}

// Cancel frees all resources of a server for a sequence.
func (b *Backend) Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error {
	return b.pooledClient(server).Exchange(ctx, mangomodel.StepRelease, http.MethodPost, mangowire.PathCancel,
		mangowire.Cancel{Sequence: seq}, nil)
}

// Load returns a server's load report, and whether the connection was refused.
func (b *Backend) Load(ctx context.Context, server mangoconfig.Host) (mangomodel.Load, bool, error) {
	var in mangowire.Load
	err := b.pooledClient(server).Exchange(ctx, mangomodel.StepProbe, http.MethodGet, mangowire.PathLoad, nil, &in)
	if err != nil {
		return mangomodel.Load{}, mangorest.IsConnectionRefused(err), err
	}
	return mangomodel.Load{
		Server: mangomodel.ServerID(server.ID), Boot: in.Boot, Build: in.Build, At: time.Now(),
		Draining: in.Draining, Running: in.Running, FreePieces: in.FreePieces,
	}, false, nil
}

// Decode starts or resumes the stream of a sequence.
func (b *Backend) Decode(ctx context.Context, server mangoconfig.Host, req mangoroute.DecodeRequest) (mangoroute.Stream, error) {
	body, err := json.Marshal(mangowire.Decode{Sequence: req.Sequence, Rank: req.Rank, MaxTokens: req.MaxTokens, Offset: req.Offset})
	if err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepDecode, mangomodel.PeerName(server.ID),
			mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	client := b.pooledClient(server)
	resp, err := client.Open(ctx, mangomodel.StepDecode, http.MethodPost, mangowire.PathDecode, nil, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxFaultBody))
		if err != nil {
			// What was read may be whole JSON, but is not the whole response.
			return nil, mangomodel.NewFault(mangomodel.StepDecode, mangomodel.PeerName(server.ID),
				mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
		}
		return nil, client.ResponseFault(mangomodel.StepDecode, resp.StatusCode, data)
	}
	s := &stream{server: server, cancel: cancel, body: resp.Body, chunks: make(chan readResult, streamBuffer), ctx: ctx}
	go s.read()
	return s, nil
}

// streamBuffer is how many chunks are buffered for the request's goroutine.
const streamBuffer = 16

// stream is the open response of an engine. A separate goroutine reads it, so
// that Next can time out although a read blocks.
type stream struct {
	server mangoconfig.Host
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	chunks chan readResult
}

type readResult struct {
	chunk mangowire.Chunk
	err   error
}

// Next returns the next chunk. It fails at once when the context of the stream ends.
func (s *stream) Next(timeout time.Duration) (mangoroute.Chunk, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-s.chunks:
		return mangoroute.Chunk(r.chunk), r.err
	case <-s.ctx.Done():
		return mangoroute.Chunk{}, s.connectionFault(context.Cause(s.ctx))
	case <-timer.C:
		return mangoroute.Chunk{}, s.connectionFault(fmt.Errorf("no progress within %v: %w", timeout, context.DeadlineExceeded))
	}
}

// Close closes the stream and ends its reading goroutine.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}

func (s *stream) read() {
	limited := &io.LimitedReader{R: s.body}
	dec := json.NewDecoder(limited)
	for {
		limited.N = maxChunk
		var r readResult
		if err := dec.Decode(&r.chunk); err != nil {
			r.err = s.connectionFault(err)
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

func (s *stream) connectionFault(err error) error {
	return mangomodel.NewFault(mangomodel.StepDecode, mangomodel.PeerName(s.server.ID),
		mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
}
