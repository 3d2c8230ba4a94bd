package mangofleet

import (
	"time"

	"mangolane/core/mangohealth"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// reappearTime is how long an entry that vanished during an outage of the list
// is still used: live servers are listed again within two seconds of its
// return.
const reappearTime = 2 * time.Second

// InstallRouting puts a revision in force. An older one than the one in force
// is a conflict.
type InstallRouting struct{ Routing *mangotraffic.Routing }

// Apply applies the command.
func (c InstallRouting) Apply(s *state, now time.Time) error {
	if s.routing != nil && c.Routing.Revision < s.routing.Revision {
		return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeConflict, mangomodel.RunNot,
			"revision %d is older than %d in force", c.Routing.Revision, s.routing.Revision)
	}
	s.routing = c.Routing
	s.serveQueue(now)
	return nil
}

// ChangeServers applies changes of the list of servers.
type ChangeServers struct {
	Changes []mangotraffic.ServerChange
	// Full is set when the changes are the whole list.
	Full bool
	// AfterOutage is set when entries may have lapsed because the list could
	// not be written.
	AfterOutage bool
	// Age is how old the changes are.
	Age time.Duration
}

// Apply applies the command.
func (c ChangeServers) Apply(s *state, now time.Time) error {
	s.listRead = now.Add(-c.Age)
	listed := make(map[mangomodel.ServerID]bool, len(c.Changes))
	for _, change := range c.Changes {
		listed[change.ID] = true
		if change.Server == nil {
			s.vanish(change.ID, c.AfterOutage, now)
			continue
		}
		s.list(*change.Server)
	}
	if c.Full {
		for id := range s.backends {
			if !listed[id] {
				s.vanish(id, c.AfterOutage, now)
			}
		}
	}
	s.serveQueue(now)
	return nil
}

// list adds or updates a server. A new life starts without a history.
func (s *state) list(server mangotraffic.Server) {
	s.changed.list = true
	m, ok := s.backends[server.ID]
	if !ok {
		s.backends[server.ID] = newBackend(server)
		s.attach(server.ID)
		return
	}
	if !m.server.SameLife(&server) {
		m.health = mangohealth.Record{}
		m.fullUntil = time.Time{}
	}
	m.server = server
	m.goneAt = time.Time{}
}

// vanish removes a server, or gives it time to be listed again.
func (s *state) vanish(id mangomodel.ServerID, afterOutage bool, now time.Time) {
	m, ok := s.backends[id]
	if !ok {
		return
	}
	if !afterOutage || m.server.State == mangotraffic.StateLeaving {
		s.remove(id)
		return
	}
	if m.goneAt.IsZero() {
		m.goneAt = now.Add(reappearTime)
	}
}

func (s *state) remove(id mangomodel.ServerID) {
	delete(s.backends, id)
	s.changed.list = true
}

// attach finds the leases of a server that was not listed for a while.
func (s *state) attach(id mangomodel.ServerID) {
	for lease, l := range s.leases {
		if l.server == id {
			s.backends[id].runs[lease] = l
		}
		if l.prefill == id {
			s.backends[id].prefills[lease] = l
		}
	}
}

// expireEntries removes the servers that were not listed again in time.
func (s *state) expireEntries(now time.Time) {
	for id, m := range s.backends {
		if !m.goneAt.IsZero() && !now.Before(m.goneAt) {
			s.remove(id)
		}
	}
}

// Drain begins a graceful shutdown: the daemon is no longer ready.
type Drain struct{}

// Apply applies the command.
func (Drain) Apply(s *state, _ time.Time) error {
	s.draining = true
	s.changed.members = true
	return nil
}
