package mangoquery

import (
	"slices"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// Holding is a grant that a request of this daemon holds.
type Holding struct {
	Grant mangomodel.Grant
	// Scheduler is the daemon that gave the grant.
	Scheduler mangomodel.DaemonID
}

// ShardStatus is what is shown of a shard that this daemon schedules.
type ShardStatus struct {
	Shard   mangomodel.ShardID
	Slots   int
	Used    [mangomodel.Ranks]int
	Waiting [mangomodel.Ranks]int
}

// HostReading is what a reading of the platform's host list showed.
type HostReading struct {
	// At is when the list was read, by the reader's clock.
	At time.Time
	// Leaving are the backend servers that are leaving, in order.
	Leaving []mangomodel.ServerID
}

// IsLeaving reports whether a server is leaving.
func (r HostReading) IsLeaving(id mangomodel.ServerID) bool {
	_, found := slices.BinarySearch(r.Leaving, id)
	return found
}

// Snapshot is a daemon's control state at one instant. Its fields are not
// changed after it was published.
type Snapshot struct {
	Self    mangomember.Member
	Catalog *mangoconfig.Catalog
	// RecentChanges are the last applied changes, up to the catalog's revision.
	RecentChanges []mangoconfig.AcceptedChange
	Members       []mangomember.Member
	// Rendezvous choose daemons among the members.
	Rendezvous Rendezvous
	// PendingUpdates are the records of daemons that still travel on messages.
	PendingUpdates []mangomember.Member
	// Stopping is set once the daemon has begun a graceful shutdown.
	Stopping bool
	// Grants are those that this daemon's scheduler has in force.
	Grants Index[mangomodel.GrantID, mangomodel.Grant]
	// Holdings are the grants that this daemon's requests hold.
	Holdings Index[mangomodel.GrantID, Holding]
	// HostList is the newest known reading of the platform's host list.
	HostList HostReading
	// LastFailure is when a call to a server last failed.
	LastFailure map[mangomodel.ServerID]time.Time
	// BusyUntil is until when a shard is not asked again after a refusal.
	BusyUntil map[mangomodel.ShardID]time.Time
	// LastUnreachable is when a daemon could last not be reached as a scheduler.
	LastUnreachable map[mangomodel.DaemonID]time.Time
	// Suspicions are the requests that were aboard crashes.
	Suspicions []mangomodel.Suspicion
	Shards     []ShardStatus
}

// Grant returns a grant that this daemon's scheduler gave.
func (s *Snapshot) Grant(id mangomodel.GrantID) (mangomodel.Grant, bool) {
	return s.Grants.Get(id)
}

// Workspace returns the effective parameters of a workspace.
func (s *Snapshot) Workspace(id mangomodel.WorkspaceID) (mangoconfig.EffectiveWorkspace, bool) {
	return s.Catalog.Workspace(id)
}

// Server returns the announcement of a backend server.
func (s *Snapshot) Server(id mangomodel.ServerID) (mangoconfig.Host, bool) {
	return s.Catalog.Host(mangomodel.HostID(id))
}

// Member returns the record of a daemon.
func (s *Snapshot) Member(id mangomodel.DaemonID) (mangomember.Member, bool) {
	for _, m := range s.Members {
		if m.Daemon == id {
			return m, true
		}
	}
	return mangomember.Member{}, false
}

// ChangesAfter returns the remembered changes after a revision, and whether
// they lead up to the configuration in force without a gap.
func (s *Snapshot) ChangesAfter(rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, bool) {
	if rev >= s.Catalog.Revision() {
		return nil, true
	}
	for i, c := range s.RecentChanges {
		if c.Revision == rev+1 {
			return s.RecentChanges[i:], true
		}
	}
	return nil, false
}
