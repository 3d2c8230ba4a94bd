package mangobroker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangopool"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// releaseTimeout bounds the release of a lease. If the release fails, the
	// next renewal has the same effect.
	releaseTimeout = 500 * time.Millisecond
	// minWaitLimit is the remaining wait limit below which a demand is not sent
	// to another scheduler.
	minWaitLimit = 5 * time.Millisecond
)

// Fleet is the control state of this daemon.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
	QuotaWanted() <-chan struct{}
}

// Peers calls other daemons. If a daemon is unreachable, the error has the code
// Unavailable.
type Peers interface {
	Acquire(ctx context.Context, at mangoroster.Member, id mangolease.ID, d mangolease.Demand) (mangolease.Lease, error)
	Release(ctx context.Context, at mangoroster.Member, r mangofleet.Release) error
	PrefillDone(ctx context.Context, at mangoroster.Member, id mangolease.ID, took time.Duration) error
	Exchange(ctx context.Context, at mangomodel.Address, msg ExchangeMessage) (ExchangeMessage, error)
	// AskQuota asks the accountant for the costs of calls that wait.
	AskQuota(ctx context.Context, at mangomodel.Address, ask mangofleet.QuotaAsk) ([]mangoquota.Answer, error)
	// Snapshot returns the state of a daemon that is newer than have.
	Snapshot(ctx context.Context, at mangomodel.Address, have StateVersion) (Snapshot, error)
	// CancelCalls cancels the pending calls to a daemon, except snapshots.
	CancelCalls(at mangomodel.Address)
}

// Broker acquires servers for calls and exchanges state with other daemons.
type Broker struct {
	self      mangoroster.Member
	fleet     Fleet
	peers     Peers
	seeds     []mangomodel.Address
	log       Observer
	lastLease atomic.Uint64
	// rejoins counts the single addresses that join has tried. Only join uses it.
	rejoins int

	regions map[mangomodel.DataCentreID]mangomodel.RegionID
	// wakeFetch wakes the goroutine that fetches snapshots.
	wakeFetch chan struct{}

	// held are the leases of engines that this daemon uses, and offers the
	// daemons with newer state. Both are shared by the traffic goroutines and are
	// not control state, so a mutex guards them.
	mu     sync.Mutex
	held   map[mangolease.ID]*Grant
	offers map[mangomodel.Address]offer
}

// Observer receives events about other daemons.
type Observer interface {
	mangopanic.Observer
	PeerLost(at mangomodel.Address, err error)
	PeerRegained(at mangomodel.Address)
	SchedulerChanged(service mangotraffic.ServiceName, to mangomodel.DaemonID)
	// FetchFailed is called when a daemon did not return a snapshot.
	FetchFailed(at mangomodel.Address, err error)
}

// Option configures a Broker.
type Option func(*Broker)

// WithSeeds sets the addresses of other daemons to start from.
func WithSeeds(seeds []mangomodel.Address) Option { return func(b *Broker) { b.seeds = seeds } }

// WithObserver sets the observer.
func WithObserver(o Observer) Option { return func(b *Broker) { b.log = o } }

