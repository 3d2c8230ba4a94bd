package mangobroker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// releaseTimeout bounds the giving back of a lease; the next renewal does
	// the same.
	releaseTimeout = 500 * time.Millisecond
	// leastPatience is below what is left of a demand's patience when it is
	// not worth asking another scheduler.
	leastPatience = 5 * time.Millisecond
)

// Fleet is the control state of this daemon.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Peers makes calls to other daemons. A failure to reach one has the code
// Unavailable.
type Peers interface {
	Acquire(ctx context.Context, at mangoroster.Member, id mangolease.ID, d mangolease.Demand) (mangolease.Lease, error)
	Release(ctx context.Context, at mangoroster.Member, r mangofleet.Release) error
	PrefillDone(ctx context.Context, at mangoroster.Member, id mangolease.ID, took time.Duration) error
	Exchange(ctx context.Context, at mangomodel.Address, msg ExchangeMessage) (ExchangeMessage, error)
	// Snapshot returns what a daemon knows beyond what this one does.
	Snapshot(ctx context.Context, at mangomodel.Address, known StateVersion) (Snapshot, error)
	// CancelCalls ends all calls that wait for a daemon.
	CancelCalls(at mangomodel.Address)
}

// Broker finds servers for calls.
type Broker struct {
	self  mangoroster.Member
	fleet Fleet
	peers Peers
	seeds []mangomodel.Address
	log   Observer
	last  atomic.Uint64
	// visits counts the rounds of join, which alone uses it.
	visits int

	regions map[mangomodel.DataCentreID]mangomodel.RegionID
	// fetching wakes the fetcher of snapshots.
	fetching chan struct{}

	// held are the leases of engines that this daemon uses, and offers who
	// knows more. They are registries of traffic and no control
	// state, so a lock guards them.
	mu     sync.Mutex
	held   map[mangolease.ID]*Grant
	offers map[mangomodel.Address]offer
}

// Observer is told about other daemons.
type Observer interface {
	PeerLost(at mangomodel.Address, err error)
	PeerRegained(at mangomodel.Address)
	SchedulerChanged(service mangotraffic.ServiceName, to mangomodel.DaemonID)
	// FetchFailed is called when a daemon did not give a snapshot.
	FetchFailed(at mangomodel.Address, err error)
}

// Option configures a Broker.
type Option func(*Broker)

// WithSeeds sets addresses of other daemons to start from.
func WithSeeds(seeds []mangomodel.Address) Option { return func(b *Broker) { b.seeds = seeds } }

// WithObserver sets who is told about other daemons.
func WithObserver(o Observer) Option { return func(b *Broker) { b.log = o } }

