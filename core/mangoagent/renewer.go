package mangoagent

import (
	"context"
	"slices"
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

// renew renews the grants of one scheduler and hands it those that it does not
// know. A lost renewal is made up for by the next one within the lease.
func (r *Renewer) renew(ctx context.Context, snap *mangoquery.Snapshot, h mangoquery.SchedulerHoldings) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	holder, lists := snap.Self.Holder(), h.Lists()
	local := h.Scheduler.Daemon == snap.Self.Daemon
	var unknown []uint64
	var err error
	if local {
		err = r.control.Do(ctx, mangocommand.Renew{Holder: holder, Lists: lists})
		unknown = r.control.Snapshot().Unknown(holder, lists)
	} else {
		unknown, err = r.renewals.Renew(ctx, h.Scheduler, holder, lists)
	}
	if err != nil || len(unknown) == 0 {
		return
	}
	grants := slices.DeleteFunc(h.Grants, func(g mangomodel.Grant) bool { return !slices.Contains(unknown, g.ID.Number) })
	if local {
		err = r.control.Do(ctx, mangocommand.Adopt{Grants: grants})
	} else {
		err = r.renewals.Adopt(ctx, h.Scheduler, grants)
	}
	_ = err // the next renewal tries again
}