// New returns a Broker.
func New(self mangoroster.Member, fleet Fleet, peers Peers, opts ...Option) *Broker {
	b := &Broker{
		self: self, fleet: fleet, peers: peers, log: nopObserver{}, held: make(map[mangolease.ID]*Grant),
		offers: make(map[mangomodel.Address]offer), wakeFetch: make(chan struct{}, 1),
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
	generated atomic.Int64
	prefilled atomic.Bool
	// renewedAt is when the lease was granted or a scheduler last renewed it.
	renewedAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	observed []mangolease.Observation
}

// Observe records an observation for Release to send to the scheduler, if that is
// another daemon.
func (g *Grant) Observe(o mangolease.Observation) {
	if g.scheduler.Holder == g.broker.self.Holder {
		return
	}
	// Only the daemons that place calls to plain servers use how long these took.
	o.Took = 0
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observed = append(g.observed, o)
}

// Valid reports whether the lease has not run out: a scheduler releases the leases
// that their holder has not renewed in time.
func (g *Grant) Valid() bool {
	return g.demand.Generation == nil || mangomodel.Elapsed(*g.renewedAt.Load(), time.Now()) < mangopool.HolderTimeout
}

// AddGenerated adds n to the number of generated tokens.
func (g *Grant) AddGenerated(n mangomodel.Tokens) { g.generated.Add(int64(n)) }

// PrefillDone notifies the scheduler that the prefill server is free again; took
// is zero if the prefill failed.
func (g *Grant) PrefillDone(took time.Duration) {
	g.prefilled.Store(true)
	if g.scheduler.Holder == g.broker.self.Holder {
		g.broker.apply(mangofleet.PrefillDone{Lease: g.ID, Took: took})
		return
	}
	g.broker.callAsync(func(ctx context.Context) error {
		return g.broker.peers.PrefillDone(ctx, g.scheduler, g.ID, took)
	})
}

// Release returns the lease to the scheduler.
func (g *Grant) Release() {
	b := g.broker
	b.mu.Lock()
	delete(b.held, g.ID)
	b.mu.Unlock()
	if g.scheduler.Holder == b.self.Holder {
		b.apply(mangofleet.Release{Lease: g.ID})
		return
	}
	g.mu.Lock()
	release := mangofleet.Release{Lease: g.ID, Seen: g.observed}
	g.mu.Unlock()
	b.callAsync(func(ctx context.Context) error { return b.peers.Release(ctx, g.scheduler, release) })
}

// Acquire waits until servers are leased for the demand. If the scheduler of a
// generation is unreachable, it requests the lease from the next one with the
// remaining wait limit. It returns the error if less than minWaitLimit remains. A
// refusal by this daemon itself is final.
func (b *Broker) Acquire(ctx context.Context, d mangolease.Demand) (*Grant, error) {
	d.Origin = b.self.DataCentre
	id := mangolease.ID{Holder: b.self.Holder, Number: b.lastLease.Add(1)}
	if d.Generation == nil && !d.Probe {
		return b.acquireLocal(ctx, id, d)
	}
	for {
		attemptStart := time.Now()
		scheduler := b.scheduler(d.Service)
		grant, err := b.acquireFrom(ctx, id, scheduler, d)
		if err == nil {
			if d.Generation != nil {
				b.hold(grant)
			}
			return grant, nil
		}
		if !mangomodel.HasCode(err, mangomodel.CodeUnavailable) || scheduler.Holder == b.self.Holder || ctx.Err() != nil {
			return nil, err
		}
		spent := time.Since(attemptStart)
		d.Age, d.OnTimeFor, d.Patience = d.Age+spent, d.OnTimeFor-spent, d.Patience-spent
		if d.ClientLeft > 0 {
			d.ClientLeft = max(d.ClientLeft-spent, 0)
		}
		if d.Patience < minWaitLimit {
			return nil, err
		}
	}
}

// scheduler returns the daemon that grants a service's slots: this daemon if it
// has recorded no other.
func (b *Broker) scheduler(name mangotraffic.ServiceName) mangoroster.Member {
	if m, ok := b.fleet.View().Scheduler(name); ok {
		return m
	}
	return b.self
}

func (b *Broker) acquireFrom(ctx context.Context, id mangolease.ID, at mangoroster.Member, d mangolease.Demand) (*Grant, error) {
	if at.Holder == b.self.Holder {
		return b.acquireLocal(ctx, id, d)
	}
	lease, err := b.peers.Acquire(ctx, at, id, d)
	if err != nil {
		if mangomodel.HasCode(err, mangomodel.CodeUnavailable) && ctx.Err() == nil {
			b.markUnreachable(at, err)
		}
		return nil, err
	}
	return &Grant{ID: id, Lease: lease, broker: b, scheduler: at, demand: d}, nil
}

func (b *Broker) acquireLocal(ctx context.Context, id mangolease.ID, d mangolease.Demand) (*Grant, error) {
	if err := b.fleet.Do(ctx, mangofleet.Acquire{Lease: id, Demand: d}); err != nil {
		return nil, err
	}
	lease, ok := b.fleet.View().Lease(id)
	if !ok {
		return nil, mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeOverloaded, mangomodel.RunNot, "lease %v is not in the fleet view after it was granted", id)
	}
	return &Grant{ID: id, Lease: lease, broker: b, scheduler: b.self, demand: d}, nil
}

func (b *Broker) hold(g *Grant) {
	now := time.Now()
	g.renewedAt.Store(&now)
	g.prefilled.Store(g.Lease.Prefill == nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[g.ID] = g
}

// markUnreachable excludes a daemon from scheduling for a while and cancels the
// pending calls to it, except snapshots.
func (b *Broker) markUnreachable(m mangoroster.Member, err error) {
	b.apply(mangofleet.PeerFailed{Daemon: m.Holder.Daemon})
	b.peers.CancelCalls(m.Address)
	b.log.PeerLost(m.Address, err)
}

// apply applies a command. It fails only when the process ends, so the error is
// dropped.
func (b *Broker) apply(cmd mangofleet.Command) { _ = b.fleet.Do(context.Background(), cmd) }

// callAsync makes a call in the background. If it fails, the next renewal has the
// same effect.
func (b *Broker) callAsync(call func(ctx context.Context) error) {
	go func() {
		defer mangopanic.Catch(b.log, "call to a scheduler")
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = call(ctx)
	}()
}

type nopObserver struct{ mangopanic.Nop }

func (nopObserver) PeerLost(mangomodel.Address, error)                             {}
func (nopObserver) PeerRegained(mangomodel.Address)                                {}
func (nopObserver) SchedulerChanged(mangotraffic.ServiceName, mangomodel.DaemonID) {}
func (nopObserver) FetchFailed(mangomodel.Address, error)                          {}
