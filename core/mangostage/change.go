package mangostage

import (
	"context"
	"time"

	"mangolane/core/mangobalance"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
)

const (
	// moveInterval is how often a scheduler looks whether an engine should
	// change its stage.
	moveInterval = 500 * time.Millisecond
	// orderTimeout bounds all steps of one order, so that none is sent long
	// after its fence was taken.
	orderTimeout = time.Second
)

// move changes stages until ctx ends.
func (c *Controller) move(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		for _, name := range c.fleet.View().Services() {
			if m, ok := c.fleet.View().StageChange(name); ok && c.schedules(name) {
				c.moveOne(ctx, m)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) moveOne(ctx context.Context, m mangopool.StageChange) {
	c.tell(mangofleet.OrderBegun{Server: m.Server.ID, To: m.To})
	fence, err := c.order(ctx, m)
	if err != nil {
		c.tell(mangofleet.OrderFailed{Server: m.Server.ID})
	}
	c.log.Ordered(m, fence, err)
}

// order takes a fence and gives the order. A claim that this life did not make
// counts for the lease and the time in which its order may still be on its way,
// and until the engine that it moved is listed with its new stage: what is known
// of the stages is out of date until then.
func (c *Controller) order(ctx context.Context, m mangopool.StageChange) (FencingToken, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	last, err := c.claims.LastClaim(ctx, m.Service)
	if err != nil {
		return 0, err
	}
	me := c.self.Daemon
	if last.Holder != "" && last.Version != c.last[m.Service] && last.Age < max(c.lease+2*orderTimeout, mangobalance.SettleTime) {
		return 0, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(last.Holder), mangomodel.CodeConflict, mangomodel.RunNot,
			"it ordered %v ago", last.Age)
	}
	report, err := c.reporter.Report(ctx, m.Server)
	if err != nil {
		return 0, err
	}
	fence, err := c.claims.TakeClaim(ctx, m.Service, me, last)
	if err != nil {
		return 0, err
	}
	c.last[m.Service] = uint64(fence)
	return fence, c.orders.Order(ctx, m.Server, Order{Holder: me, Fence: fence, To: m.To, Sequence: report.Orders})
}
