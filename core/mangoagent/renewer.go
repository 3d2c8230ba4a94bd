package mangoagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangomember"
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
	for _, h := range snap.HoldingsByScheduler() {
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
	renew, adopt := r.renewals.Renew, r.renewals.Adopt
	if h.Scheduler.Daemon == snap.Self.Daemon {
		renew, adopt = r.renewHere, r.adoptHere
	}
	unknown, err := renew(ctx, h.Scheduler, snap.Self.Holder(), h.Lists())
	if err != nil || len(unknown) == 0 {
		return
	}
	grants := slices.DeleteFunc(h.Grants, func(g mangomodel.Grant) bool { return !slices.Contains(unknown, g.ID.Number) })
	// The next renewal tries again.
	_ = adopt(ctx, h.Scheduler, grants)
}

// renewHere renews grants with this daemon's own scheduler.
func (r *Renewer) renewHere(ctx context.Context, _ mangomember.Member, holder mangomodel.Holder, lists []mangomodel.ShardGrants) ([]uint64, error) {
	err := r.control.Do(ctx, mangocommand.Renew{Holder: holder, Lists: lists})
	return r.control.Snapshot().UnknownGrants(holder, lists), err
}

// adoptHere hands grants to this daemon's own scheduler.
func (r *Renewer) adoptHere(ctx context.Context, _ mangomember.Member, grants []mangomodel.Grant) error {
	return r.control.Do(ctx, mangocommand.Adopt{Grants: grants})
}
