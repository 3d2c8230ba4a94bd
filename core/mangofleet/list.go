package mangofleet

import (
	"slices"
	"time"

	"mangolane/core/mangodeparture"
	"mangolane/core/mangojournal"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// InstallRouting activates a revision of the configuration. A revision older
// than the active one is a conflict.
type InstallRouting struct {
	Routing *mangotraffic.Routing
	// Cursor is the position in the platform's record at which it was read;
	// zero if it came from another daemon.
	Cursor mangotraffic.Cursor
	// Age is the time since it was known to be current.
	Age time.Duration
	// From is the peer that it was received from.
	From mangomodel.PeerName
}

// Apply implements [Command].
func (c InstallRouting) Apply(s *state, now time.Time) error {
	s.routingCursor = mangotraffic.MaxCursor(s.routingCursor, c.Cursor)
	if s.routing != nil && c.Routing.Revision < s.routing.Revision {
		return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeConflict, mangomodel.RunNot,
			"revision %d is older than the active revision %d", c.Routing.Revision, s.routing.Revision)
	}
	if s.routing == nil || c.Routing.Revision > s.routing.Revision {
		s.observer.RoutingChanged(c.Routing.Revision, c.From)
	}
	s.routing = c.Routing
	s.confirmRouting(c.Age, now)
	s.pool.Configure(c.Routing)
	s.rankAgain()
	s.replySynced()
	s.serveQueue(now)
	return nil
}

// RoutingUnchanged records that the configuration has not changed up to a cursor.
type RoutingUnchanged struct {
	Cursor mangotraffic.Cursor
	// Age is the time since the record was read.
	Age time.Duration
}

// Apply implements [Command].
func (c RoutingUnchanged) Apply(s *state, now time.Time) error {
	s.routingCursor = mangotraffic.MaxCursor(s.routingCursor, c.Cursor)
	s.confirmRouting(c.Age, now)
	return nil
}

// RoutingConfirmed records that another daemon knew a revision to be the newest one some
// time ago. It has no effect before this daemon has that revision.
type RoutingConfirmed struct {
	Revision mangomodel.Revision
	Age      time.Duration
}

// Apply implements [Command].
func (c RoutingConfirmed) Apply(s *state, now time.Time) error {
	if s.routing != nil && s.routing.Revision >= c.Revision {
		s.confirmRouting(c.Age, now)
	}
	return nil
}

// confirmRouting records that the configuration was current at an age.
func (s *state) confirmRouting(age time.Duration, now time.Time) {
	if read := now.Add(-age); read.After(s.routingRead) {
		s.routingRead = read
	}
}

// ChangeServers applies changes of the server list.
type ChangeServers struct {
	Changes []mangotraffic.ServerChange
	// Full is set when the changes are the whole list.
	Full bool
	// Age is the time since the list was read.
	Age time.Duration
	// After is the position before the changes, and Cursor the one after them.
	// A command is ignored if Cursor is before the position already reached. It
	// cannot be applied if After is beyond that position, or Cursor of a later era,
	// unless Full is set.
	After, Cursor mangotraffic.Cursor
	// Copy is the position of the first list that was read of the era, and CopyAge the time
	// since then. Copy is zero if the sender knows of no earlier era.
	Copy    mangotraffic.Cursor
	CopyAge time.Duration
	// Left are the servers that have left lately. The entries of the older copy may name
	// them.
	Left []Departure
	// From is the peer that they were received from.
	From mangomodel.PeerName
}

// Platform is the peer from which changes come that were read from the platform's record.
const Platform mangomodel.PeerName = "platform"

// FromPlatform reports whether the changes were read from the platform's record.
func (c ChangeServers) FromPlatform() bool { return c.From == Platform }

// Apply implements [Command].
func (c ChangeServers) Apply(s *state, now time.Time) error {
	read := now.Add(-c.Age)
	s.readAt(read, now)
	gap := !c.Full && (c.After.After(s.listCursor) || c.Cursor.Era > s.listCursor.Era)
	if gap || c.Cursor.Before(s.listCursor) {
		s.observer.ListIgnored(c, s.listCursor)
		return nil
	}
	restored := s.isRestored(c.Cursor)
	if restored {
		s.storeRestored(now)
	}
	s.recordCopy(c, now)
	if read.After(s.listRead) {
		s.listRead = read
	}
	switch {
	case c.Full && restored:
		s.observer.StoreRestored(s.listCursor, c.Cursor)
		s.judgeCopy(c.Changes, now)
	case c.Full:
		s.retainDeferred(c.Changes, now)
	}
	if c.Full {
		c.Changes = s.withoutDeferred(c.Changes, restored, now)
	}
	c.Changes = s.withGraces(c.Changes, now)
	if len(c.Changes) > 0 {
		s.observer.ServersChanged(c)
	}
	listed := make(map[mangomodel.ServerID]bool, len(c.Changes))
	for _, change := range c.Changes {
		listed[change.ID] = true
		s.applyChange(change, now)
	}
	if c.Full {
		for _, id := range s.pool.Missing(listed) {
			server, _ := s.pool.Server(id)
			grace := s.grace(&server, now)
			s.removing(id, grace, now)
			s.pool.RemoveServer(id, grace, now)
		}
	}
	s.recordLeft(c.Left, now)
	s.appendJournal(c, now)
	s.replySynced()
	s.serveQueue(now)
	return nil
}

