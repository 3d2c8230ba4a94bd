package mangoroute

import (
	"context"
	"errors"
	"slices"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

const (
	// maxShards bounds how many shards are queried for one attempt, and
	// maxLocalShards how many of them are in the daemon's own data centre.
	maxShards      = 4
	maxLocalShards = 2
	// retryWaitLimit is the minimum wait limit of a retry.
	retryWaitLimit = 20 * time.Second
)

// lease is a grant and the daemon from which it was acquired. That daemon may
// have forwarded the demand to the owner of the shard.
type lease struct {
	grant mangomodel.Grant
	owner mangomember.Member
}

// acquire requests a grant from the shards that can serve the request, nearest
// first, until one issues it.
func (g *Generator) acquire(ctx context.Context, r *requestState) (lease, error) {
	ctx, end := g.tracer.Start(ctx, mangomodel.StepAdmission, mangomodel.PeerName(r.request.Model))
	l, err := g.acquireAny(ctx, r)
	end(err)
	return l, err
}

// acquireAny first requests a slot that is free now, from near shards before far
// ones, and then queues at the nearest one.
func (g *Generator) acquireAny(ctx context.Context, r *requestState) (lease, error) {
	snap := g.control.Snapshot()
	prefixes := mangomodel.PrefixHashes(r.request.Prompt)
	fingerprint := mangomodel.FingerprintOf(r.request.Workspace.ID, r.request.Prompt)
	shards := snap.ShardsFor(r.request.Model, mangomodel.AffinityOf(prefixes, fingerprint))
	if len(shards) == 0 {
		return lease{}, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(r.request.Model),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "no engine serves the model")
	}
	targets := candidates(snap, shards)
	if r.next > 0 {
		// Few shards may have the build that the response began at.
		targets = shards
	}
	nearest := targets[0]
	if len(targets) > 1 {
		var waitAt []mangomodel.ShardID
		for _, shard := range targets {
			l, err := g.acquireFrom(ctx, r, shard, prefixes, true)
			if err == nil || ctx.Err() != nil || !tryNextShard(err) {
				return l, err
			}
			if !mangomodel.HasCode(err, mangomodel.CodeCannotResume) {
				waitAt = append(waitAt, shard)
			}
			g.markShardBusy(ctx, shard, err)
		}
		if len(waitAt) > 0 {
			nearest = waitAt[0]
		}
	}
	return g.acquireFrom(ctx, r, nearest, prefixes, false)
}

// tryNextShard reports whether another shard may decide differently.
func tryNextShard(err error) bool {
	return mangomodel.HasCode(err, mangomodel.CodeOverloaded) || mangomodel.HasCode(err, mangomodel.CodeUnavailable) ||
		mangomodel.HasCode(err, mangomodel.CodeCannotResume)
}

// candidates returns the shards to query: the nearest one, and others that have
// not refused recently. At most maxLocalShards are in the own data centre, so
// that remote ones are queried as well.
func candidates(snap *mangoquery.Snapshot, shards []mangomodel.ShardID) []mangomodel.ShardID {
	now := time.Now()
	chosen := slices.Clone(shards[:1])
	localCount := 1
	for _, s := range shards[1:] {
		if len(chosen) == maxShards {
			break
		}
		local := s.DataCentre == snap.Self.DataCentre
		if now.Before(snap.BusyUntil[s]) || local && localCount == maxLocalShards {
			continue
		}
		if local {
			localCount++
		}
		chosen = append(chosen, s)
	}
	return chosen
}

func (g *Generator) markShardBusy(ctx context.Context, shard mangomodel.ShardID, err error) {
	f := mangomodel.AsFault(err, mangomodel.StepAdmission)
	if f.RetryAfter > 0 {
		// Fails only if ctx or the control goroutine has ended.
		_ = g.control.Do(ctx, mangocommand.MarkShardBusy{Shard: shard, After: f.RetryAfter})
	}
}

// acquireFrom requests a grant from the owner of one shard. If the owner of a
// shard in the own data centre is unreachable, this daemon schedules the request
// itself: two schedulers of one shard are harmless, since engines enforce their
// own limits.
func (g *Generator) acquireFrom(ctx context.Context, r *requestState, shard mangomodel.ShardID, prefixes []mangomodel.PrefixHash, immediate bool) (lease, error) {
	snap := g.control.Snapshot()
	demand := g.demand(r, prefixes)
	demand.Immediate = immediate
	owner, ok := snap.Owner(shard)
	if ok && owner.Daemon != snap.Self.Daemon && !snap.IsUnreachable(time.Now(), owner.Daemon) {
		grant, err := g.schedulers.Acquire(ctx, owner, shard, demand)
		if err == nil {
			return g.addHolding(ctx, lease{grant: grant, owner: owner})
		}
		if ctx.Err() != nil || isDecision(err) {
			return lease{}, err
		}
		if err := g.control.Do(ctx, mangocommand.MarkSchedulerUnreachable{Daemon: owner.Daemon}); err != nil {
			return lease{}, err
		}
	}
	if shard.DataCentre != snap.Self.DataCentre {
		return lease{}, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(shard.String()),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "no daemon of the data centre is reachable")
	}
	return g.acquireLocal(ctx, shard, demand)
}

