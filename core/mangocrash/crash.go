// Package mangocrash counts calls that ended before completion at the servers that
// ran them. A call to which this happened on several servers probably crashes them.
//
// # Usage
//
//	s := mangocrash.New()
//	s.RecordCrash(call, now)
//	if s.Crashes(call, now) >= mangocrash.MaxCrashes { ... }
package mangocrash

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// MaxCrashes is how many servers a call may crash before it is refused.
	MaxCrashes = 3
	// Retention is how long a crash is kept. Clients send a call again within its
	// deadline, which is some seconds.
	Retention = time.Minute
	// maxSuspects limits the calls that are kept.
	maxSuspects = 4096
	// maxRecent limits the calls that one exchange message names.
	maxRecent = 64
)

// Crash counts how often a call ended before completion at the servers that ran it.
type Crash struct {
	Call  mangomodel.Fingerprint
	Count int
}

// suspect holds the crash counts of one call: those of this daemon and those
// received from each peer.
type suspect struct {
	own   int
	peers map[mangomodel.DaemonID]int
	// ownLast is when this daemon recorded a crash, last when any daemon did.
	ownLast, last time.Time
}

// Suspects holds the calls that may have crashed servers.
type Suspects struct {
	calls map[mangomodel.Fingerprint]*suspect
}

// New returns an empty record.
func New() *Suspects { return &Suspects{calls: make(map[mangomodel.Fingerprint]*suspect)} }

// RecordCrash records that a server ended a call of this daemon before completion.
func (s *Suspects) RecordCrash(call mangomodel.Fingerprint, now time.Time) {
	x := s.get(call, now)
	x.own++
	x.ownLast, x.last = now, now
}

// get returns the record of a call, which it creates if there is none within its
// retention.
func (s *Suspects) get(call mangomodel.Fingerprint, now time.Time) *suspect {
	x, ok := s.calls[call]
	if ok && now.Sub(x.last) <= Retention {
		return x
	}
	if len(s.calls) >= maxSuspects {
		s.expire(now)
	}
	x = &suspect{peers: make(map[mangomodel.DaemonID]int), last: now}
	s.calls[call] = x
	return x
}

// expire evicts the records past their retention, or all records if none is.
func (s *Suspects) expire(now time.Time) {
	for call, x := range s.calls {
		if now.Sub(x.last) > Retention {
			delete(s.calls, call)
		}
	}
	if len(s.calls) >= maxSuspects {
		clear(s.calls)
	}
}

// Merge merges the crash count of another daemon. Only a count that has grown
// extends the retention, since daemons repeat their counts.
func (s *Suspects) Merge(from mangomodel.DaemonID, c Crash, now time.Time) {
	x := s.get(c.Call, now)
	if c.Count > x.peers[from] {
		x.peers[from] = c.Count
		x.last = now
	}
}

// Crashes returns the recorded number of crashes of a call on all daemons.
func (s *Suspects) Crashes(call mangomodel.Fingerprint, now time.Time) int {
	x, ok := s.calls[call]
	if !ok || now.Sub(x.last) > Retention {
		return 0
	}
	n := x.own
	for _, peer := range x.peers {
		n += peer
	}
	return n
}

// Recent returns the recent crashes that this daemon recorded itself.
func (s *Suspects) Recent(now time.Time) []Crash {
	var list []Crash
	for call, x := range s.calls {
		if x.own > 0 && now.Sub(x.ownLast) < Retention && len(list) < maxRecent {
			list = append(list, Crash{Call: call, Count: x.own})
		}
	}
	return list
}