// Delayed returns the command as it holds some time later: what is left of the
// graces is shorter, and the copy and the departures are older.
func (c ChangeServers) Delayed(by time.Duration) ChangeServers {
	c.Changes = slices.Clone(c.Changes)
	c.CopyAge += by
	c.Left = slices.Clone(c.Left)
	for i := range c.Left {
		c.Left[i].Age += by
	}
	for i := range c.Changes {
		c.Changes[i].Grace = max(c.Changes[i].Grace-by, 0)
	}
	return c
}

// withGraces returns the changes with the graces that this daemon gives. One that
// another daemon has begun may last longer.
func (s *state) withGraces(changes []mangotraffic.ServerChange, now time.Time) []mangotraffic.ServerChange {
	changes = slices.Clone(changes)
	for i, c := range changes {
		if c.Server == nil {
			changes[i].Grace = max(c.Grace, s.outages.Grace(now))
		}
	}
	return changes
}

func (s *state) applyChange(change mangotraffic.ServerChange, now time.Time) {
	if change.Server == nil {
		s.departures.Removed(change.ID, now)
		s.removing(change.ID, change.Grace, now)
		s.pool.RemoveServer(change.ID, change.Grace, now)
		return
	}
	if s.isSuperseded(change.Server, now) {
		s.supersede(change.Server, mangodeparture.ConfirmTime, now)
		return
	}
	s.departures.Written(change.ID)
	s.pool.PutServer(*change.Server)
}

// appendJournal adds the changes to the journal, from which other daemons are
// brought up to date.
func (s *state) appendJournal(c ChangeServers, now time.Time) {
	if c.Cursor == s.listCursor {
		return
	}
	s.listCursor = c.Cursor
	switch {
	case c.Full:
		s.journal = s.journal.Reset(c.Cursor)
	case len(c.Changes) > 0:
		s.journal = s.journal.With(mangojournal.Entry{Changes: c.Changes, At: now, Cursor: c.Cursor})
	}
}

// ChangesAfter returns the command that brings another daemon from a position to
// this daemon's position. It reports false if the changes after that position
// are no longer kept.
func (v *View) ChangesAfter(after mangotraffic.Cursor, now time.Time) (ChangeServers, bool) {
	changes, ok := v.journal.After(after, now)
	if !ok {
		return ChangeServers{}, false
	}
	cmd := ChangeServers{
		Changes: changes, Age: now.Sub(v.ListRead), After: mangotraffic.MinCursor(after, v.ListCursor), Cursor: v.ListCursor,
		Copy: v.restored.copy, CopyAge: v.restored.age(now),
	}
	if !cmd.Copy.IsZero() && cmd.CopyAge < mangodeparture.ConfirmTime {
		cmd.Left = v.departures(now)
	}
	return cmd, true
}

// List returns the command that replaces another daemon's list by this daemon's.
// Servers whose grace period runs are left out: they reappear or are removed soon. Entries
// that are deferred are not, unless a later incarnation is listed: the other daemon defers
// them too, since it is told which servers have left.
func (v *View) List(now time.Time) ChangeServers {
	cmd := ChangeServers{
		Full: true, Cursor: v.ListCursor, Age: now.Sub(v.ListRead), Copy: v.restored.copy, CopyAge: v.restored.age(now),
		Left: v.departures(now),
	}
	for id, server := range v.Listed {
		if v.expired[id] {
			continue
		}
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	for _, server := range v.deferred {
		if _, ok := v.Listed[server.ID]; ok && !v.expired[server.ID] {
			continue
		}
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: server.ID, Server: &server})
	}
	return cmd
}

// Drain begins a graceful shutdown: the daemon is no longer ready.
type Drain struct{}

// Apply implements [Command].
func (Drain) Apply(s *state, _ time.Time) error {
	s.draining = true
	s.changed.members = true
	return nil
}
