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
	// maxShards bounds how many shards are asked for one attempt, and
	// nearShards how many of them are in the own data centre.
	maxShards  = 4
	nearShards = 2
	// retryPatience is how long a retry may wait for a server.
	retryPatience = 20 * time.Second
)

// lease is a grant and the daemon that gave it.
type lease struct {
	grant mangomodel.Grant
	owner mangomember.Member
}

// acquire asks the shards that can serve the request, nearest first, until one
// grants it.
func (g *Generator) acquire(ctx context.Context, r *run) (lease, error) {
	ctx, end := g.tracer.Start(ctx, mangomodel.StepAdmission, mangomodel.PeerName(r.request.Model))
	l, err := g.acquireAny(ctx, r)
	end(err)
	return l, err
}

// acquireAny first asks for a slot that is free now, near shards before far
// ones, and then queues at the nearest one.
func (g *Generator) acquireAny(ctx context.Context, r *run) (lease, error) {
	snap := g.control.Snapshot()
	prefixes := mangomodel.PrefixHashes(r.request.Prompt)
	fingerprint := mangomodel.FingerprintOf(r.request.Workspace.ID, r.request.Prompt)
	shards := snap.ShardsFor(r.request.Model, mangomodel.AffinityOf(prefixes, fingerprint))
	if len(shards) == 0 {
		return lease{}, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(r.request.Model),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "no engine offers the model")
	}
	asked := candidates(snap, shards)
	if len(asked) > 1 {
		for _, shard := range asked {
			l, err := g.acquireFrom(ctx, r, shard, prefixes, true)
			if err == nil || ctx.Err() != nil || !worthAsking(err) {
				return l, err
			}
			g.markShardBusy(ctx, shard, err)
		}
	}
	return g.acquireFrom(ctx, r, asked[0], prefixes, false)
}

// worthAsking reports whether another shard may decide differently.
func worthAsking(err error) bool {
	return mangomodel.HasCode(err, mangomodel.CodeOverloaded) || mangomodel.HasCode(err, mangomodel.CodeUnavailable)
}

// candidates returns the shards to ask: the nearest one, and a few others that
// have not refused lately, no more than nearShards of them near, so that far
// ones are asked as well.
func candidates(snap *mangoquery.Snapshot, shards []mangomodel.ShardID) []mangomodel.ShardID {
	now := time.Now()
	chosen := slices.Clone(shards[:1])
	near := 1
	for _, s := range shards[1:] {
		if len(chosen) == maxShards {
			break
		}
		local := s.DataCentre == snap.Self.DataCentre
		if now.Before(snap.BusyUntil[s]) || local && near == nearShards {
			continue
		}
		if local {
			near++
		}
		chosen = append(chosen, s)
	}
	return chosen
}

func (g *Generator) markShardBusy(ctx context.Context, shard mangomodel.ShardID, err error) {
	f := mangomodel.AsFault(err, mangomodel.StepAdmission)
	if f.RetryAfter > 0 {
		// Only the control goroutine's end makes this fail.
		_ = g.control.Do(ctx, mangocommand.MarkShardBusy{Shard: shard, After: f.RetryAfter})
	}
}

// acquireFrom asks the owner of one shard. When the owner of a near shard
// cannot be asked, this daemon schedules the request itself: two schedulers
// of one shard are harmless, since engines enforce their own limits.
func (g *Generator) acquireFrom(ctx context.Context, r *run, shard mangomodel.ShardID, prefixes []mangomodel.PrefixHash, immediate bool) (lease, error) {
	snap := g.control.Snapshot()
	demand := g.demand(r, prefixes)
	demand.Immediate = immediate
	owner, ok := snap.Owner(shard)
	if ok && owner.Daemon != snap.Self.Daemon && !snap.IsUnreachable(time.Now(), owner.Daemon) {
		grant, err := g.schedulers.Acquire(ctx, owner, shard, demand)
		if err == nil {
			return g.hold(ctx, lease{grant: grant, owner: owner})
		}
		if ctx.Err() != nil || decided(err) {
			return lease{}, err
		}
		if err := g.control.Do(ctx, mangocommand.MarkSchedulerUnreachable{Daemon: owner.Daemon}); err != nil {
			return lease{}, err
		}
	}
	if shard.DataCentre != snap.Self.DataCentre {
		return lease{}, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(shard.String()),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "no daemon of the data centre can be reached")
	}
	return g.acquireHere(ctx, shard, demand)
}

// decided reports whether an error is a scheduler's decision on the demand. A
// scheduler that could not be reached or has no servers yet has decided
// nothing.
func decided(err error) bool {
	f := mangomodel.AsFault(err, mangomodel.StepProbe)
	return f.Step == mangomodel.StepAdmission && f.Code != mangomodel.CodeUnavailable
}

func (g *Generator) acquireHere(ctx context.Context, shard mangomodel.ShardID, d mangomodel.Demand) (lease, error) {
	if err := g.control.Do(ctx, mangocommand.Acquire{Shard: shard, Demand: d}); err != nil {
		return lease{}, err
	}
	snap := g.control.Snapshot()
	grant, ok := snap.Grant(d.Grant)
	if !ok {
		return lease{}, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(shard.String()),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "the grant ended before it was used")
	}
	return g.hold(ctx, lease{grant: grant, owner: snap.Self})
}

// hold notes the grant, so that it is renewed while the request runs.
func (g *Generator) hold(ctx context.Context, l lease) (lease, error) {
	err := g.control.Do(ctx, mangocommand.AddHolding{Holding: mangoquery.Holding{Grant: l.grant, Scheduler: l.owner.Daemon}})
	if err != nil {
		return lease{}, errors.Join(err, g.release(context.WithoutCancel(ctx), l, mangomodel.Usage{}))
	}
	return l, nil
}

// release gives a grant back. It fails with CodePreempted when the grant had
// been taken back. A release that is lost is made up for by the next renewal,
// which no longer lists the grant.
func (g *Generator) release(ctx context.Context, l lease, u mangomodel.Usage) error {
	_, end := g.tracer.Start(ctx, mangomodel.StepRelease, mangomodel.PeerName(l.owner.Daemon))
	removeErr := g.control.Do(ctx, mangocommand.RemoveHolding{Grant: l.grant.ID})
	err := errors.Join(removeErr, g.releaseAt(ctx, l, u))
	end(err)
	return err
}

func (g *Generator) releaseAt(ctx context.Context, l lease, u mangomodel.Usage) error {
	if l.owner.Daemon == g.control.Snapshot().Self.Daemon {
		return g.control.Do(ctx, mangocommand.Release{Grant: l.grant.ID, Usage: u})
	}
	return g.schedulers.Release(ctx, l.owner, l.grant, u)
}

// demand describes what is left of the request. Tokens that were passed on
// already are part of the prompt of a later attempt.
func (g *Generator) demand(r *run, prefixes []mangomodel.PrefixHash) mangomodel.Demand {
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
		Patience:    r.patience(targets.TTFT.Std()), TPOT: targets.TPOT.Std(),
		Resumed: r.attempt > 1,
		Weight:  req.Workspace.Weight, Avoid: slices.Clone(r.avoid),
	}
}

// patience is how long an attempt may wait for its first token. A request
// whose server failed was accepted once, and its caller would rather have the
// answer late than not at all.
func (r *run) patience(target time.Duration) time.Duration {
	if r.attempt > 1 {
		return max(target, retryPatience)
	}
	return target - time.Since(r.started)
}
