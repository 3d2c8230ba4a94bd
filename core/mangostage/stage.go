// Package mangostage requests load reports from the model engines that a daemon
// schedules, and orders their stage changes.
//
// The load reports state what the engines run in addition to the recorded leases,
// and go to the fleet. The fleet decides whether an engine should change its
// stage; a [Controller] orders the change, with a fencing token from the
// platform, if no other daemon has ordered one within the order lease. A claim that a
// platform lost, which came back from an older copy, counts as taken at its return.
//
// # Usage
//
//	c := mangostage.New(self, fleet, reporter, claims, orders, mangostage.WithOrderLease(3*time.Second))
//	go c.Run(ctx)
package mangostage

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// defaultOrderLease is the order lease of the users' deployment specifications.
const defaultOrderLease = 3 * time.Second

// Fleet is the control state of this daemon.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// LoadReporter returns the load reports of engines.
type LoadReporter interface {
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
}

// Claim is the last claim to order stage changes of a service, as recorded by the
// platform.
type Claim struct {
	// Holder is empty if no daemon has ordered a change yet.
	Holder mangomodel.DaemonID
	// Age is the time since the claim, by the platform's clock.
	Age time.Duration
	// Now is the platform's clock when the claim was read.
	Now time.Duration
	// Version changes with every claim of an era.
	Version uint64
	// Era is that of the platform's store when the claim was read, and TakenIn the one
	// in which it was taken, zero if that is not known.
	Era, TakenIn mangotraffic.Era
}

// ClaimStore keeps the claims on the platform.
type ClaimStore interface {
	// LastClaim returns the last claim of a service.
	LastClaim(ctx context.Context, service mangotraffic.ServiceName) (Claim, error)
	// TakeClaim claims the service if last is still its last claim. The token is
	// [NewFencingToken] of the new claim.
	TakeClaim(ctx context.Context, service mangotraffic.ServiceName, holder mangomodel.DaemonID, last Claim) (FencingToken, error)
}

// Order is the order to an engine to change its stage.
type Order struct {
	Holder mangomodel.DaemonID
	Fence  FencingToken
	To     mangotraffic.Stage
	// Sequence is the number of orders that the engine has accepted. An engine
	// that has accepted more rejects the order.
	Sequence int64
}

// Orders sends orders to engines.
type Orders interface {
	Order(ctx context.Context, server mangotraffic.Server, o Order) error
}

// Observer receives events about engines.
type Observer interface {
	mangopanic.Observer
	// StageChangeOrdered is called after an attempt to order a stage change; err
	// is nil if the engine accepted the order.
	StageChangeOrdered(change mangopool.StageChange, token FencingToken, err error)
	// ReportFailed is called when an engine did not return its load report.
	ReportFailed(server mangotraffic.Server, err error)
}

// Controller requests load reports and orders stage changes.
type Controller struct {
	self       mangomodel.Holder
	fleet      Fleet
	reporter   LoadReporter
	claims     ClaimStore
	orders     Orders
	orderLease time.Duration
	log        Observer
	// lastToken is the token of this incarnation's last claim of each service.
	// Only the goroutine that orders stage changes uses it.
	lastToken map[mangotraffic.ServiceName]FencingToken
	eras      eraWatch
	// blockedUntil is when the claim of another daemon should no longer block. No change
	// is tried before, since a try costs a call and keeps work from the engine.
	blockedUntil map[mangotraffic.ServiceName]time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithOrderLease sets for how long an order of another daemon prevents this one
// from ordering.
func WithOrderLease(d time.Duration) Option { return func(c *Controller) { c.orderLease = d } }

// WithObserver sets the observer.
func WithObserver(o Observer) Option { return func(c *Controller) { c.log = o } }

// New returns a Controller.
func New(self mangomodel.Holder, fleet Fleet, reporter LoadReporter, claims ClaimStore, orders Orders, opts ...Option) *Controller {
	c := &Controller{
		self: self, fleet: fleet, reporter: reporter, claims: claims, orders: orders, orderLease: defaultOrderLease, log: nopObserver{},
		lastToken: make(map[mangotraffic.ServiceName]FencingToken), eras: eraWatch{read: make(map[mangotraffic.ServiceName]firstRead)},
		blockedUntil: make(map[mangotraffic.ServiceName]time.Time),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run requests load reports and orders stage changes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { mangopanic.Repeat(ctx, c.log, "load reports", c.collectReports) })
	running.Go(func() { mangopanic.Repeat(ctx, c.log, "stage changes", c.changeStages) })
	running.Wait()
}

// schedules reports whether this daemon schedules a service: it does if it has
// recorded no other scheduler.
func (c *Controller) schedules(name mangotraffic.ServiceName) bool {
	m, ok := c.fleet.View().Scheduler(name)
	return !ok || m.Holder == c.self
}

// apply applies a command. It fails only when the process ends, so the error is
// dropped.
func (c *Controller) apply(cmd mangofleet.Command) { _ = c.fleet.Do(context.Background(), cmd) }

type nopObserver struct{ mangopanic.Nop }

func (nopObserver) StageChangeOrdered(mangopool.StageChange, FencingToken, error) {}
func (nopObserver) ReportFailed(mangotraffic.Server, error)                       {}
