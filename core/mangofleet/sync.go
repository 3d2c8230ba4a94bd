package mangofleet

import (
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
)

// AwaitSync waits until this daemon has received the configuration and the list of
// servers. [Fleet.Do] returns nil then.
type AwaitSync struct{}

// Await keeps the reply until the daemon is synced.
func (AwaitSync) Await(s *state, r mangoloop.Reply) { s.unsynced = append(s.unsynced, r) }

// Apply refuses a call beyond the limit of waiting ones.
func (AwaitSync) Apply(s *state, _ time.Time) error {
	if len(s.unsynced) > maxQueue {
		s.unsynced = s.unsynced[:maxQueue]
		return refused(mangomodel.CodeOverloaded, "%d calls wait for the first configuration", maxQueue)
	}
	s.replySynced()
	return nil
}

// replySynced replies to the calls that wait, once the daemon is synced.
func (s *state) replySynced() {
	if s.routing == nil || s.listRead.IsZero() {
		return
	}
	for _, r := range s.unsynced {
		r.Send(nil)
	}
	s.unsynced = nil
}
