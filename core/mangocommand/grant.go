package mangocommand

import (
	"slices"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// Acquire submits a demand to the scheduler and completes once the demand is
// granted or refused. It is idempotent for a given grant ID while the demand
// waits or its grant is active.
type Acquire struct {
	Shard  mangomodel.ShardID
	Demand mangomodel.Demand
}

// Apply implements [mangoloop.Command].
func (c Acquire) Apply(s *state, now time.Time) error {
	s.scheduler.Acquire(now, c.Shard, c.Demand)
	s.changed.shards = true
	return nil
}

// Await implements [mangoloop.Deferred]. It keeps the reply until the
// scheduler has decided on the demand.
func (c Acquire) Await(s *state, r mangoloop.Reply) {
	s.pendingReplies[c.Demand.Grant] = append(s.pendingReplies[c.Demand.Grant], r)
}

// Withdraw cancels a demand, and ends its grant if it was granted meanwhile.
type Withdraw struct{ Grant mangomodel.GrantID }

// Apply implements [mangoloop.Command].
func (c Withdraw) Apply(s *state, now time.Time) error {
	s.scheduler.Withdraw(now, c.Grant)
	delete(s.pendingReplies, c.Grant)
	s.changed.shards = true
	return nil
}

// Release ends a grant issued by this daemon's scheduler. It fails with
// CodePreempted if the grant was preempted.
type Release struct {
	Grant mangomodel.GrantID
	Usage mangomodel.Usage
}

// Apply implements [mangoloop.Command].
func (c Release) Apply(s *state, now time.Time) error {
	s.changed.shards = true
	return s.scheduler.Release(now, c.Grant, c.Usage)
}

// Renew renews a holder's grants. Lists names every grant of this daemon's
// scheduler that the holder holds; a grant that is not listed ends, except
// within a grace period after it was issued.
type Renew struct {
	Holder mangomodel.Holder
	Lists  []mangomodel.ShardGrants
}

// Apply implements [mangoloop.Command].
func (c Renew) Apply(s *state, now time.Time) error {
	s.scheduler.Renew(now, c.Holder, c.Lists)
	s.changed.shards = true
	return nil
}

// Adopt takes over grants issued by another scheduler. A grant that this
// daemon itself held and no longer holds is skipped, because nothing would
// end it.
type Adopt struct{ Grants []mangomodel.Grant }

// Apply implements [mangoloop.Command].
func (c Adopt) Apply(s *state, now time.Time) error {
	s.scheduler.Adopt(now, slices.DeleteFunc(slices.Clone(c.Grants), s.noLongerHeld))
	s.changed.shards = true
	return nil
}

// noLongerHeld reports whether a grant belongs to this incarnation of the
// daemon but is not among its holdings.
func (s *state) noLongerHeld(g mangomodel.Grant) bool {
	_, held := s.holdings.Get(g.ID)
	return g.ID.Holder == s.members.Self().Holder() && !held
}

// AddHolding records a grant that a request of this daemon holds, so that it
// is renewed with its scheduler.
type AddHolding struct{ Holding mangoquery.Holding }

// Apply implements [mangoloop.Command].
func (c AddHolding) Apply(s *state, _ time.Time) error {
	s.holdings = s.holdings.With(c.Holding.Grant.ID, c.Holding)
	return nil
}

// RemoveHolding records that a request no longer holds a grant. If another
// scheduler issued the grant and this daemon's scheduler has adopted a copy,
// the copy ends as well.
type RemoveHolding struct{ Grant mangomodel.GrantID }

// Apply implements [mangoloop.Command].
func (c RemoveHolding) Apply(s *state, now time.Time) error {
	held, ok := s.holdings.Get(c.Grant)
	s.holdings = s.holdings.Without(c.Grant)
	if ok && held.Scheduler != s.members.Self().Daemon {
		s.scheduler.Withdraw(now, c.Grant)
		s.changed.shards = true
	}
	return nil
}
