package mangocommand

import (
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangomodel"
)

const (
	// retryRate is how many retries a second a workspace may make on average.
	retryRate rate.Limit = 2
	// retryBurst is how many retries a workspace may make at once, such as
	// after the crash of a server.
	retryBurst = 40
	// maxBusy bounds how long a refusal keeps a shard from being asked.
	maxBusy = time.Second
)

// retryBudget bounds a workspace's retries, so that they never amplify an
// outage.
type retryBudget struct {
	limiter *rate.Limiter
	last    time.Time
}

func (b *retryBudget) idle(now time.Time) bool { return now.Sub(b.last) > memory }

// SpendRetry takes one retry from a workspace's budget. It fails with
// CodeOverloaded when the budget is spent.
type SpendRetry struct{ Workspace mangomodel.WorkspaceID }

// Apply implements [mangoloop.Command].
func (c SpendRetry) Apply(s *state, now time.Time) error {
	b, ok := s.retries[c.Workspace]
	if !ok {
		b = &retryBudget{limiter: rate.NewLimiter(retryRate, retryBurst)}
		s.retries[c.Workspace] = b
	}
	b.last = now
	if !b.limiter.AllowN(now, 1) {
		return mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(c.Workspace),
			mangomodel.CodeOverloaded, mangomodel.RunUnknown, "the retry budget of the workspace is spent")
	}
	return nil
}

// MarkShardBusy notes that a shard refused a demand for lack of room, so that it
// is not asked again at once.
type MarkShardBusy struct {
	Shard mangomodel.ShardID
	After time.Duration
}

// Apply implements [mangoloop.Command].
func (c MarkShardBusy) Apply(s *state, now time.Time) error {
	s.busy[c.Shard] = now.Add(min(c.After, maxBusy))
	s.changed.failing = true
	return nil
}

// MarkSchedulerUnreachable notes that a daemon could not be reached as a scheduler, so that
// the next requests do not wait for it as well.
type MarkSchedulerUnreachable struct{ Daemon mangomodel.DaemonID }

// Apply implements [mangoloop.Command].
func (c MarkSchedulerUnreachable) Apply(s *state, now time.Time) error {
	s.unreachable[c.Daemon] = now
	s.changed.failing = true
	return nil
}