// isDecision reports whether an error is a scheduler's decision on the demand,
// in contrast to a scheduler that is unreachable or has no servers yet.
func isDecision(err error) bool {
	f := mangomodel.AsFault(err, mangomodel.StepProbe)
	return f.Step == mangomodel.StepAdmission && f.Code != mangomodel.CodeUnavailable
}

func (g *Generator) acquireLocal(ctx context.Context, shard mangomodel.ShardID, d mangomodel.Demand) (lease, error) {
	if err := g.control.Do(ctx, mangocommand.Acquire{Shard: shard, Demand: d}); err != nil {
		return lease{}, err
	}
	snap := g.control.Snapshot()
	grant, ok := snap.Grant(d.Grant)
	if !ok {
		return lease{}, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(shard.String()),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "the grant ended before it was used")
	}
	return g.addHolding(ctx, lease{grant: grant, owner: snap.Self})
}

// addHolding records the grant, so that it is renewed while the request runs.
func (g *Generator) addHolding(ctx context.Context, l lease) (lease, error) {
	err := g.control.Do(ctx, mangocommand.AddHolding{Holding: mangoquery.Holding{Grant: l.grant, Scheduler: l.owner.Daemon}})
	if err != nil {
		return lease{}, errors.Join(err, g.release(context.WithoutCancel(ctx), l, mangomodel.Usage{}))
	}
	return l, nil
}

// release releases a grant. It fails with CodePreempted if the scheduler had
// revoked the grant. After a lost release the scheduler frees the grant at the
// next renewal, which no longer lists it.
func (g *Generator) release(ctx context.Context, l lease, u mangomodel.Usage) error {
	_, end := g.tracer.Start(ctx, mangomodel.StepRelease, mangomodel.PeerName(l.owner.Daemon))
	removeErr := g.control.Do(ctx, mangocommand.RemoveHolding{Grant: l.grant.ID})
	err := errors.Join(removeErr, g.releaseToOwner(ctx, l, u))
	end(err)
	return err
}

func (g *Generator) releaseToOwner(ctx context.Context, l lease, u mangomodel.Usage) error {
	if l.owner.Daemon == g.control.Snapshot().Self.Daemon {
		return g.control.Do(ctx, mangocommand.Release{Grant: l.grant.ID, Usage: u})
	}
	return g.schedulers.Release(ctx, l.owner, l.grant, u)
}

// demand returns the demand for the rest of the request. Tokens that were
// already delivered count towards the prompt of a later attempt.
func (g *Generator) demand(r *requestState, prefixes []mangomodel.PrefixHash) mangomodel.Demand {
	req := r.request
	targets := req.Workspace.Targets[req.Rank]
	return mangomodel.Demand{
		Grant: g.nextGrant(),
		Sequence: mangomodel.Sequence{
			Request: req.ID, Attempt: r.attempt, Holder: g.control.Snapshot().Self.Holder(),
		},
		Workspace: req.Workspace.ID, Model: req.Model, Rank: req.Rank,
		Prompt: mangomodel.CountTokens(req.Prompt) + r.next, MaxTokens: req.MaxTokens - r.next,
		Prefixes:    prefixes,
		Fingerprint: mangomodel.FingerprintOf(req.Workspace.ID, req.Prompt),
		Patience:    r.waitLimit(targets.TTFT.Std()), TPOT: targets.TPOT.Std(),
		Resumed: r.attempt > 1,
		Weight:  req.Workspace.Weight, Avoid: slices.Clone(r.avoid),
		Build: r.build, Bound: r.next > 0,
	}
}

// waitLimit returns how long an attempt may wait for its first token, given the
// TTFT target. A retry may wait longer than the target: the request was already
// admitted, and a late response is better than none.
func (r *requestState) waitLimit(target time.Duration) time.Duration {
	if r.attempt > 1 {
		return max(target, retryWaitLimit)
	}
	return target - time.Since(r.started)
}
