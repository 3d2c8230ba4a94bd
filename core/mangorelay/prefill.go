package mangorelay

import (
	"context"
	"errors"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

const (
	// cacheLifetimeShare is the share of a KV cache's lifetime after which it is
	// no longer offered to another server.
	cacheLifetimeShare = 0.7
	// cleanupTimeout bounds the release of a KV cache at an engine.
	cleanupTimeout = time.Second
)

// pendingCache is a KV cache that was computed but not yet fetched.
type pendingCache struct {
	source    mangotraffic.KVSource
	server    mangomodel.ServerID
	expiresAt time.Time
	// refusedBy is the first decode server that did not run the call despite spare
	// capacity, or empty.
	refusedBy mangomodel.ServerID
}

// prefill requests the computation of the prompt's KV cache.
func (j *job) prefill(ctx context.Context, grant *mangobroker.Grant) error {
	began := time.Now()
	server := *grant.Lease.Prefill
	if err := errors.Join(j.checkStop(), j.checkAccess(), j.checkCall(), j.checkParts(), j.checkLease(), j.checkUsable(server.ID)); err != nil {
		return err
	}
	if err := j.takeRetry(ctx, mangoexchange.PhasePrefill); err != nil {
		return err
	}
	j.received = 0
	ctx, end := j.relay.tracer.Start(ctx, mangomodel.StepPrefill, mangomodel.PeerName(server.ID))
	source, err := j.sendPrefill(ctx, grant, server)
	end(err)
	j.reportExchange(ctx, mangoexchange.PhasePrefill, server, grant.Lease, began, err)
	if err == nil || mangomodel.AsFault(err, mangomodel.StepPrefill).Run != mangomodel.RunNot {
		j.spendPrefill(server.ID, err != nil)
	}
	if err == nil {
		grant.PrefillDone(time.Since(began))
		lifetime := time.Duration(cacheLifetimeShare * float64(j.service.Engine.HandleLifetime))
		j.cache = &pendingCache{source: source, server: server.ID, expiresAt: time.Now().Add(lifetime)}
		return nil
	}
	grant.PrefillDone(0)
	f := *mangomodel.AsFault(err, mangomodel.StepPrefill)
	j.avoid = append(j.avoid, server.ID)
	if ctx.Err() == nil {
		j.observe(server.ID, prefillOutcome(&f), nil)
		// A prefill that this daemon has cancelled is no sign of a crash.
		if left := j.next != nil; !left && f.Run != mangomodel.RunNot {
			j.recordPrefillCrash(ctx, server)
		}
	}
	if f.Run == mangomodel.RunNot && f.Code == mangomodel.CodeUnavailable {
		j.refundRetry(mangoexchange.PhasePrefill)
	}
	// A prefill never counts as a run of the call, whatever its outcome.
	f.Run = mangomodel.RunNot
	return &f
}

// sendPrefill requests the KV cache from a server. A prefill is no run of the call,
// so any call may leave a server that does not respond.
func (j *job) sendPrefill(ctx context.Context, grant *mangobroker.Grant, server mangotraffic.Server) (mangotraffic.KVSource, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := j.newHandover(ctx, server.ID, mangoexchange.PhasePrefill)
	var timer stallTimer = nopTimer{}
	if j.mayLease() {
		timer = j.watch(h, server, cancel, errStalled, mangostall.WithReports(responders{j.relay}))
	}
	timer.Reset(mangostall.PrefillTimeout(grant.Lease.PrefillTime))
	source, err := j.relay.servers.Prefill(ctx, server, j.call)
	timer.Stop()
	j.keep(h, err)
	return source, err
}

func prefillOutcome(f *mangomodel.Fault) mangolease.Outcome {
	switch {
	case f.Code == mangomodel.CodeOverloaded:
		return mangolease.OutcomeFull
	case f.Run == mangomodel.RunNot:
		return mangolease.OutcomeUnreachable
	default:
		return mangolease.OutcomeFailure
	}
}

// dropExpiredCache releases a KV cache that may expire before it is fetched.
func (j *job) dropExpiredCache() {
	if j.cache != nil && !time.Now().Before(j.cache.expiresAt) {
		j.wastePrefill(mangoexchange.WasteHandleExpired)
		j.releaseCache()
	}
}

// retryWithoutCache releases the KV cache if a demand for only a decode server
// was refused, and returns a fault that permits a retry with a new prefill.
func (j *job) retryWithoutCache(err error) error {
	if j.cache == nil || !mangomodel.HasCode(err, mangomodel.CodeOverloaded) {
		return err
	}
	j.releaseCache()
	f := *mangomodel.AsFault(err, mangomodel.StepAdmission)
	f.Step = mangomodel.StepTransfer
	return &f
}

// keepUnfetchedCache keeps the KV cache for another server if the call did not
// run. Otherwise the decode server may have fetched it, and j no longer refers to
// it.
func (j *job) keepUnfetchedCache(err error) {
	if j.cache == nil {
		return
	}
	if err != nil && mangomodel.AsFault(err, mangomodel.StepCall).Run == mangomodel.RunNot {
		return
	}
	j.cache = nil
}

// recordCacheFetched records that the decode server has fetched the KV cache.
func (j *job) recordCacheFetched() {
	if j.cache == nil {
		return
	}
	j.observe(j.cache.server, mangolease.OutcomeSuccess, nil)
	if j.cache.refusedBy != "" {
		j.observe(j.cache.refusedBy, mangolease.OutcomeFull, nil)
	}
}

// releaseCache releases a KV cache that was not fetched, in the background.
func (j *job) releaseCache() {
	if j.cache == nil {
		return
	}
	source, server := j.cache.source, j.cache.server
	j.cache = nil
	if j.relay.fleet.View().Backoff(server, time.Now()) > 0 {
		// It expires at the engine.
		return
	}
	go func() {
		defer mangopanic.Catch(j.relay.observer, "release of a cache")
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		began := time.Now()
		if err := j.relay.servers.ReleaseCache(ctx, source); err != nil {
			j.reportExchange(ctx, mangoexchange.PhasePrefill, mangotraffic.Server{ID: server, Address: source.Server.Address}, mangolease.Lease{}, began, err)
		}
	}()
}
