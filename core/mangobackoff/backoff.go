// Package mangobackoff decides which daemons may not use a backend server for some time,
// because it has refused a request of theirs and asked for that time.
//
// The time holds for one daemon and one incarnation of the server. When it ends, calls
// return gradually: the number of calls that may start within [rampStep] doubles with
// each such step, for all daemons together that this board places calls for.
//
// # Usage
//
//	board := mangobackoff.New()
//	board.Add(server.Ref(), holder, 3*time.Second, now)
//	if board.Open(server.Ref(), holder, now) {
//		board.Started(server.Ref(), holder, now)
//	}
package mangobackoff

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// Longest bounds the time that a server gets, so that a wrong figure does not take
	// it out of use for good.
	Longest = 5 * time.Minute
	// rampStep is the time in which at first one call may start, and ramp the time
	// after which any number may.
	rampStep = 100 * time.Millisecond
	ramp     = 6 * rampStep
	// renewSlack is by how much the end of a time that is reported again may differ. The
	// reports are delayed by the network.
	renewSlack = 500 * time.Millisecond
	// spread is the time over which clients return that were refused because all servers
	// asked for time.
	spread = time.Second
)

// Entry is the time that a server has asked a daemon for. It is a duration, since the
// clocks of daemons differ.
type Entry struct {
	Server mangotraffic.ServerRef
	For    time.Duration
}

// record holds the times that one server has asked for.
type record struct {
	server mangotraffic.ServerRef
	until  map[mangomodel.Holder]time.Time
	// starts are the calls that daemons started there within a ramp, at most one
	// rampStep ago.
	starts []time.Time
}

// Board holds the times that servers have asked for.
type Board struct {
	servers map[mangomodel.ServerID]*record
}

// New returns an empty board.
func New() *Board { return &Board{servers: make(map[mangomodel.ServerID]*record)} }

// Empty reports whether no server has asked for time.
func (b *Board) Empty() bool { return len(b.servers) == 0 }

// Add records that a server has asked a daemon for time. A shorter time than what is left
// of an earlier one has no effect. Add reports whether the end differs by more than what
// reports of it may be delayed.
func (b *Board) Add(ref mangotraffic.ServerRef, h mangomodel.Holder, d time.Duration, now time.Time) bool {
	b.Expire(now)
	r, ok := b.servers[ref.ID]
	switch {
	case d <= 0:
		return false
	case !ok || ref.After(r.server):
		r = &record{server: ref, until: make(map[mangomodel.Holder]time.Time)}
		b.servers[ref.ID] = r
	case !r.server.Same(ref):
		return false
	}
	last, until := r.until[h], now.Add(min(d, Longest))
	if until.After(last) {
		r.until[h] = until
	}
	return until.Sub(last) > renewSlack || !last.After(now) && until.After(now)
}

// Renew records the times that servers have asked another daemon for, which reports them
// repeatedly.
func (b *Board) Renew(h mangomodel.Holder, list []Entry, now time.Time) {
	for _, e := range list {
		if r, ok := b.servers[e.Server.ID]; !ok || !r.server.Same(e.Server) || now.Add(e.For).Sub(r.until[h]) > renewSlack {
			b.Add(e.Server, h, e.For, now)
		}
	}
}

// of returns the record of a server and the end of the time that it has asked a daemon
// for, or nil.
func (b *Board) of(ref mangotraffic.ServerRef, h mangomodel.Holder) (*record, time.Time) {
	r, ok := b.servers[ref.ID]
	if !ok || !r.server.Same(ref) {
		return nil, time.Time{}
	}
	until, ok := r.until[h]
	if !ok {
		return nil, time.Time{}
	}
	return r, until
}

// Until returns the end of the time that a server has asked a daemon for; zero if there
// is none.
func (b *Board) Until(ref mangotraffic.ServerRef, h mangomodel.Holder) time.Time {
	_, until := b.of(ref, h)
	return until
}

// Open reports whether a daemon may start a call at a server.
func (b *Board) Open(ref mangotraffic.ServerRef, h mangomodel.Holder, now time.Time) bool {
	r, until := b.of(ref, h)
	since := now.Sub(until)
	if r == nil || since >= ramp {
		return true
	}
	return since >= 0 && r.recent(now) < 1<<(since/rampStep)
}

// Started counts a call that a daemon starts at a server.
func (b *Board) Started(ref mangotraffic.ServerRef, h mangomodel.Holder, now time.Time) {
	if r, until := b.of(ref, h); r != nil && now.Sub(until) < ramp {
		r.starts = append(r.starts, now)
	}
}

// recent returns how many calls started within the last rampStep.
func (r *record) recent(now time.Time) int {
	r.starts = slices.DeleteFunc(r.starts, func(at time.Time) bool { return now.Sub(at) >= rampStep })
	return len(r.starts)
}

// Restricts reports whether a daemon may not use some server, or only for a part of its
// calls.
func (b *Board) Restricts(h mangomodel.Holder, now time.Time) bool {
	for _, r := range b.servers {
		if until, ok := r.until[h]; ok && now.Sub(until) < ramp {
			return true
		}
	}
	return false
}

// Asked returns how many daemons a server has asked for a time that has not ended.
func (b *Board) Asked(ref mangotraffic.ServerRef, now time.Time) int {
	n := 0
	if r, ok := b.servers[ref.ID]; ok && r.server.Same(ref) {
		for _, until := range r.until {
			if now.Before(until) {
				n++
			}
		}
	}
	return n
}

// Ends returns the ends of the times that servers have asked a daemon for.
func (b *Board) Ends(h mangomodel.Holder) map[mangomodel.ServerID]End {
	ends := make(map[mangomodel.ServerID]End)
	for id, r := range b.servers {
		if until, ok := r.until[h]; ok {
			ends[id] = End{r.server, until}
		}
	}
	return ends
}

// End is the end of the time that a server has asked for.
type End struct {
	Server mangotraffic.ServerRef
	Until  time.Time
}

// Listed removes what an earlier incarnation of a server has asked for.
func (b *Board) Listed(ref mangotraffic.ServerRef) {
	if r, ok := b.servers[ref.ID]; ok && ref.After(r.server) {
		delete(b.servers, ref.ID)
	}
}

// Expire removes the times that have ended, with their ramps.
func (b *Board) Expire(now time.Time) {
	for id, r := range b.servers {
		maps.DeleteFunc(r.until, func(_ mangomodel.Holder, until time.Time) bool { return now.Sub(until) >= ramp })
		if len(r.until) == 0 {
			delete(b.servers, id)
		}
	}
}

// ReturnAfter returns when a client should return that is refused because the servers
// want nothing for some time. Clients with consecutive numbers return evenly spread.
func ReturnAfter(wait time.Duration, number uint64) time.Duration {
	// The multiples of the golden ratio's fraction, here of 1<<64, are evenly spread.
	const golden = 0x9e3779b97f4a7c15
	return wait + time.Duration(float64(number*golden>>32)/(1<<32)*float64(spread))
}
