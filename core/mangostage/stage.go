// Package mangostage asks the model engines that a daemon schedules what they
// run, and moves them between the stages.
//
// What the engines run besides the known leases is told to the fleet. Whether
// an engine should change its stage is the fleet's decision; a [Controller] carries
// it out, under a fence that the platform keeps, if no other daemon has ordered
// within the lease.
//
// # Usage
//
//	c := mangostage.New(self, fleet, reporter, claims, orders, mangostage.WithLease(3*time.Second))
//	go c.Run(ctx)
package mangostage

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// defaultLease is the lease of the users' sheets.
const defaultLease = 3 * time.Second

// Fleet is the control state of this daemon.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// LoadReporter are asked for reports.
type LoadReporter interface {
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
}

// FencingToken numbers orders. A later order has a higher one.
type FencingToken uint64

// Claim is who ordered last, as the platform has it.
type Claim struct {
	// Holder is empty if nobody has ordered yet.
	Holder mangomodel.DaemonID
	// Age is the time since then, by the platform's clock.
	Age time.Duration
	// Now is the platform's clock at the reading.
	Now time.Duration
	// Version changes with every claim.
	Version uint64
}

// ClaimStore keeps the claims to order on the platform.
type ClaimStore interface {
	// LastClaim returns the last claim of a service.
	LastClaim(ctx context.Context, service mangotraffic.ServiceName) (Claim, error)
	// TakeClaim claims the service if the claim is still the last one.
	TakeClaim(ctx context.Context, service mangotraffic.ServiceName, holder mangomodel.DaemonID, last Claim) (FencingToken, error)
}

// Order tells an engine to change its stage.
type Order struct {
	Holder mangomodel.DaemonID
	Fence  FencingToken
	To     mangotraffic.Stage
	// Sequence is the number of orders that the engine has accepted; one that
	// has accepted more refuses.
	Sequence int64
}

// Orders gives orders to engines.
type Orders interface {
	Order(ctx context.Context, server mangotraffic.Server, o Order) error
}

// Observer is told about engines.
type Observer interface {
	// Ordered is called when an engine was told to change its stage, or not.
	Ordered(m mangopool.StageChange, fence FencingToken, err error)
	// ReportFailed is called when an engine did not say what it runs.
	ReportFailed(server mangotraffic.Server, err error)
}

// Controller asks and moves engines.
type Controller struct {
	self     mangomodel.Holder
	fleet    Fleet
	reporter LoadReporter
	claims   ClaimStore
	orders   Orders
	lease    time.Duration
	log      Observer
	// last is the version of the last claim of each service that this life made.
	// Only the goroutine that moves engines uses it.
	last map[mangotraffic.ServiceName]uint64
}

// Option configures a Controller.
type Option func(*Controller)

// WithLease sets for how long another daemon's order keeps this one from
// ordering.
func WithLease(d time.Duration) Option { return func(c *Controller) { c.lease = d } }

// WithObserver sets who is told about engines.
func WithObserver(o Observer) Option { return func(c *Controller) { c.log = o } }

// New returns a Controller.
func New(self mangomodel.Holder, fleet Fleet, e LoadReporter, f ClaimStore, o Orders, opts ...Option) *Controller {
	c := &Controller{
		self: self, fleet: fleet, reporter: e, claims: f, orders: o, lease: defaultLease, log: silent{},
		last: make(map[mangotraffic.ServiceName]uint64),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run asks and moves engines until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.inspect(ctx) })
	running.Go(func() { c.move(ctx) })
	running.Wait()
}

// schedules reports whether this daemon schedules a service: it does if it
// knows of no other.
func (c *Controller) schedules(name mangotraffic.ServiceName) bool {
	m, ok := c.fleet.View().Scheduler(name)
	return !ok || m.Holder == c.self
}

// tell applies a command that cannot fail but by the end of the process.
func (c *Controller) tell(cmd mangofleet.Command) { _ = c.fleet.Do(context.Background(), cmd) }

type silent struct{}

func (silent) Ordered(mangopool.StageChange, FencingToken, error) {}
func (silent) ReportFailed(mangotraffic.Server, error)            {}
