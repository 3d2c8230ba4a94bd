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
	// changeInterval is how often a scheduler checks whether an engine should
	// change its stage.
	changeInterval = 500 * time.Millisecond
	// orderTimeout bounds all steps of one order, so that none is sent long after
	// its fencing token was taken.
	orderTimeout = time.Second
)

// changeStages orders stage changes until ctx ends.
func (c *Controller) changeStages(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for {
		if list := c.fleet.View().ListCursor; !list.IsZero() {
			c.eras.observe(list.Era, time.Now())
		}
		for _, name := range c.fleet.View().Services() {
			if change, ok := c.fleet.View().StageChange(name); ok && c.schedules(name) {
				c.changeStage(ctx, change)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) changeStage(ctx context.Context, change mangopool.StageChange) {
	if time.Now().Before(c.blockedUntil[change.Service]) {
		return
	}
	c.apply(mangofleet.OrderBegun{Server: change.Server.ID, To: change.To})
	token, err := c.order(ctx, change)
	if err != nil {
		run := mangomodel.AsFault(err, mangomodel.StepConfigure).Run
		c.apply(mangofleet.OrderFailed{Server: change.Server.ID, Run: run})
	}
	c.log.StageChangeOrdered(change, token, err)
}

// order takes a fencing token and sends the order. A claim of another incarnation
// blocks it for the order lease and the time in which the order of that claim may
// still be in transit, and at least for [mangobalance.SettleTime]. By then the
// engine that changed should be listed with its new stage; the recorded stages are
// out of date until it is. After the store came back from an older copy, which may lack
// claims, all claims are blocked for the order lease and that time.
func (c *Controller) order(ctx context.Context, change mangopool.StageChange) (FencingToken, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	last, err := c.claims.LastClaim(ctx, change.Service)
	if err != nil {
		return 0, notSent(err)
	}
	lastToken, err := NewFencingToken(last.Era, last.Version)
	if err != nil {
		return 0, notSent(err)
	}
	now := time.Now()
	if !c.eras.observe(last.Era, now) {
		return 0, mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeBackend, mangomodel.RunNot,
			"the last claim was read in era %d of the store, which has ended", last.Era)
	}
	if left := c.blocked(change.Service, last, lastToken, now); left > 0 {
		c.blockedUntil[change.Service] = now.Add(min(left, mangobalance.SettleTime))
		return 0, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(last.Holder), mangomodel.CodeConflict, mangomodel.RunNot,
			"its last claim, or one that the store lost, blocks other claims for %v", left)
	}
	me := c.self.Daemon
	if err := c.usable(change.Server.ID); err != nil {
		return 0, err
	}
	report, err := c.reporter.Report(ctx, change.Server)
	if err != nil {
		return 0, notSent(err)
	}
	token, err := c.claims.TakeClaim(ctx, change.Service, me, last)
	if err != nil {
		return 0, notSent(err)
	}
	c.lastToken[change.Service] = token
	if took := mangomodel.Elapsed(began, time.Now()); took >= orderTimeout {
		return token, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(change.Server.ID), mangomodel.CodeTimeout, mangomodel.RunNot,
			"the claim was taken %v after it was begun, and an order may follow within %v", took, orderTimeout)
	}
	if err := c.usable(change.Server.ID); err != nil {
		return token, err
	}
	return token, c.orders.Order(ctx, change.Server, Order{Holder: me, Fence: token, To: change.To, Sequence: report.Orders})
}

// usable returns a fault if an engine leaves, is no longer listed or has asked this daemon
// for time.
func (c *Controller) usable(id mangomodel.ServerID) error {
	view, now := c.fleet.View(), time.Now()
	if left := view.Backoff(id, now); left > 0 || !view.MayUse(id) {
		return mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(id), mangomodel.CodeUnavailable, mangomodel.RunNot,
			"server is leaving, no longer listed or has asked for time (%v left)", left)
	}
	return nil
}

// notSent returns the fault of a step before the order, which was not sent.
func notSent(err error) error {
	f := *mangomodel.AsFault(err, mangomodel.StepConfigure)
	f.Run = mangomodel.RunNot
	return &f
}
