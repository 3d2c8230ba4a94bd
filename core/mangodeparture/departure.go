// Package mangodeparture keeps which backend servers have left the list lately, and decides
// which entries of an older copy of the list are used.
//
// After the platform's store has come back from an older copy of itself, the list names
// servers that have left since the copy. One that had announced that it leaves stays out of
// use. One whose entry was removed may have lost it while it was cut off, and may live: its
// entry is deferred until it is written again, or until the store has had the time to remove
// the entry of a server that is gone. So is an entry of an earlier incarnation of a server
// that has restarted since the copy, and one that arrives late.
//
// # Usage
//
//	d := mangodeparture.New()
//	d.Left(server, now)
//	d.Restored(now)
//	if d.Judge(entry, now) == mangodeparture.VerdictDefer { // for each entry of the older copy
//		d.Defer(entry, now)
//	}
//	for _, server := range d.Confirmed(now) { // when NextDue says so
//		d.Written(server.ID)
//	}
package mangodeparture

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Verdict -trimprefix=Verdict -output=verdict_string.go

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// Retention is how long a departure is kept. Copies of the store are some seconds old.
	Retention = time.Minute
	// ConfirmTime is how long the entry of a server that had left is deferred: some
	// heartbeats more than the store waits for before it removes an entry.
	ConfirmTime = 6 * time.Second
)

// Verdict is what becomes of an entry of an older copy.
type Verdict int

const (
	// VerdictUse means that the server has not left, or is another incarnation.
	VerdictUse Verdict = iota
	// VerdictDefer means that the entry had been removed.
	VerdictDefer
	// VerdictWithdraw means that the server had announced that it leaves.
	VerdictWithdraw
)

// Departure is a server that has left the list.
type Departure struct {
	Server mangotraffic.ServerRef
	// Leaving is set if the server had announced that it leaves.
	Leaving bool
	At      time.Time
}

// deferral is an entry that is not used yet.
type deferral struct {
	server mangotraffic.Server
	until  time.Time
}

// Departures holds the servers that have left lately and the deferred entries. It has no
// clock and no goroutine: its owner passes in the time.
type Departures struct {
	left     map[mangomodel.ServerID]Departure
	deferred map[mangomodel.ServerID]deferral
	// until is when the entries of the last copy are confirmed.
	until time.Time
	// known holds the departures of left; nil after a change.
	known []Departure
}

// New returns an empty record.
func New() *Departures {
	return &Departures{left: make(map[mangomodel.ServerID]Departure), deferred: make(map[mangomodel.ServerID]deferral)}
}

// Left records that the entry of a server was removed.
func (d *Departures) Left(server *mangotraffic.Server, now time.Time) {
	maps.DeleteFunc(d.left, func(_ mangomodel.ServerID, x Departure) bool { return now.Sub(x.At) >= Retention })
	d.record(Departure{server.Ref(), server.State == mangotraffic.StateLeaving, now})
}

// Told records a departure that another daemon knows of, unless a later one is known.
func (d *Departures) Told(x Departure) {
	if last, ok := d.left[x.Server.ID]; !ok || x.At.After(last.At) && !last.Server.After(x.Server) {
		d.record(x)
	}
}

func (d *Departures) record(x Departure) {
	d.left[x.Server.ID] = x
	d.known = nil
}

// Known returns the departures, in a slice that is not changed.
func (d *Departures) Known() []Departure {
	if d.known == nil && len(d.left) > 0 {
		d.known = slices.Collect(maps.Values(d.left))
	}
	return d.known
}

// Written records that the entry of a server was written, so that it is no longer that of
// the older copy.
func (d *Departures) Written(id mangomodel.ServerID) {
	if _, ok := d.left[id]; ok {
		delete(d.left, id)
		d.known = nil
	}
	delete(d.deferred, id)
}

// Removed records that the store says that a server has no entry. A departure that is known
// lasts from then: a later copy may still name the server.
func (d *Departures) Removed(id mangomodel.ServerID, now time.Time) {
	delete(d.deferred, id)
	if x, ok := d.left[id]; ok {
		x.At = now
		d.record(x)
	}
}

// Restored drops the deferred entries, before those of a newer copy are judged, which was
// first read at a time.
func (d *Departures) Restored(at time.Time) {
	clear(d.deferred)
	d.until = at.Add(ConfirmTime)
}

// Judge returns what becomes of an entry of an older copy.
func (d *Departures) Judge(server *mangotraffic.Server, now time.Time) Verdict {
	x, ok := d.left[server.ID]
	switch {
	case !ok || now.Sub(x.At) >= Retention || server.Ref().After(x.Server):
		return VerdictUse
	case x.Leaving || server.State == mangotraffic.StateLeaving:
		return VerdictWithdraw
	default:
		return VerdictDefer
	}
}

// Defer defers an entry of an older copy. The departure of its server lasts from now.
func (d *Departures) Defer(server *mangotraffic.Server, now time.Time) {
	d.deferred[server.ID] = deferral{*server, d.until}
	if x, ok := d.left[server.ID]; ok {
		x.At = now
		d.record(x)
	}
}

// Supersede defers an entry of an earlier incarnation than the one in use until a time. An
// entry of that incarnation that is deferred already is not deferred for longer.
func (d *Departures) Supersede(server *mangotraffic.Server, until, now time.Time) {
	if x, ok := d.deferred[server.ID]; ok && x.server.SameIncarnation(server) {
		until = x.until
	}
	d.Left(server, now)
	d.deferred[server.ID] = deferral{*server, until}
}

// Defers reports whether an entry of a server is deferred.
func (d *Departures) Defers(id mangomodel.ServerID) bool {
	_, ok := d.deferred[id]
	return ok
}

// Retain drops the deferred entries that a whole list does not have.
func (d *Departures) Retain(listed map[mangomodel.ServerID]*mangotraffic.Server, now time.Time) {
	for id, x := range d.deferred {
		if server := listed[id]; server == nil || server.Ref().After(x.server.Ref()) {
			d.Removed(id, now)
		}
	}
}

// Deferred returns the deferred entries.
func (d *Departures) Deferred() []mangotraffic.Server {
	var list []mangotraffic.Server
	for _, x := range d.deferred {
		list = append(list, x.server)
	}
	return list
}

// Confirmed returns the entries that have been deferred for long enough. [Departures.Written]
// removes them.
func (d *Departures) Confirmed(now time.Time) []mangotraffic.Server {
	var list []mangotraffic.Server
	for _, x := range d.deferred {
		if !now.Before(x.until) {
			list = append(list, x.server)
		}
	}
	return list
}

// NextDue returns when Confirmed next returns an entry; zero if nothing is deferred.
func (d *Departures) NextDue() time.Time {
	var due time.Time
	for _, x := range d.deferred {
		if due.IsZero() || x.until.Before(due) {
			due = x.until
		}
	}
	return due
}
