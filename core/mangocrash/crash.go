// Package mangocrash decides which calls crash the servers that run them.
//
// A call that ended before completion at several servers probably crashes them, and is
// refused. Each daemon sees some of the crashes of a call, so that daemons exchange what
// they know:
//
//   - A crash is identified by the incarnation of the server that ended, so that it counts
//     once, however many daemons or copies of the call saw it.
//   - Records merge to their union. A daemon that has forgotten a call lowers no count at
//     those that remember it, and receives the record from them.
//   - A refused call that arrives, at any daemon, keeps its record. The table has a fixed
//     size: the records that were not seen for the longest time leave first, and those of
//     calls that are not refused never displace others.
//   - A call that completes clears the crashes recorded so far at the daemon that served
//     it. A clearance refers to single crashes, so that crashes that it could not know of
//     remain, and daemons that repeat the cleared ones do not revive them.
//   - A refused call may be probed MaxProbes times in all, at growing intervals. Those
//     that have reached no server do not count.
//
// A table that is created with [WithSaving] tells which records its owner should save
// outside of the daemons, so that a kill of all of them forgets none: [Table.Unsaved],
// [Table.Saved] and [Table.Restore].
//
// A [Table] has no lock, goroutine or clock; its owner passes the time. Messages can arrive
// repeatedly and in any order.
//
// # Usage
//
//	t := mangocrash.New()
//	t.RecordCrash(call, mangocrash.IncarnationOf(server.ID, server.Born), now)
//	t.Merge(message, now)
//	t.RecordArrival(call, now)
//	if v, ok := t.Verdicts()[call]; ok && v.Refuses(now) { ... }
package mangocrash

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

const (
	// MaxCrashes is how many servers a call may crash before it is refused.
	MaxCrashes = 3
	// MaxProbes is how often a refused call may be sent to a server in all.
	MaxProbes = 3
	// Retention is how long a call is kept that does not arrive any more.
	Retention = 24 * time.Hour
	// FirstProbe is the time from the last crash to the first probe. It grows by
	// probeFactor with each probe.
	FirstProbe  = 20 * time.Second
	probeFactor = 6
	// sameCrash is the time within which the ends of a call at one incarnation of a
	// server are one crash. Not all servers state their incarnation.
	sameCrash = 2 * time.Second
	// maxEvents limits the crashes of a call that are kept, and its probes.
	maxEvents = 8
)

// Incarnation identifies the process of a server. Without the bit stated it identifies all
// processes with the id of a server that does not state when it started.
type Incarnation uint64

const stated = 1 << 63

// IncarnationOf returns the identity of the server process that was started at a time; the
// Unix epoch means that the server does not state it.
func IncarnationOf(id mangomodel.ServerID, born time.Time) Incarnation {
	i := Incarnation(xxhash.Sum64String(string(id) + "\x00" + strconv.FormatInt(born.UnixMilli(), 10)))
	if born.UnixMilli() > 0 {
		return i | stated
	}
	return i &^ stated
}

// ProbeID identifies a probe.
type ProbeID uint64

// ProbeOf returns the identity of the probe that uses a lease.
func ProbeOf(lease mangomodel.GrantID) ProbeID {
	name := string(lease.Holder.Daemon) + "\x00" + strconv.FormatUint(uint64(lease.Holder.Incarnation), 10)
	return ProbeID(xxhash.Sum64String(name + "\x00" + strconv.FormatUint(lease.Number, 10)))
}

// Verdict is the state of a call that is refused.
type Verdict struct {
	Crashes int
	// Probe is when the call may be sent to a server again, or zero if no probe is left.
	Probe time.Time
}

// Refuses reports whether no probe is due.
func (v Verdict) Refuses(now time.Time) bool { return v.Probe.IsZero() || now.Before(v.Probe) }

// Verdicts holds the calls that are refused. It is immutable.
type Verdicts map[mangomodel.Fingerprint]Verdict

// event is a crash or a probe.
type event struct {
	id uint64
	at time.Time
	// cleared is set once the call was found not to have caused it.
	cleared bool
}

// events are the crashes of a call, or its probes.
type events []event

// uncleared counts the events that are not cleared.
func (list events) uncleared() int {
	n := 0
	for _, e := range list {
		if !e.cleared {
			n++
		}
	}
	return n
}

// same reports whether two events are one: they have the same id and, for crashes of servers
// that do not state their incarnation, are within a time. Zero means any time.
func (e event) same(x event, within time.Duration) bool {
	return e.id == x.id && (within == 0 || e.id&stated != 0 || e.at.Sub(x.at).Abs() < within)
}

// add adds an event, or merges it with one that is the same within a time. Times merge to the
// earlier one, since each transfer between daemons delays them.
func (list events) add(e event, within time.Duration) events {
	for i := range list {
		x := &list[i]
		if !e.same(*x, within) {
			continue
		}
		if e.at.Before(x.at) {
			x.at = e.at
		}
		x.cleared = x.cleared || e.cleared
		return list
	}
	return append(list, e).limit()
}

// limit drops an event if there are too many: a cleared one first, and then the newest.
func (list events) limit() events {
	if len(list) <= maxEvents {
		return list
	}
	drop := slices.IndexFunc(list, func(x event) bool { return x.cleared })
	if drop < 0 {
		drop = len(list) - 1
	}
	return slices.Delete(list, drop, drop+1)
}

// clear clears all events and reports whether one was not.
func (list events) clear() bool {
	n := list.uncleared()
	for i := range list {
		list[i].cleared = true
	}
	return n > 0
}

// clearID clears the event with an id.
func (list events) clearID(id uint64) {
	for i := range list {
		list[i].cleared = list[i].cleared || list[i].id == id
	}
}

// last returns the time of the last uncleared event.
func (list events) last() time.Time {
	var last time.Time
	for _, e := range list {
		if !e.cleared && e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// record holds what is known of one call.
type record struct {
	call            mangomodel.Fingerprint
	crashes, probes events
	// seen is when the call last crashed a server or arrived, at any daemon, and told
	// when this was last announced.
	seen, told time.Time
	// saved is the time up to which seen was saved; zero if the record was not. written is
	// set if this daemon has saved it, and own if this daemon has changed it.
	saved        time.Time
	written, own bool
}

func (x *record) refused() bool { return x.crashes.uncleared() >= MaxCrashes }

// weight is the number of crashes and probes of all kinds, which only grows.
func (x *record) weight() (known, cleared int) {
	known = len(x.crashes) + len(x.probes)
	return known, known - x.crashes.uncleared() - x.probes.uncleared()
}

// verdict returns the state of a refused call.
func (x *record) verdict() Verdict {
	v := Verdict{Crashes: x.crashes.uncleared()}
	used := x.probes.uncleared()
	if used >= MaxProbes {
		return v
	}
	wait := FirstProbe
	for range used {
		wait *= probeFactor
	}
	v.Probe = latest(x.crashes.last(), x.probes.last()).Add(wait)
	return v
}

// digest is a hash of what daemons must agree on about a refused call.
func (x *record) digest() uint64 {
	if !x.refused() {
		return 0
	}
	const prime = 1099511628211
	h := (uint64(x.call) ^ uint64(x.probes.uncleared())) * prime
	return h ^ h>>29
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// byUrgency orders records for messages: refused calls first, then by crashes and by when
// they were seen.
func byUrgency(a, b *record) int {
	return cmp.Or(
		cmp.Compare(b.crashes.uncleared(), a.crashes.uncleared()),
		b.seen.Compare(a.seen),
		cmp.Compare(a.call, b.call),
	)
}
