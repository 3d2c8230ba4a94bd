package mangofleet

import (
	"time"

	"mangolane/core/mangojournal"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// InstallRouting puts a revision in force. An older one than the one in force
// is a conflict.
type InstallRouting struct {
	Routing *mangotraffic.Routing
	// Cursor is where it was read; zero if it came from another daemon.
	Cursor mangotraffic.Cursor
	// From is where it was learned.
	From mangomodel.PeerName
}

// Apply applies the command.
func (c InstallRouting) Apply(s *state, now time.Time) error {
	s.routingCursor = max(s.routingCursor, c.Cursor)
	if s.routing != nil && c.Routing.Revision < s.routing.Revision {
		return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeConflict, mangomodel.RunNot,
			"revision %d is older than %d in force", c.Routing.Revision, s.routing.Revision)
	}
	if s.routing == nil || c.Routing.Revision > s.routing.Revision {
		s.observer.RoutingChanged(c.Routing.Revision, c.From)
	}
	s.routing = c.Routing
	s.pool.Configure(c.Routing)
	s.serveQueue(now)
	return nil
}

// RoutingUnchanged says that nothing has changed up to a cursor.
type RoutingUnchanged struct{ Cursor mangotraffic.Cursor }

// Apply applies the command.
func (c RoutingUnchanged) Apply(s *state, _ time.Time) error {
	s.routingCursor = max(s.routingCursor, c.Cursor)
	return nil
}

// ChangeServers applies changes of the list of servers.
type ChangeServers struct {
	Changes []mangotraffic.ServerChange
	// Full is set when the changes are the whole list.
	Full bool
	// Grace is how long entries that are gone are still used, because they may
	// have lapsed while the list could not be written.
	Grace time.Duration
	// Age is how old the changes are.
	Age time.Duration
	// After is the position before the changes, and Cursor that after them.
	// Changes up to a position that is reached already are ignored, those after
	// a later one cannot be applied.
	After, Cursor mangotraffic.Cursor
	// From is where they were learned.
	From mangomodel.PeerName
}

// Apply applies the command.
func (c ChangeServers) Apply(s *state, now time.Time) error {
	if c.Cursor < s.listCursor || c.After > s.listCursor && !c.Full {
		return nil
	}
	if read := now.Add(-c.Age); read.After(s.listRead) {
		s.listRead = read
	}
	if len(c.Changes) > 0 {
		s.observer.ServersChanged(c)
	}
	listed := make(map[mangomodel.ServerID]bool, len(c.Changes))
	for _, change := range c.Changes {
		listed[change.ID] = true
		s.apply(change, c.Grace, now)
	}
	if c.Full {
		for _, id := range s.pool.Missing(listed) {
			s.pool.RemoveServer(id, c.Grace, now)
		}
	}
	s.record(c)
	s.serveQueue(now)
	return nil
}

func (s *state) apply(change mangotraffic.ServerChange, grace time.Duration, now time.Time) {
	if change.Server == nil {
		s.pool.RemoveServer(change.ID, grace, now)
		return
	}
	s.pool.PutServer(*change.Server)
}

// record keeps changes for the daemons that ask for them.
func (s *state) record(c ChangeServers) {
	if c.Cursor == s.listCursor {
		return
	}
	s.listCursor = c.Cursor
	switch {
	case c.Full:
		s.journal = s.journal.Reset(c.Cursor)
	case len(c.Changes) > 0:
		s.journal = s.journal.With(mangojournal.Entry{Changes: c.Changes, Grace: c.Grace, Cursor: c.Cursor})
	}
}

// ChangesAfter returns the command that brings a daemon from a position to this
// one's. It reports false for one that is too far behind for that.
func (v *View) ChangesAfter(after mangotraffic.Cursor, now time.Time) (ChangeServers, bool) {
	news, ok := v.journal.After(after)
	if !ok {
		return ChangeServers{}, false
	}
	return ChangeServers{
		Changes: news.Changes, Grace: news.Grace, Age: now.Sub(v.ListRead), After: min(after, v.ListCursor), Cursor: v.ListCursor,
	}, true
}

// List returns the command that gives a daemon the whole list, without the
// servers that have lapsed: they are listed again or gone soon.
func (v *View) List(now time.Time) ChangeServers {
	cmd := ChangeServers{Full: true, Cursor: v.ListCursor, Age: now.Sub(v.ListRead)}
	for id, server := range v.Listed {
		if v.expired[id] {
			continue
		}
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	return cmd
}

// Drain begins a graceful shutdown: the daemon is no longer ready.
type Drain struct{}

// Apply applies the command.
func (Drain) Apply(s *state, _ time.Time) error {
	s.draining = true
	s.changed.members = true
	return nil
}
