package mangobroker

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const service mangotraffic.ServiceName = "llm"

// lowCapacity is a daemon without the capacity to schedule. It schedules only when
// it is alone.
const lowCapacity mangomodel.DaemonID = "weak"

// mesh connects daemons in one process. Calls from and to a daemon that is down
// get no response.
type mesh struct {
	mu      sync.Mutex
	daemons map[mangomodel.Address]*daemon
	down    map[mangomodel.Address]bool
	// pending holds the cancel functions of the pending calls by callee.
	pending map[mangomodel.Address][]context.CancelFunc
	// fetches counts the snapshots that were fetched from each daemon.
	fetches map[mangomodel.Address]int
	// asks counts the asks for quotas.
	asks int
	// delay is how long responses to exchange messages are under way.
	delay time.Duration
	// options configure the fleets that are started next.
	options []mangofleet.Option
	// records counts the load records in exchange messages.
	records int
}

type daemon struct {
	broker *Broker
	fleet  *mangofleet.Fleet
	stop   context.CancelFunc
}

type link struct {
	mesh *mesh
	from mangomodel.Address
}

var errUnreachable = mangomodel.Faultf(mangomodel.StepProbe, "", mangomodel.CodeUnavailable, mangomodel.RunNot, "unreachable")

func (l link) reach(ctx context.Context, at mangomodel.Address) (*daemon, context.Context, error) {
	l.mesh.mu.Lock()
	d, ok := l.mesh.daemons[at]
	down := !ok || l.mesh.down[at] || l.mesh.down[l.from]
	ctx, cancel := context.WithCancel(ctx)
	l.mesh.pending[at] = append(l.mesh.pending[at], cancel)
	l.mesh.mu.Unlock()
	if !down {
		return d, ctx, nil
	}
	<-ctx.Done()
	return nil, ctx, errUnreachable
}

func (l link) Acquire(ctx context.Context, at mangoroster.Member, id mangolease.ID, d mangolease.Demand) (mangolease.Lease, error) {
	other, ctx, err := l.reach(ctx, at.Address)
	if err != nil {
		return mangolease.Lease{}, err
	}
	if err := other.fleet.Do(ctx, mangofleet.Acquire{Lease: id, Demand: d}); err != nil {
		if ctx.Err() != nil {
			err = errUnreachable
		}
		return mangolease.Lease{}, err
	}
	lease, _ := other.fleet.View().Lease(id)
	return lease, nil
}

func (l link) Release(ctx context.Context, at mangoroster.Member, r mangofleet.Release) error {
	other, ctx, err := l.reach(ctx, at.Address)
	if err != nil {
		return err
	}
	return other.fleet.Do(ctx, r)
}

func (l link) PrefillDone(ctx context.Context, at mangoroster.Member, id mangolease.ID, took time.Duration) error {
	other, ctx, err := l.reach(ctx, at.Address)
	if err != nil {
		return err
	}
	return other.fleet.Do(ctx, mangofleet.PrefillDone{Lease: id, Took: took})
}

func (l link) Exchange(ctx context.Context, at mangomodel.Address, msg ExchangeMessage) (ExchangeMessage, error) {
	other, ctx, err := l.reach(ctx, at)
	if err != nil {
		return ExchangeMessage{}, err
	}
	response, err := other.broker.Receive(ctx, msg)
	l.mesh.mu.Lock()
	l.mesh.records += len(msg.Loads) + len(response.Loads)
	l.mesh.mu.Unlock()
	select {
	case <-time.After(l.mesh.delay):
	case <-ctx.Done():
	}
	return response, err
}

func (l link) AskQuota(ctx context.Context, at mangomodel.Address, ask mangofleet.QuotaAsk) ([]mangoquota.Answer, error) {
	other, ctx, err := l.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	l.mesh.mu.Lock()
	l.mesh.asks++
	l.mesh.mu.Unlock()
	if err := other.fleet.Do(ctx, mangofleet.GrantQuota{Ask: ask}); err != nil {
		return nil, err
	}
	answers := other.fleet.View().QuotaReply(ask.Holder).Answers
	select {
	case <-time.After(l.mesh.delay):
	case <-ctx.Done():
	}
	return answers, nil
}