// New returns a Broker.
func New(self mangoroster.Member, fleet Fleet, peers Peers, opts ...Option) *Broker {
	b := &Broker{
		self: self, fleet: fleet, peers: peers, log: silent{}, held: make(map[mangolease.ID]*Grant),
		offers: make(map[mangomodel.Address]offer), fetching: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Grant is a lease in use.
type Grant struct {
	ID    mangolease.ID
	Lease mangolease.Lease

	broker    *Broker
	scheduler mangoroster.Member
	demand    mangolease.Demand
	made      atomic.Int64
	prefilled atomic.Bool

	mu   sync.Mutex
	seen []mangolease.Observed
}

// Observe keeps what an exchange showed for whoever granted the lease.
func (g *Grant) Observe(o mangolease.Observed) {
	if g.scheduler.Holder == g.broker.self.Holder {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen = append(g.seen, o)
}

// AddGenerated counts generated tokens.
func (g *Grant) AddGenerated(n mangomodel.Tokens) { g.made.Add(int64(n)) }

// PrefillDone tells the scheduler that the prefill server is free again; took
// is zero if the prefill failed.
func (g *Grant) PrefillDone(took time.Duration) {
	g.prefilled.Store(true)
	if g.scheduler.Holder == g.broker.self.Holder {
		g.broker.tell(mangofleet.PrefillDone{Lease: g.ID, Took: took})
		return
	}
	g.broker.send(func(ctx context.Context) error {
		return g.broker.peers.PrefillDone(ctx, g.scheduler, g.ID, took)
	})
}

// Release gives the lease back.
func (g *Grant) Release() {
	b := g.broker
	b.mu.Lock()
	delete(b.held, g.ID)
	b.mu.Unlock()
	if g.scheduler.Holder == b.self.Holder {
		b.tell(mangofleet.Release{Lease: g.ID})
		return
	}
	g.mu.Lock()
	release := mangofleet.Release{Lease: g.ID, Seen: g.seen}
	g.mu.Unlock()
	b.send(func(ctx context.Context) error { return b.peers.Release(ctx, g.scheduler, release) })
}

// Acquire waits for servers.
func (b *Broker) Acquire(ctx context.Context, d mangolease.Demand) (*Grant, error) {
	d.Origin = b.self.DataCentre
	id := mangolease.ID{Holder: b.self.Holder, Number: b.last.Add(1)}
	if d.Generation == nil {
		return b.acquireHere(ctx, id, d)
	}
	began := time.Now()
	for {
		asked := time.Now()
		grant, err := b.acquireFrom(ctx, id, b.scheduler(d.Service), d)
		if err == nil {
			b.hold(grant)
			return grant, nil
		}
		if !mangomodel.HasCode(err, mangomodel.CodeUnavailable) || ctx.Err() != nil {
			return nil, err
		}
		spent := time.Since(asked)
		d.Age, d.OnTimeFor, d.Patience = d.Age+spent, d.OnTimeFor-spent, d.Patience-spent
		if d.Patience < leastPatience || time.Since(began) > d.Patience+spent {
			return nil, err
		}
	}
}

// scheduler returns who grants a service's slots: this daemon if it knows of
// no other.
func (b *Broker) scheduler(name mangotraffic.ServiceName) mangoroster.Member {
	if m, ok := b.fleet.View().Scheduler(name); ok {
		return m
	}
	return b.self
}

func (b *Broker) acquireFrom(ctx context.Context, id mangolease.ID, at mangoroster.Member, d mangolease.Demand) (*Grant, error) {
	if at.Holder == b.self.Holder {
		return b.acquireHere(ctx, id, d)
	}
	lease, err := b.peers.Acquire(ctx, at, id, d)
	if err != nil {
		if mangomodel.HasCode(err, mangomodel.CodeUnavailable) && ctx.Err() == nil {
			b.lose(at, err)
		}
		return nil, err
	}
	return &Grant{ID: id, Lease: lease, broker: b, scheduler: at, demand: d}, nil
}

func (b *Broker) acquireHere(ctx context.Context, id mangolease.ID, d mangolease.Demand) (*Grant, error) {
	if err := b.fleet.Do(ctx, mangofleet.Acquire{Lease: id, Demand: d}); err != nil {
		return nil, err
	}
	lease, ok := b.fleet.View().Lease(id)
	if !ok {
		return nil, mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeOverloaded, mangomodel.RunNot, "lease %v is missing", id)
	}
	return &Grant{ID: id, Lease: lease, broker: b, scheduler: b.self, demand: d}, nil
}

func (b *Broker) hold(g *Grant) {
	g.prefilled.Store(g.Lease.Prefill == nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[g.ID] = g
}

// lose passes a daemon over for a while and frees all who wait for it.
func (b *Broker) lose(m mangoroster.Member, err error) {
	b.tell(mangofleet.PeerFailed{Daemon: m.Holder.Daemon})
	b.peers.CancelCalls(m.Address)
	b.log.PeerLost(m.Address, err)
}

// tell applies a command that cannot fail but by the end of the process.
func (b *Broker) tell(cmd mangofleet.Command) { _ = b.fleet.Do(context.Background(), cmd) }

// send makes a call in the background whose loss the next renewal mends.
func (b *Broker) send(call func(ctx context.Context) error) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = call(ctx)
	}()
}

type silent struct{}

func (silent) PeerLost(mangomodel.Address, error)                             {}
func (silent) PeerRegained(mangomodel.Address)                                {}
func (silent) SchedulerChanged(mangotraffic.ServiceName, mangomodel.DaemonID) {}
func (silent) FetchFailed(mangomodel.Address, error)                          {}
