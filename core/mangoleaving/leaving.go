// Package mangoleaving keeps which backend servers have announced in an answer that
// they leave.
//
// An announcement withdraws one incarnation of a server. Entries of the server list do
// not revoke it, since the list may be older than the answer; only a later incarnation
// under the same id ends it.
//
// # Usage
//
//	w := mangoleaving.New()
//	w.Add(server.Ref(), true, now)
//	if w.Holds(server.Ref()) { ... }
package mangoleaving

import (
	"maps"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Retention is how long the withdrawal of a server without an entry in the list is
// kept. An entry that expired may be listed again until the server has ended.
const Retention = 5 * time.Minute

// Withdrawal is a server that has announced that it leaves.
type Withdrawal struct {
	Server mangotraffic.ServerRef
	// Own is set if an answer to this daemon had the announcement.
	Own bool
	// unlistedAt is when the server was found to have no entry; zero while it has one.
	unlistedAt time.Time
}

// Withdrawals holds the withdrawn servers.
type Withdrawals struct {
	servers map[mangomodel.ServerID]Withdrawal
}

// New returns an empty set.
func New() *Withdrawals {
	return &Withdrawals{servers: make(map[mangomodel.ServerID]Withdrawal)}
}

// Add withdraws an incarnation. It reports whether that changed anything.
func (w *Withdrawals) Add(ref mangotraffic.ServerRef, own bool, now time.Time) bool {
	w.Expire(now)
	last, ok := w.servers[ref.ID]
	switch {
	case !ok || ref.After(last.Server):
		w.servers[ref.ID] = Withdrawal{Server: ref, Own: own}
		return true
	case last.Server.Same(ref) && own && !last.Own:
		last.Own = true
		w.servers[ref.ID] = last
		return true
	default:
		return false
	}
}

// Holds reports whether an incarnation is withdrawn. An earlier one than the withdrawn
// one has ended.
func (w *Withdrawals) Holds(ref mangotraffic.ServerRef) bool {
	last, ok := w.servers[ref.ID]
	return ok && !ref.After(last.Server)
}

// Listed records that the list has an entry of an incarnation, and removes the
// withdrawal of an earlier one.
func (w *Withdrawals) Listed(ref mangotraffic.ServerRef) {
	last, ok := w.servers[ref.ID]
	switch {
	case !ok:
	case ref.After(last.Server):
		delete(w.servers, ref.ID)
	default:
		last.unlistedAt = time.Time{}
		w.servers[ref.ID] = last
	}
}

// Unlisted records that the list has no entry of a server.
func (w *Withdrawals) Unlisted(id mangomodel.ServerID, now time.Time) {
	if last, ok := w.servers[id]; ok && last.unlistedAt.IsZero() {
		last.unlistedAt = now
		w.servers[id] = last
	}
}

// Expire removes the withdrawals of servers that have had no entry for [Retention].
func (w *Withdrawals) Expire(now time.Time) {
	maps.DeleteFunc(w.servers, func(_ mangomodel.ServerID, x Withdrawal) bool {
		return !x.unlistedAt.IsZero() && now.Sub(x.unlistedAt) >= Retention
	})
}

// All returns a copy of the withdrawals.
func (w *Withdrawals) All() map[mangomodel.ServerID]Withdrawal { return maps.Clone(w.servers) }
