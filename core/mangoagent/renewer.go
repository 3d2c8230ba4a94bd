package mangoagent

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

const (
	// DefaultRenewInterval is the pause between two renewals.
	DefaultRenewInterval = 2 * time.Second
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
)

// Renewer renews the grants that the daemon's requests hold.
type Renewer struct {
	control  Control
	renewals Renewals
	interval time.Duration
	// told are the schedulers that got a renewal with grants last time; they
	// get an empty one after the last grant has ended.
	told map[mangomodel.DaemonID]mangoquery.SchedulerHoldings
}

// NewRenewer returns a Renewer.
func NewRenewer(control Control, renewals Renewals, interval time.Duration) *Renewer {
	return &Renewer{control: control, renewals: renewals, interval: interval}
}

// Run renews until ctx ends.
func (r *Renewer) Run(ctx context.Context) { every(ctx, r.interval, r.renewAll) }

func (r *Renewer) renewAll(ctx context.Context) {
	snap := r.control.Snapshot()
	current := make(map[mangomodel.DaemonID]mangoquery.SchedulerHoldings)
	for _, h := range snap.HoldingsBy() {
		current[h.Scheduler.Daemon] = h
	}
	targets := current
	for id, h := range r.told {
		if _, ok := targets[id]; !ok {
			h.Grants = nil
			targets[id] = h
		}
	}
	r.told = make(map[mangomodel.DaemonID]mangoquery.SchedulerHoldings)
	var wait sync.WaitGroup
	for id, h := range targets {
		if len(h.Grants) > 0 {
			r.told[id] = h
		}
		wait.Go(func() { r.renew(ctx, snap, h) })
	}
	wait.Wait()
}

func (r *Renewer) renew(ctx context.Context, snap *mangoquery.Snapshot, h mangoquery.SchedulerHoldings) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	holder := snap.Self.Holder()
	if h.Scheduler.Daemon == snap.Self.Daemon {
		// Only the control goroutine's end makes this fail.
		_ = r.control.Do(ctx, mangocommand.Renew{Holder: holder, Grants: h.Grants})
		return
	}
	// A lost renewal is made up for by the next one within the lease.
	_ = r.renewals.Renew(ctx, h.Scheduler, holder, h.Grants)
}
