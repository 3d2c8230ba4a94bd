package mangorelay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"syscall"
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

// step scripts the behaviour of a server in one exchange.
type step struct {
	// err fails the send.
	err error
	// status is the response status; zero means 200.
	status      int
	notRun      bool
	refusal     bool
	misdirected bool
	body        string
	// events are sent one per eventInterval. After them, aborted ends the
	// response before completion, and stalls sends nothing more.
	events  []mangotraffic.EventID
	aborted bool
	stalls  bool
	// unframed responses end with their connection.
	unframed bool
	// comments marks the events with id 0 as comments.
	comments bool
	// interval is the time between two events; zero means eventInterval.
	interval time.Duration
	// pause is the idle time after the event pauseAfter.
	pauseAfter mangotraffic.EventID
	pause      time.Duration
	// responseDelay is the time to the response. One with late set arrives at the
	// moment in which the exchange is cancelled, if that is earlier.
	responseDelay time.Duration
	late          bool
	// leaves is set if the response announces that the server leaves, and backoff is the
	// time that it asks for.
	leaves  bool
	backoff time.Duration
}

const (
	// eventInterval is the time between two events.
	eventInterval = 50 * time.Millisecond
	// retryBudget is the number of retries in the budget's window.
	retryBudget = 8
)

var (
	errReset   = errors.New("reset")
	errNoConn  = mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunNot, errors.New("refused"))
	errRefused = mangomodel.NewFault(mangomodel.StepProbe, "", mangomodel.CodeUnavailable, mangomodel.RunNot, syscall.ECONNREFUSED)
	errNoReply = mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, errReset)
)

// fakeServers responds by scripts: the n-th exchange of a server follows its n-th
// step, and later ones repeat the last step.
type fakeServers struct {
	mu             sync.Mutex
	runs           map[mangomodel.ServerID][]step
	prefills       map[mangomodel.ServerID][]step
	sent           []mangomodel.ServerID
	options        []mangoexchange.RunOptions
	releasedCaches []mangotraffic.KVSource
	// unreachable servers fail load reports, and those of silent ones are delayed
	// until a time.
	unreachable map[mangomodel.ServerID]bool
	silentUntil map[mangomodel.ServerID]time.Time
	// ended servers refuse connections.
	ended map[mangomodel.ServerID]bool
	// reports counts all load reports, and connects the connections without a request.
	reports, connects int
	// born is when servers say that they started.
	born time.Time
	// announce receives the announcements in responses.
	announce func(id mangomodel.ServerID, leaves bool, backoff time.Duration)
	// sentAt holds when each exchange of sent began.
	sentAt []time.Time
	// ranks holds the priority of the call in each exchange of sent.
	ranks []mangotraffic.Priority
}

func nextStep(scripts map[mangomodel.ServerID][]step, id mangomodel.ServerID) step {
	list := scripts[id]
	if len(list) == 0 {
		return step{}
	}
	if len(list) > 1 {
		scripts[id] = list[1:]
	}
	return list[0]
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return mangomodel.NewFault(mangomodel.StepCall, "", mangomodel.CodeUnavailable, mangomodel.RunUnknown, ctx.Err())
	}
}

func (s *fakeServers) Run(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call, opts mangoexchange.RunOptions) (*mangoexchange.Response, error) {
	s.mu.Lock()
	x := nextStep(s.runs, to.ID)
	s.sent, s.sentAt = append(s.sent, to.ID), append(s.sentAt, time.Now())
	s.options, s.ranks = append(s.options, opts), append(s.ranks, call.Priority)
	s.mu.Unlock()
	if err := sleep(ctx, x.responseDelay); err != nil && !x.late {
		return nil, err
	}
	s.announceStep(to.ID, x)
	if x.err != nil {
		return nil, x.err
	}
	if x.status == 0 {
		x.status = 200
	}
	resp := &mangoexchange.Response{Head: mangoexchange.Head{Status: x.status}, NotRun: x.notRun, Refusal: x.refusal, Misdirected: x.misdirected, AsksForTime: x.backoff > 0, Unframed: x.unframed}
	if x.events != nil {
		resp.Events = &fakeStream{ctx: ctx, step: x, after: opts.LastEventID}
		return resp, nil
	}
	resp.Body = io.NopCloser(strings.NewReader(x.body))
	if x.aborted {
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(x.body), resetReader{}))
	}
	return resp, nil
}

func (s *fakeServers) announceStep(id mangomodel.ServerID, x step) {
	if x.leaves || x.backoff > 0 {
		s.announce(id, x.leaves, x.backoff)
	}
}

