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
	// renewTimeout bounds one renewal and the transfer of the grants that it
	// found to be unknown.
	renewTimeout = time.Second
)

// Renewer renews the grants that the daemon's requests hold.
type Renewer struct {
	control  Control
	renewals Renewals
	interval time.Duration
	// lastRenewed holds the schedulers whose last renewal listed grants. After
	// their last grant has ended, they receive one empty renewal.
	lastRenewed map[mangomodel.DaemonID]mangoquery.SchedulerHoldings
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
	for id, h := range r.lastRenewed {
		if _, ok := targets[id]; !ok {
			h.Grants = nil
			targets[id] = h
		}
	}
	r.lastRenewed = make(map[mangomodel.DaemonID]mangoquery.SchedulerHoldings)
	var wg sync.WaitGroup
	for id, h := range targets {
		if len(h.Grants) > 0 {
			r.lastRenewed[id] = h
		}
		wg.Go(func() { r.renew(ctx, snap, h) })
	}
	wg.Wait()
}

// renew renews the grants of one scheduler and transfers to it those that it has
// not recorded. After a lost renewal, the next one is sent before the lease
// expires.
func (r *Renewer) renew(ctx context.Context, snap *mangoquery.Snapshot, h mangoquery.SchedulerHoldings) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	renew, adopt := r.renewals.Renew, r.renewals.Adopt
	if h.Scheduler.Daemon == snap.Self.Daemon {
		renew, adopt = r.renewLocal, r.adoptLocal
	}
	unknown, err := renew(ctx, h.Scheduler, snap.Self.Holder(), h.ByShard())
	if err != nil || len(unknown) == 0 {
		return
	}
	grants := slices.DeleteFunc(h.Grants, func(g mangomodel.Grant) bool { return !slices.Contains(unknown, g.ID.Number) })
	// If this fails, the next renewal retries it.
	_ = adopt(ctx, h.Scheduler, grants)
}

// renewLocal renews grants at this daemon's own scheduler.
func (r *Renewer) renewLocal(ctx context.Context, _ mangomember.Member, holder mangomodel.Holder, lists []mangomodel.ShardGrants) ([]uint64, error) {
	err := r.control.Do(ctx, mangocommand.Renew{Holder: holder, Lists: lists})
	return r.control.Snapshot().UnknownGrants(holder, lists), err
}

// adoptLocal transfers grants to this daemon's own scheduler.
func (r *Renewer) adoptLocal(ctx context.Context, _ mangomember.Member, grants []mangomodel.Grant) error {
	return r.control.Do(ctx, mangocommand.Adopt{Grants: grants})
}
