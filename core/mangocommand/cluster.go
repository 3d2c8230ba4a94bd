package mangocommand

import (
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// rememberedChanges is how many applied changes are kept for other daemons.
const rememberedChanges = 128

// ApplyChange applies one accepted change of configuration. A change that is
// already in force is ignored, so that configuration never reverts; one that
// leaves a gap is a fault with CodeConflict.
type ApplyChange struct{ Change mangoconfig.AcceptedChange }

// Apply implements [mangoloop.Command].
func (c ApplyChange) Apply(s *state, now time.Time) error {
	have := s.catalog.Revision()
	if c.Change.Revision <= have {
		return nil
	}
	if c.Change.Revision != have+1 {
		return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeConflict, mangomodel.RunNot,
			"change %d does not follow revision %d", c.Change.Revision, have)
	}
	next, err := s.catalog.Apply(c.Change.Change)
	if err != nil {
		return err
	}
	s.catalog = next
	s.recent = append(slices.Clone(s.recent), c.Change)
	s.recent = s.recent[max(0, len(s.recent)-rememberedChanges):]
	s.configure(now)
	return nil
}

// InstallCatalog replaces the catalog by a newer one. An older one is
// ignored.
type InstallCatalog struct{ Catalog *mangoconfig.Catalog }

// Apply implements [mangoloop.Command].
func (c InstallCatalog) Apply(s *state, now time.Time) error {
	if c.Catalog.Revision() <= s.catalog.Revision() {
		return nil
	}
	s.catalog = c.Catalog
	s.recent = nil
	s.configure(now)
	return nil
}

// MergeMembers takes in records of daemons from a peer.
type MergeMembers struct{ Members []mangomember.Member }

// Apply implements [mangoloop.Command].
func (c MergeMembers) Apply(s *state, now time.Time) error {
	s.lose(now, s.members.Merge(now, c.Members))
	s.changed.members = true
	return nil
}

// MarkSent notes that records of daemons were put on a message.
type MarkSent struct{ Members []mangomember.Member }

// Apply implements [mangoloop.Command].
func (c MarkSent) Apply(s *state, _ time.Time) error {
	s.members.MarkSent(c.Members)
	s.changed.members = true
	return nil
}

// ProbeFailed notes that a daemon answered neither directly nor through
// helpers.
type ProbeFailed struct{ Daemon mangomodel.DaemonID }

// Apply implements [mangoloop.Command].
func (c ProbeFailed) Apply(s *state, now time.Time) error {
	s.members.ProbeFailed(now, c.Daemon)
	s.changed.members = true
	return nil
}

// MergeSuspicions takes in the crashes that other daemons saw.
type MergeSuspicions struct{ Suspicions []mangomodel.Suspicion }

// Apply implements [mangoloop.Command].
func (c MergeSuspicions) Apply(s *state, now time.Time) error {
	s.scheduler.MergeSuspicions(now, c.Suspicions)
	s.changed.shards = true
	return nil
}

// RecordLoad takes in a backend server's report of itself.
type RecordLoad struct{ Load mangomodel.Load }

// Apply implements [mangoloop.Command].
func (c RecordLoad) Apply(s *state, now time.Time) error {
	s.scheduler.RecordLoad(now, c.Load)
	s.changed.shards = true
	return nil
}

// MarkServerUnreachable notes that a backend server did not answer. Refused says that
// its host answered and no process listens there.
type MarkServerUnreachable struct {
	Server  mangomodel.ServerID
	Refused bool
}

// Apply implements [mangoloop.Command].
func (c MarkServerUnreachable) Apply(s *state, now time.Time) error {
	s.scheduler.ServerUnreachable(now, c.Server, c.Refused)
	s.changed.shards = true
	return nil
}

// MarkServerFailed notes that a call to a plain service failed.
type MarkServerFailed struct{ Server mangomodel.ServerID }

// Apply implements [mangoloop.Command].
func (c MarkServerFailed) Apply(s *state, now time.Time) error {
	s.failing[c.Server] = now
	s.changed.failing = true
	return nil
}

// SetLeaving replaces the set of servers that the platform's host list shows
// as leaving, unless a newer reading of the list is known.
type SetLeaving struct{ Reading mangoquery.HostReading }

// Apply implements [mangoloop.Command].
func (c SetLeaving) Apply(s *state, now time.Time) error {
	if !c.Reading.At.After(s.reading.At) {
		return nil
	}
	changed := !slices.Equal(c.Reading.Leaving, s.reading.Leaving)
	s.reading = c.Reading
	if changed {
		s.configure(now)
	}
	return nil
}

// Stop begins a graceful shutdown: the daemon gives up its shards and tasks
// and takes no new requests.
type Stop struct{}

// Apply implements [mangoloop.Command].
func (Stop) Apply(s *state, _ time.Time) error {
	if s.stopping {
		return nil
	}
	s.stopping = true
	s.members.Leave()
	s.changed.members = true
	return nil
}