type resetReader struct{}

func (resetReader) Read([]byte) (int, error) { return 0, errReset }

type fakeStream struct {
	ctx   context.Context
	step  step
	after mangotraffic.EventID
}

func (s *fakeStream) Next() (mangotraffic.Event, error) {
	if len(s.step.events) > 0 {
		id := s.step.events[0]
		s.step.events = s.step.events[1:]
		if err := sleep(s.ctx, cmp.Or(s.step.interval, eventInterval)); err != nil {
			return mangotraffic.Event{}, err
		}
		if s.step.pause > 0 && id == s.step.pauseAfter+1 {
			if err := sleep(s.ctx, s.step.pause); err != nil {
				return mangotraffic.Event{}, err
			}
		}
		return mangotraffic.Event{ID: id, Raw: []byte{byte('0' + id)}, Comment: id == 0 && s.step.comments}, nil
	}
	if s.step.stalls {
		<-s.ctx.Done()
		return mangotraffic.Event{}, s.ctx.Err()
	}
	if s.step.aborted {
		return mangotraffic.Event{}, errReset
	}
	return mangotraffic.Event{}, io.EOF
}

func (s *fakeStream) Close() error { return nil }

func (s *fakeServers) Prefill(ctx context.Context, to mangotraffic.Server, call *mangotraffic.Call) (mangotraffic.KVSource, error) {
	s.mu.Lock()
	x := nextStep(s.prefills, to.ID)
	s.ranks = append(s.ranks, call.Priority)
	s.sent, s.sentAt = append(s.sent, to.ID), append(s.sentAt, time.Now())
	s.mu.Unlock()
	if err := sleep(ctx, max(x.responseDelay, 20*time.Millisecond)); err != nil && !x.late {
		return mangotraffic.KVSource{}, err
	}
	s.announceStep(to.ID, x)
	return mangotraffic.KVSource{Server: to.Ref(), Handle: "h"}, x.err
}

func (s *fakeServers) Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	if err := sleep(ctx, time.Until(s.silentUntil[server.ID])); err != nil {
		return mangotraffic.LoadReport{}, err
	}
	if s.unreachable[server.ID] {
		return mangotraffic.LoadReport{}, errNoConn
	}
	if s.ended[server.ID] {
		return mangotraffic.LoadReport{}, errRefused
	}
	return mangotraffic.LoadReport{Born: s.born}, nil
}

func (s *fakeServers) Connect(_ context.Context, server mangotraffic.Server) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connects++
	if s.ended[server.ID] {
		return errRefused
	}
	return nil
}

func (s *fakeServers) ReleaseCache(_ context.Context, source mangotraffic.KVSource) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releasedCaches = append(s.releasedCaches, source)
	return nil
}

// fakeClient records a response.
type fakeClient struct {
	status int
	body   string
	begun  int
	// disconnected fails all writes.
	disconnected bool
}

func (c *fakeClient) Begin(h mangoexchange.Head) error {
	c.begun++
	c.status = h.Status
	return nil
}

func (c *fakeClient) Write(p []byte) error {
	if c.disconnected {
		return errReset
	}
	c.body += string(p)
	return nil
}

// lastResult keeps the record of the last call.
type lastResult struct {
	nopObserver
	result mangoexchange.Result
}

func (r *lastResult) CallFinished(x mangoexchange.Result) { r.result = x }

// harness is a daemon with scripted servers in a synctest bubble.
type harness struct {
	*gomega.WithT
	servers *fakeServers
	fleet   *mangofleet.Fleet
	relay   *Relay
	client  *fakeClient
	call    *mangotraffic.Call
}

func withHarness(t *testing.T, f func(h *harness)) {
	startHarness(t, false, f)
}

// startHarness runs f with a daemon that has received a configuration and a list of
// servers unless it is unsynced.
func startHarness(t *testing.T, unsynced bool, f func(h *harness), opts ...mangofleet.Option) {
	synctest.Test(t, func(t *testing.T) {
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, DataCentre: "a1", Strong: true}
		fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits {
			return mangobudget.Limits{Fixed: retryBudget, Window: 10 * time.Second}
		}, opts...)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go fleet.Run(ctx)
		h := &harness{
			WithT: gomega.NewWithT(t), fleet: fleet, client: &fakeClient{},
			servers: &fakeServers{runs: make(map[mangomodel.ServerID][]step), prefills: make(map[mangomodel.ServerID][]step)},
		}
		h.relay = New(fleet, mangobroker.New(self, fleet, nil), h.servers)
		if !unsynced {
			h.configure()
		}
		h.newCall("/call/")
		f(h)
		synctest.Wait()
		h.Expect(fleet.View().Leases).To(gomega.Equal(0), "every lease is released")
	})
}

