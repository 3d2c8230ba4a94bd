package mangocommand

import (
	"slices"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// Acquire asks the scheduler for a grant and is answered when the demand is
// granted or refused. Repeating it with the same grant id is harmless.
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

// Await keeps the reply until the scheduler has decided.
func (c Acquire) Await(s *state, r mangoloop.Reply) {
	s.waiting[c.Demand.Grant] = append(s.waiting[c.Demand.Grant], r)
}

// Withdraw gives up a demand, and its grant if it was granted meanwhile.
type Withdraw struct{ Grant mangomodel.GrantID }

// Apply implements [mangoloop.Command].
func (c Withdraw) Apply(s *state, now time.Time) error {
	s.scheduler.Withdraw(now, c.Grant)
	delete(s.waiting, c.Grant)
	s.changed.shards = true
	return nil
}

// Release ends a grant that this daemon's scheduler gave. It fails with
// CodePreempted when the grant had been taken back.
type Release struct {
	Grant mangomodel.GrantID
	Usage mangomodel.Usage
}

// Apply implements [mangoloop.Command].
func (c Release) Apply(s *state, now time.Time) error {
	s.changed.shards = true
	return s.scheduler.Release(now, c.Grant, c.Usage)
}

// Renew lists all grants of this scheduler that a holder holds.
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

// Adopt takes over grants that another scheduler gave. A grant that this
// daemon itself no longer holds is left out, since nothing would end it.
type Adopt struct{ Grants []mangomodel.Grant }

// Apply implements [mangoloop.Command].
func (c Adopt) Apply(s *state, now time.Time) error {
	s.scheduler.Adopt(now, slices.DeleteFunc(slices.Clone(c.Grants), s.dropped))
	s.changed.shards = true
	return nil
}

// dropped reports whether a grant was held by this daemon and no longer is.
func (s *state) dropped(g mangomodel.Grant) bool {
	_, held := s.holdings.Get(g.ID)
	return g.ID.Holder == s.members.Self().Holder() && !held
}

// AddHolding notes a grant that a request of this daemon holds, so that it is
// renewed with its scheduler.
type AddHolding struct{ Holding mangoquery.Holding }

// Apply implements [mangoloop.Command].
func (c AddHolding) Apply(s *state, _ time.Time) error {
	s.holdings = s.holdings.With(c.Holding.Grant.ID, c.Holding)
	return nil
}

// RemoveHolding notes that a request no longer holds a grant. A copy that this daemon's
// scheduler has adopted from the one that gave it ends as well.
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
