package mangorelay

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobroker"
	"mangolane/core/mangobudget"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// step is what a scripted server does with one exchange.
type step struct {
	// err fails the send.
	err error
	// status is the answer's; zero means 200.
	status int
	notRun bool
	moved  bool
	body   string
	// events are sent each eventTime; cut ends the stream without its end, and
	// silent stops sending.
	events []mangotraffic.EventID
	cut    bool
	silent bool
	// pause is a silence after the event pauseAfter.
	pauseAfter mangotraffic.EventID
	pause      time.Duration
	// slow is the time to the answer.
	slow time.Duration
}

const (
	// eventTime is the time between two events.
	eventTime = 50 * time.Millisecond
	// repeats is the retry budget.
	repeats = 8
)

var (
	errReset   = errors.New("reset")
	errNoConn  = mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunNot, errors.New("refused"))
	errNoReply = mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, errReset)
)

// servers answers by scripts: the n-th exchange of a server does its n-th step,
// and the last step again after that.
type servers struct {
	mu       sync.Mutex
	runs     map[mangomodel.ServerID][]step
	prefills map[mangomodel.ServerID][]step
	sent     []mangomodel.ServerID
	options  []mangoexchange.RunOptions
	freed    []mangotraffic.KVSource
	// dead servers do not report.
	dead map[mangomodel.ServerID]bool
}

func next(scripts map[mangomodel.ServerID][]step, id mangomodel.ServerID) step {
	list := scripts[id]
	if len(list) == 0 {
		return step{}
	}
	if len(list) > 1 {
		scripts[id] = list[1:]
	}
	return list[0]
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, ctx.Err())
	}
}

func (s *servers) Run(ctx context.Context, to mangotraffic.Server, _ *mangotraffic.Call, opts mangoexchange.RunOptions) (*mangoexchange.Response, error) {
	s.mu.Lock()
	x := next(s.runs, to.ID)
	s.sent = append(s.sent, to.ID)
	s.options = append(s.options, opts)
	s.mu.Unlock()
	if err := pause(ctx, x.slow); err != nil {
		return nil, err
	}
	if x.err != nil {
		return nil, x.err
	}
	if x.status == 0 {
		x.status = 200
	}
	a := &mangoexchange.Response{Head: mangoexchange.Head{Status: x.status}, NotRun: x.notRun, Misdirected: x.moved}
	if x.events != nil {
		a.Events = &stream{ctx: ctx, step: x, after: opts.LastEventID}
		return a, nil
	}
	a.Body = io.NopCloser(strings.NewReader(x.body))
	if x.cut {
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader(x.body), broken{}))
	}
	return a, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errReset }

type stream struct {
	ctx   context.Context
	step  step
	after mangotraffic.EventID
}

func (s *stream) Next() (mangotraffic.Event, error) {
	if len(s.step.events) > 0 {
		id := s.step.events[0]
		s.step.events = s.step.events[1:]
		if err := pause(s.ctx, eventTime); err != nil {
			return mangotraffic.Event{}, err
		}
		if s.step.pause > 0 && id == s.step.pauseAfter+1 {
			if err := pause(s.ctx, s.step.pause); err != nil {
				return mangotraffic.Event{}, err
			}
		}
		return mangotraffic.Event{ID: id, Raw: []byte{byte('0' + id)}}, nil
	}
	if s.step.silent {
		<-s.ctx.Done()
		return mangotraffic.Event{}, s.ctx.Err()
	}
	if s.step.cut {
		return mangotraffic.Event{}, errReset
	}
	return mangotraffic.Event{}, io.EOF
}

func (s *stream) Close() error { return nil }

func (s *servers) Prefill(ctx context.Context, to mangotraffic.Server, _ *mangotraffic.Call) (mangotraffic.KVSource, error) {
	s.mu.Lock()
	x := next(s.prefills, to.ID)
	s.sent = append(s.sent, to.ID)
	s.mu.Unlock()
	if err := pause(ctx, 20*time.Millisecond); err != nil {
		return mangotraffic.KVSource{}, err
	}
	return mangotraffic.KVSource{Server: mangomodel.Address(to.ID), Handle: "h"}, x.err
}

func (s *servers) Report(_ context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead[server.ID] {
		return mangotraffic.LoadReport{}, errNoConn
	}
	return mangotraffic.LoadReport{}, nil
}

func (s *servers) Free(_ context.Context, source mangotraffic.KVSource) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, source)
	return nil
}

// client takes an answer.
type client struct {
	status int
	body   string
	begun  int
	gone   bool
}