func (h *harness) configure() {
	target := func(s mangotraffic.ServiceName) []mangotraffic.Target {
		return []mangotraffic.Target{{Service: s, Weight: 1}}
	}
	second := time.Second
	routing, err := mangotraffic.NewRouting(1, []mangotraffic.Route{
		{Name: "read", Host: "x", Prefix: "/read/", Kind: mangotraffic.KindIdempotent, Timeout: second, TargetLatency: 200 * time.Millisecond, Targets: target("app"), MaxAttempts: 2},
		{Name: "call", Host: "x", Prefix: "/call/", Kind: mangotraffic.KindNonIdempotent, Timeout: second, TargetLatency: 200 * time.Millisecond, Targets: target("app"), MaxAttempts: 1},
		{Name: "resume", Host: "x", Prefix: "/resume/", Kind: mangotraffic.KindStreaming, Timeout: 10 * second, TargetLatency: second, MaxPause: 300 * time.Millisecond, Targets: target("llm"), MaxAttempts: 2, Resumable: true},
		{Name: "once", Host: "x", Prefix: "/once/", Kind: mangotraffic.KindStreaming, Timeout: 10 * second, TargetLatency: second, MaxPause: 300 * time.Millisecond, Targets: target("llm"), MaxAttempts: 1},
		{Name: "batch", Host: "x", Prefix: "/batch/", Kind: mangotraffic.KindIdempotent, Timeout: 10 * second, TargetLatency: second, Targets: target("llm"), MaxAttempts: 1},
		{Name: "feed", Host: "x", Prefix: "/feed/", Kind: mangotraffic.KindStreaming, Timeout: 10 * second, TargetLatency: 200 * time.Millisecond, Targets: target("app"), MaxAttempts: 2, Resumable: true},
	}, []mangotraffic.Service{
		{Name: "app"}, {Name: "llm", Engine: &mangotraffic.Engine{Slots: 4, KVTokens: 10_000, TokensPerEvent: 10, HandleLifetime: 500 * time.Millisecond}},
	}, mangotraffic.Limits{})
	h.Expect(err).NotTo(gomega.HaveOccurred())
	list := []mangotraffic.Server{
		{ID: "s1", Service: "app", DataCentre: "a1", Slots: 4}, {ID: "s2", Service: "app", DataCentre: "a2", Slots: 4},
		{ID: "d1", Service: "llm", DataCentre: "a1", Slots: 4, Stage: mangotraffic.StageDecode},
		{ID: "d2", Service: "llm", DataCentre: "a2", Slots: 4, Stage: mangotraffic.StageDecode},
		{ID: "p1", Service: "llm", DataCentre: "a1", Slots: 4, Stage: mangotraffic.StagePrefill},
		{ID: "p2", Service: "llm", DataCentre: "a2", Slots: 4, Stage: mangotraffic.StagePrefill},
	}
	cmd := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 1}}
	for i := range list {
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: list[i].ID, Server: &list[i]})
	}
	ctx := context.Background()
	h.Expect(h.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	h.Expect(h.fleet.Do(ctx, cmd)).To(gomega.Succeed())
}

// list adds a decode server to the list at a position.
func (h *harness) list(position uint64, id mangomodel.ServerID) {
	server := mangotraffic.Server{ID: id, Service: "llm", DataCentre: "a1", Slots: 4, Stage: mangotraffic.StageDecode}
	cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: position}, Changes: []mangotraffic.ServerChange{{ID: id, Server: &server}}}
	h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

// newCall prepares a call to a route for serve.
func (h *harness) newCall(target string) {
	now := time.Now()
	h.call = &mangotraffic.Call{
		ID: "r", Method: "POST", Target: target, Host: "x", Arrived: now, Deadline: now.Add(12 * time.Second), Content: 7,
		Generation: &mangotraffic.Generation{Prompt: 100, MaxOutput: 100},
	}
}

// serve serves the call and returns its fault, if any.
func (h *harness) serve() *mangomodel.Fault {
	if err := h.relay.Serve(context.Background(), h.call, h.client); err != nil {
		return mangomodel.AsFault(err, mangomodel.StepCall)
	}
	return nil
}
