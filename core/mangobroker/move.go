package mangobroker

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

const (
	// moveInterval is how often a scheduler looks whether an engine should
	// change its stage.
	moveInterval = 500 * time.Millisecond
	// orderTimeout bounds all steps of one order, so that none is sent long
	// after its fence was taken.
	orderTimeout = time.Second
)

// Fence numbers orders. A later order has a higher one.
type Fence uint64

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

// Fences keeps the claims to order on the platform.
type Fences interface {
	// Claimed returns the last claim of a service.
	Claimed(ctx context.Context, service mangotraffic.ServiceName) (Claim, error)
	// Take claims the service if the claim is still the last one.
	Take(ctx context.Context, service mangotraffic.ServiceName, holder mangomodel.DaemonID, last Claim) (Fence, error)
}

// Order tells an engine to change its stage.
type Order struct {
	Holder mangomodel.DaemonID
	Fence  Fence
	To     mangotraffic.Stage
	// Sequence is the number of orders that the engine has accepted; one that
	// has accepted more refuses.
	Sequence int64
}

// Orders gives orders to engines.
type Orders interface {
	Order(ctx context.Context, server mangotraffic.Server, o Order) error
}

// WithMoves lets the broker change the stages of the engines that it
// schedules. A daemon orders only if no other one has ordered within the lease.
func WithMoves(f Fences, o Orders, lease time.Duration) Option {
	return func(b *Broker) { b.fences, b.orders, b.orderLease = f, o, lease }
}

// move changes stages until ctx ends.
func (b *Broker) move(ctx context.Context) {
	if b.fences == nil {
		return
	}
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		for _, name := range b.fleet.View().Services() {
			if m, ok := b.fleet.View().Move(name); ok && b.scheduler(name).Holder == b.self.Holder {
				b.moveOne(ctx, m)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Broker) moveOne(ctx context.Context, m mangopool.Move) {
	b.tell(mangofleet.OrderBegun{Server: m.Server.ID, To: m.To})
	fence, err := b.order(ctx, m)
	if err != nil {
		b.tell(mangofleet.OrderFailed{Server: m.Server.ID})
	}
	b.log.Ordered(m, fence, err)
}

// order takes a fence and gives the order. The claim of another daemon counts
// for the lease and the time in which its order may still be on its way.
func (b *Broker) order(ctx context.Context, m mangopool.Move) (Fence, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	last, err := b.fences.Claimed(ctx, m.Service)
	if err != nil {
		return 0, err
	}
	me := b.self.Holder.Daemon
	if last.Holder != "" && last.Holder != me && last.Age < b.orderLease+2*orderTimeout {
		return 0, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(last.Holder), mangomodel.CodeConflict, mangomodel.RunNot,
			"it ordered %v ago", last.Age)
	}
	report, err := b.engines.Report(ctx, m.Server)
	if err != nil {
		return 0, err
	}
	fence, err := b.fences.Take(ctx, m.Service, me, last)
	if err != nil {
		return 0, err
	}
	return fence, b.orders.Order(ctx, m.Server, Order{Holder: me, Fence: fence, To: m.To, Sequence: report.Orders})
}
