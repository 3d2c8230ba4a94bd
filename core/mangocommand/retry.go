package mangocommand

import (
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangomodel"
)

const (
	// retryRate is the average number of retries per second allowed to a
	// workspace.
	retryRate rate.Limit = 2
	// retryBurst is how many retries a workspace may make at once, for example
	// after the crash of a server.
	retryBurst = 40
	// maxBusyTime bounds how long a shard is avoided after a refusal.
	maxBusyTime = time.Second
)

// retryBudget bounds a workspace's retries, so that they do not amplify an
// outage.
type retryBudget struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

func (b *retryBudget) idle(now time.Time) bool { return now.Sub(b.lastUsed) > recordRetention }

// SpendRetry takes one retry from a workspace's budget. It fails with
// CodeOverloaded if the budget is exhausted.
type SpendRetry struct{ Workspace mangomodel.WorkspaceID }

// Apply implements [mangoloop.Command].
func (c SpendRetry) Apply(s *state, now time.Time) error {
	b, ok := s.retries[c.Workspace]
	if !ok {
		b = &retryBudget{limiter: rate.NewLimiter(retryRate, retryBurst)}
		s.retries[c.Workspace] = b
	}
	b.lastUsed = now
	if !b.limiter.AllowN(now, 1) {
		return mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(c.Workspace),
			mangomodel.CodeOverloaded, mangomodel.RunUnknown, "the retry budget of the workspace is exhausted")
	}
	return nil
}

// MarkShardBusy records that a shard refused a demand for lack of capacity.
// Requests avoid the shard for After, at most one second.
type MarkShardBusy struct {
	Shard mangomodel.ShardID
	After time.Duration
}

// Apply implements [mangoloop.Command].
func (c MarkShardBusy) Apply(s *state, now time.Time) error {
	s.busyUntil[c.Shard] = now.Add(min(c.After, maxBusyTime))
	s.changed.failures = true
	return nil
}

// MarkBackoff records that an engine has refused a request of this daemon and wants
// nothing from it for some time.
type MarkBackoff struct {
	Server mangomodel.ServerID
	For    time.Duration
}

// Apply implements [mangoloop.Command].
func (c MarkBackoff) Apply(s *state, now time.Time) error {
	if until := now.Add(min(c.For, mangobackoff.Longest)); until.After(s.backoffs[c.Server]) {
		s.backoffs[c.Server] = until
		s.changed.failures = true
	}
	return nil
}

// MarkSchedulerUnreachable records that a daemon could not be reached as a
// scheduler, so that later requests do not wait for it as well.
type MarkSchedulerUnreachable struct{ Daemon mangomodel.DaemonID }

// Apply implements [mangoloop.Command].
func (c MarkSchedulerUnreachable) Apply(s *state, now time.Time) error {
	s.lastUnreachable[c.Daemon] = now
	s.changed.failures = true
	return nil
}
