package mangocommand

import (
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// maxRecentChanges bounds the applied changes that are kept for other daemons.
const maxRecentChanges = 128

// ApplyChange applies one accepted configuration change. A change at or below
// the current revision is ignored, so that configuration never reverts. A
// change that skips a revision fails with CodeConflict.
type ApplyChange struct{ Change mangoconfig.AcceptedChange }

// Apply implements [mangoloop.Command].
func (c ApplyChange) Apply(s *state, now time.Time) error {
	current := s.catalog.Revision()
	if c.Change.Revision <= current {
		return nil
	}
	if c.Change.Revision != current+1 {
		return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeConflict, mangomodel.RunNot,
			"change %d does not follow revision %d", c.Change.Revision, current)
	}
	next, err := s.catalog.Apply(c.Change.Change)
	if err != nil {
		return err
	}
	s.catalog = next
	s.recentChanges = append(slices.Clone(s.recentChanges), c.Change)
	s.recentChanges = s.recentChanges[max(0, len(s.recentChanges)-maxRecentChanges):]
	s.configure(now)
	return nil
}

// InstallCatalog replaces the catalog with a newer one. A catalog that is not
// newer is ignored.
type InstallCatalog struct{ Catalog *mangoconfig.Catalog }

// Apply implements [mangoloop.Command].
func (c InstallCatalog) Apply(s *state, now time.Time) error {
	if c.Catalog.Revision() <= s.catalog.Revision() {
		return nil
	}
	s.catalog = c.Catalog
	s.recentChanges = nil
	s.configure(now)
	return nil
}

// MergeMembers merges member records received from a peer.
type MergeMembers struct{ Members []mangomember.Member }

// Apply implements [mangoloop.Command].
func (c MergeMembers) Apply(s *state, now time.Time) error {
	s.endLostGrants(now, s.members.Merge(now, c.Members))
	s.changed.members = true
	return nil
}

// MarkSent records that member records were sent on an exchange message.
type MarkSent struct{ Members []mangomember.Member }

// Apply implements [mangoloop.Command].
func (c MarkSent) Apply(s *state, _ time.Time) error {
	s.members.MarkSent(c.Members)
	s.changed.members = true
	return nil
}

// ProbeFailed records that a daemon responded to neither a direct nor an
// indirect probe.
type ProbeFailed struct{ Daemon mangomodel.DaemonID }

// Apply implements [mangoloop.Command].
func (c ProbeFailed) Apply(s *state, now time.Time) error {
	s.members.ProbeFailed(now, c.Daemon)
	s.changed.members = true
	return nil
}

// MergeSuspicions merges the crash suspicions recorded by other daemons.
type MergeSuspicions struct{ Suspicions []mangomodel.Suspicion }

// Apply implements [mangoloop.Command].
func (c MergeSuspicions) Apply(s *state, now time.Time) error {
	s.scheduler.MergeSuspicions(now, c.Suspicions)
	s.changed.shards = true
	return nil
}

// RecordLoad records a backend server's load report.
type RecordLoad struct{ Load mangomodel.Load }

// Apply implements [mangoloop.Command].
func (c RecordLoad) Apply(s *state, now time.Time) error {
	s.scheduler.RecordLoad(now, c.Load)
	s.changed.shards = true
	return nil
}

// MarkServerUnreachable records that a backend server did not respond. Refused
// is set if its host refused the connection, so no process listens there.
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

// MarkServerFailed records that a call to a server of a plain service failed.
type MarkServerFailed struct{ Server mangomodel.ServerID }

// Apply implements [mangoloop.Command].
func (c MarkServerFailed) Apply(s *state, now time.Time) error {
	s.lastFailure[c.Server] = now
	s.changed.failures = true
	return nil
}

// SetHostList replaces the set of servers that are leaving according to the
// platform's host list. A reading that is not newer than the recorded one is
// ignored.
type SetHostList struct{ Reading mangoquery.HostListReading }

// Apply implements [mangoloop.Command].
func (c SetHostList) Apply(s *state, now time.Time) error {
	if !c.Reading.At.After(s.hostList.At) {
		return nil
	}
	changed := !slices.Equal(c.Reading.Leaving, s.hostList.Leaving)
	s.hostList = c.Reading
	if changed {
		s.configure(now)
	}
	return nil
}

// Stop begins a graceful shutdown: the daemon hands over its shards and tasks
// and accepts no new requests.
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
