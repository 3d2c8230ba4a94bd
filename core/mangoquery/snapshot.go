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
	// Scheduler is the daemon that returned the grant: the scheduler that issued
	// it or, for another data centre, the daemon that forwarded the demand.
	Scheduler mangomodel.DaemonID
}

// ShardStatus is the status of a shard in this daemon's scheduler: its slots, the
// slots in use and the demands waiting, by rank. The scheduler holds all shards
// of the local data centre, also those that other daemons own.
type ShardStatus struct {
	Shard   mangomodel.ShardID
	Slots   int
	Used    [mangomodel.Ranks]int
	Waiting [mangomodel.Ranks]int
	// Builds counts the decode servers of each build that accept new requests; nil if
	// none states its build.
	Builds map[mangomodel.Build]int `json:",omitempty"`
}

// HostListReading is the result of reading the platform's host list.
type HostListReading struct {
	// At is when the list was read, by the clock of the daemon that read it.
	At time.Time
	// Leaving holds the backend servers that are leaving, sorted by ID.
	Leaving []mangomodel.ServerID
}

// IsLeaving reports whether a server is leaving.
func (r HostListReading) IsLeaving(id mangomodel.ServerID) bool {
	_, found := slices.BinarySearch(r.Leaving, id)
	return found
}

// Snapshot is a daemon's control state at one instant. It is immutable once
// published.
type Snapshot struct {
	Self    mangomember.Member
	Catalog *mangoconfig.Catalog
	// RecentChanges are the last applied changes, consecutive and ending at the
	// catalog's revision.
	RecentChanges []mangoconfig.AcceptedChange
	Members       []mangomember.Member
	// Rendezvous selects daemons among the members.
	Rendezvous Rendezvous
	// PendingUpdates are the member records that are still to be sent on
	// exchange messages.
	PendingUpdates []mangomember.Member
	// Stopping is set once the daemon has begun a graceful shutdown.
	Stopping bool
	// Grants are the active grants of this daemon's scheduler.
	Grants Index[mangomodel.GrantID, mangomodel.Grant]
	// Holdings are the grants that this daemon's requests hold.
	Holdings Index[mangomodel.GrantID, Holding]
	// HostList is the latest reading of the platform's host list.
	HostList HostListReading
	// LastFailure is when a call to each server of a plain service last failed.
	LastFailure map[mangomodel.ServerID]time.Time
	// Backoffs are the ends of the times for which engines want nothing from this daemon.
	Backoffs map[mangomodel.ServerID]time.Time
	// BusyUntil is until when each shard is avoided after a refusal.
	BusyUntil map[mangomodel.ShardID]time.Time
	// LastUnreachable is when each daemon was last found unreachable as a
	// scheduler.
	LastUnreachable map[mangomodel.DaemonID]time.Time
	// Suspicions are the requests that were running on servers that crashed.
	Suspicions []mangomodel.Suspicion
	Shards     []ShardStatus
}

// Grant returns an active grant of this daemon's scheduler.
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

// ChangesAfter returns the retained changes after a revision, and whether they
// lead up to the active configuration without a gap.
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
