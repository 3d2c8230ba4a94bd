package mangoproof_test

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorevision"
	"mangolane/core/mangoroute"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangoengine"
)

// nodeTable accesses the table service from a node over the fake network.
type nodeTable struct{ n *node }

func (t nodeTable) Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	if err := t.n.c.net.reach(ctx, t.n.endpoint, platformEndpoint); err != nil {
		return mangomodel.Row{}, err
	}
	return t.n.c.store.Get(ctx, key)
}

func (t nodeTable) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	if err := t.n.c.net.reach(ctx, t.n.endpoint, platformEndpoint); err != nil {
		return 0, err
	}
	return t.n.c.store.Put(ctx, key, value, expect)
}

// nodeObjects accesses the object store from a node over the fake network.
type nodeObjects struct{ n *node }

func (o nodeObjects) GetObject(ctx context.Context, name mangorevision.ObjectName) ([]byte, error) {
	if err := o.n.c.net.reach(ctx, o.n.endpoint, platformEndpoint); err != nil {
		return nil, err
	}
	return o.n.c.store.GetObject(ctx, string(name))
}

func (o nodeObjects) PutObject(ctx context.Context, name mangorevision.ObjectName, data []byte) error {
	if err := o.n.c.net.reach(ctx, o.n.endpoint, platformEndpoint); err != nil {
		return err
	}
	return o.n.c.store.PutObject(ctx, string(name), data)
}

// nodeHosts reads the host list from a node over the fake network.
type nodeHosts struct{ n *node }

func (h nodeHosts) Leaving(ctx context.Context) ([]mangomodel.ServerID, error) {
	if err := h.n.c.net.reach(ctx, h.n.endpoint, platformEndpoint); err != nil {
		return nil, err
	}
	hosts, err := h.n.c.store.Hosts(ctx)
	var leaving []mangomodel.ServerID
	for _, host := range hosts {
		if host.State == mangomodel.ServerLeaving {
			leaving = append(leaving, mangomodel.ServerID(host.Host))
		}
	}
	return leaving, err
}

// nodeEngines sends requests from a node to the emulated engines over the fake
// network.
type nodeEngines struct{ n *node }

func (e nodeEngines) engine(ctx context.Context, server mangoconfig.Host) (*mangoengine.Engine, error) {
	id := mangomodel.ServerID(server.ID)
	if err := e.n.c.net.reach(ctx, e.n.endpoint, endpoint(id)); err != nil {
		return nil, err
	}
	return e.n.c.engines[id], nil
}

func (e nodeEngines) Prefill(ctx context.Context, server mangoconfig.Host, req mangoroute.PrefillRequest) error {
	engine, err := e.engine(ctx, server)
	if err != nil {
		return err
	}
	return engine.Prefill(ctx, mangowire.Prefill{
		Sequence: req.Sequence, Rank: req.Rank, Prompt: req.Prompt, Generated: req.Generated, MaxTokens: req.MaxTokens,
	})
}

func (e nodeEngines) Import(ctx context.Context, server mangoconfig.Host, req mangoroute.ImportRequest) error {
	engine, err := e.engine(ctx, server)
	if err != nil {
		return err
	}
	return engine.Import(ctx, req.Sequence, e.n.c.byAddress[req.From])
}

func (e nodeEngines) Decode(ctx context.Context, server mangoconfig.Host, req mangoroute.DecodeRequest) (mangoroute.Stream, error) {
	engine, err := e.engine(ctx, server)
	if err != nil {
		return nil, err
	}
	s, err := engine.Decode(ctx, mangowire.Decode{Sequence: req.Sequence, Rank: req.Rank, MaxTokens: req.MaxTokens, Offset: req.Offset})
	if err != nil {
		return nil, err
	}
	return nodeStream{s}, nil
}

func (e nodeEngines) Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error {
	engine, err := e.engine(ctx, server)
	if err != nil {
		return err
	}
	return engine.Cancel(ctx, seq)
}

func (e nodeEngines) Load(ctx context.Context, server mangoconfig.Host) (mangomodel.Load, bool, error) {
	engine, err := e.engine(ctx, server)
	if err != nil {
		return mangomodel.Load{}, false, err
	}
	load, err := engine.Load()
	if err != nil {
		return mangomodel.Load{}, true, err
	}
	return mangomodel.Load{
		Server: mangomodel.ServerID(server.ID), Boot: load.Boot, Build: load.Build, At: time.Now(),
		Draining: load.Draining, Running: load.Running, FreePieces: load.FreePieces,
	}, false, nil
}

// nodeStream adapts the stream of an emulated engine to [mangoroute.Stream].
type nodeStream struct{ s *mangoengine.Stream }

func (s nodeStream) Next(timeout time.Duration) (mangoroute.Chunk, error) {
	c, err := s.s.Next(timeout)
	return mangoroute.Chunk(c), err
}

func (s nodeStream) Close() error { return s.s.Close() }

// nodeServices sends calls from a node to the plain services over the fake
// network.
type nodeServices struct{ n *node }

func (s nodeServices) Send(ctx context.Context, server mangoconfig.Host, call mangoentry.OutgoingCall) (mangoentry.Response, error) {
	peer := mangomodel.PeerName(server.ID)
	if err := s.n.c.net.reach(ctx, s.n.endpoint, endpoint(server.ID)); err != nil {
		return mangoentry.Response{}, err
	}
	if s.n.c.recorder.Counts().Faults().Down {
		return mangoentry.Response{}, mangomodel.Faultf(mangomodel.StepCall, peer,
			mangomodel.CodeUnavailable, mangomodel.RunNot, "connection refused")
	}
	body, err := s.n.c.recorder.Call(ctx, call.Path, call.Body)
	if err != nil || s.n.c.recorder.Counts().Faults().LoseAnswers {
		return mangoentry.Response{}, mangomodel.Faultf(mangomodel.StepCall, peer,
			mangomodel.CodeUnavailable, mangomodel.RunUnknown, "connection lost before the response: %v", err)
	}
	return mangoentry.Response{Status: 200, Body: body}, nil
}

// observer records the results of requests and counts prefilled tokens.
type observer struct {
	mu              sync.Mutex
	results         []mangoroute.Result
	prefill, wasted mangomodel.Tokens
}

func (o *observer) RequestFinished(r mangoroute.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
}

func (o *observer) PrefillDone(n mangomodel.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prefill += n
}

func (o *observer) PrefillWasted(n mangomodel.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wasted += n
}

type nopTracer struct{}

func (nopTracer) Start(ctx context.Context, _ mangomodel.Step, _ mangomodel.PeerName) (context.Context, func(error)) {
	return ctx, func(error) {}
}

type nopReporter struct{}

func (nopReporter) ExchangeFailed(mangomodel.Step, error) {}

type goBackground struct{}

func (goBackground) Go(f func()) { go f() }