func (c *client) Begin(h mangoexchange.Head) error {
	c.begun++
	c.status = h.Status
	return nil
}

func (c *client) Write(p []byte) error {
	if c.gone {
		return errReset
	}
	c.body += string(p)
	return nil
}

// world is a daemon before scripted servers, in a bubble.
type world struct {
	*gomega.WithT
	servers *servers
	fleet   *mangofleet.Fleet
	relay   *Relay
	client  *client
	call    *mangotraffic.Call
}

func play(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, DataCentre: "a1", Strong: true}
		fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits {
			return mangobudget.Limits{Fixed: repeats, Window: 10 * time.Second}
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go fleet.Run(ctx)
		w := &world{
			WithT: gomega.NewWithT(t), fleet: fleet, client: &client{},
			servers: &servers{runs: make(map[mangomodel.ServerID][]step), prefills: make(map[mangomodel.ServerID][]step)},
		}
		w.relay = New(fleet, mangobroker.New(self, fleet, nil), w.servers)
		w.configure()
		w.path("/call/")
		f(w)
		synctest.Wait()
		w.Expect(fleet.View().Leases).To(gomega.Equal(0), "every lease is given back")
	})
}

func (w *world) configure() {
	target := func(s mangotraffic.ServiceName) []mangotraffic.Target {
		return []mangotraffic.Target{{Service: s, Weight: 1}}
	}
	second := time.Second
	routing, err := mangotraffic.NewRouting(1, []mangotraffic.Route{
		{Name: "read", Host: "x", Prefix: "/read/", Kind: mangotraffic.KindIdempotent, Timeout: second, TargetLatency: 200 * time.Millisecond, Targets: target("app"), MaxAttempts: 2},
		{Name: "call", Host: "x", Prefix: "/call/", Kind: mangotraffic.KindNonIdempotent, Timeout: second, TargetLatency: 200 * time.Millisecond, Targets: target("app"), MaxAttempts: 1},
		{Name: "resume", Host: "x", Prefix: "/resume/", Kind: mangotraffic.KindStreaming, Timeout: 10 * second, TargetLatency: second, MaxPause: 300 * time.Millisecond, Targets: target("llm"), MaxAttempts: 2, Resumable: true},
		{Name: "once", Host: "x", Prefix: "/once/", Kind: mangotraffic.KindStreaming, Timeout: 10 * second, TargetLatency: second, MaxPause: 300 * time.Millisecond, Targets: target("llm"), MaxAttempts: 1},
	}, []mangotraffic.Service{
		{Name: "app"}, {Name: "llm", Engine: &mangotraffic.Engine{Slots: 4, KVTokens: 10_000, TokensPerEvent: 10, HandleLifetime: 500 * time.Millisecond}},
	}, mangotraffic.Limits{})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	list := []mangotraffic.Server{
		{ID: "s1", Service: "app", DataCentre: "a1", Slots: 4}, {ID: "s2", Service: "app", DataCentre: "a2", Slots: 4},
		{ID: "d1", Service: "llm", DataCentre: "a1", Slots: 4, Stage: mangotraffic.StageDecode},
		{ID: "d2", Service: "llm", DataCentre: "a2", Slots: 4, Stage: mangotraffic.StageDecode},
		{ID: "p1", Service: "llm", DataCentre: "a1", Slots: 4, Stage: mangotraffic.StagePrefill},
		{ID: "p2", Service: "llm", DataCentre: "a2", Slots: 4, Stage: mangotraffic.StagePrefill},
	}
	cmd := mangofleet.ChangeServers{Full: true, Cursor: 1}
	for i := range list {
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: list[i].ID, Server: &list[i]})
	}
	ctx := context.Background()
	w.Expect(w.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	w.Expect(w.fleet.Do(ctx, cmd)).To(gomega.Succeed())
}

// path makes the next call one of a route.
func (w *world) path(target string) {
	now := time.Now()
	w.call = &mangotraffic.Call{
		ID: "r", Method: "POST", Target: target, Host: "x", Arrived: now, Deadline: now.Add(12 * time.Second), Fingerprint: 7,
		Generation: &mangotraffic.Generation{Prompt: 100, MaxOutput: 100},
	}
}

// serve serves the call and returns its fault, if any.
func (w *world) serve() *mangomodel.Fault {
	if err := w.relay.Serve(context.Background(), w.call, w.client); err != nil {
		return mangomodel.AsFault(err, mangomodel.StepCall)
	}
	return nil
}