func (l link) Snapshot(ctx context.Context, at mangomodel.Address, have StateVersion) (Snapshot, error) {
	other, _, err := l.reach(ctx, at)
	if err != nil {
		return Snapshot{}, err
	}
	l.mesh.mu.Lock()
	l.mesh.fetches[at]++
	l.mesh.mu.Unlock()
	return other.broker.Snapshot(have), nil
}

func (l link) CancelCalls(at mangomodel.Address) {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	for _, cancel := range l.mesh.pending[at] {
		cancel()
	}
	l.mesh.pending[at] = nil
}

// set changes whether a daemon is down.
func (m *mesh) set(at mangomodel.Address, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[at] = down
}

// start runs a daemon of data centre a1 with the given seeds.
func (m *mesh) start(id mangomodel.DaemonID, incarnation mangomodel.Incarnation, seeds ...mangomodel.Address) *daemon {
	return m.startAt("a1", id, incarnation, seeds...)
}

// regions are the regions of the data centres.
var regions = map[mangomodel.DataCentreID]mangomodel.RegionID{"a1": "a", "a2": "a", "b1": "b"}

// startAt runs a daemon of the given data centre.
func (m *mesh) startAt(dc mangomodel.DataCentreID, id mangomodel.DaemonID, incarnation mangomodel.Incarnation, seeds ...mangomodel.Address) *daemon {
	self := mangoroster.Member{
		Holder: mangomodel.Holder{Daemon: id, Incarnation: incarnation}, DataCentre: dc,
		Address: mangomodel.Address(id), Strong: id != lowCapacity,
	}
	fleet := mangofleet.New(mangofleet.Self{
		Member: self, Regions: regions,
	}, func() mangobudget.Limits { return mangobudget.Limits{Window: 10 * time.Second} }, m.options...)
	d := &daemon{fleet: fleet, broker: New(self, fleet, link{m, self.Address}, WithSeeds(seeds), WithRegions(regions))}
	m.mu.Lock()
	m.daemons[self.Address] = d
	m.mu.Unlock()
	var ctx context.Context
	ctx, d.stop = context.WithCancel(context.Background())
	go fleet.Run(ctx)
	go d.broker.Run(ctx)
	return d
}

// configure installs a configuration and a list of servers in a daemon.
func (d *daemon) configure(g *gomega.WithT) {
	routing, err := mangotraffic.NewRouting(3, nil, []mangotraffic.Service{
		{Name: service, Engine: &mangotraffic.Engine{Slots: 2, KVTokens: 10_000, TokensPerEvent: 1}},
	}, mangotraffic.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	d.readList(g)
}

// readList makes a daemon's list current, as a read of the platform does.
func (d *daemon) readList(g *gomega.WithT) {
	decode := mangotraffic.Server{ID: "d", Service: service, DataCentre: "a1", Stage: mangotraffic.StageDecode, Slots: 2}
	prefill := mangotraffic.Server{ID: "p", Service: service, DataCentre: "a1", Stage: mangotraffic.StagePrefill, Slots: 2}
	g.Expect(d.fleet.Do(context.Background(), mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 9}, Changes: []mangotraffic.ServerChange{
		{ID: "d", Server: &decode}, {ID: "p", Server: &prefill},
	}})).To(gomega.Succeed())
}

// keepCurrent reads the list for all daemons until ctx ends.
func keepCurrent(g *gomega.WithT, ctx context.Context, daemons ...*daemon) {
	go func() {
		for {
			for _, d := range daemons {
				d.readList(g)
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
}

func bubble(t *testing.T, f func(g *gomega.WithT, ctx context.Context, m *mesh)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{
			daemons: make(map[mangomodel.Address]*daemon), down: make(map[mangomodel.Address]bool),
			pending: make(map[mangomodel.Address][]context.CancelFunc),
			fetches: make(map[mangomodel.Address]int),
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
			for at, d := range m.daemons {
				d.stop()
				link{mesh: m}.CancelCalls(at)
			}
			synctest.Wait()
		}()
		f(gomega.NewWithT(t), ctx, m)
	})
}

func (d *daemon) scheduler() mangomodel.DaemonID {
	m, _ := d.fleet.View().Scheduler(service)
	return m.Holder.Daemon
}

func demand() mangolease.Demand {
	return mangolease.Demand{
		Service: service, Generation: &mangotraffic.Generation{Prompt: 10, MaxOutput: 10},
		OnTimeFor: 2 * time.Second, Patience: 3 * time.Second,
	}
}
