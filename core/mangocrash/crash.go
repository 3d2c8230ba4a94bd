// Package mangocrash remembers calls that broke off at the servers that ran
// them. One that has broken several servers probably crashes them.
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
	// MaxCrashes is how many servers a call may break before it is refused.
	MaxCrashes = 3
	// Retention is how long a broken call is remembered. Clients send a call again
	// within its deadline, which is some seconds.
	Retention = time.Minute
	// maxSuspects bounds the remembered calls.
	maxSuspects = 4096
	// maxRecent bounds the calls that one message names.
	maxRecent = 64
)

// Crash counts how often a call broke off at the servers that ran it.
type Crash struct {
	Call  mangomodel.Fingerprint
	Count int
}

type suspect struct {
	own   int
	peers map[mangomodel.DaemonID]int
	last  time.Time
}

// Suspects are calls that may have crashed servers.
type Suspects struct {
	calls map[mangomodel.Fingerprint]*suspect
}

// New returns no suspects.
func New() *Suspects { return &Suspects{calls: make(map[mangomodel.Fingerprint]*suspect)} }

// RecordCrash notes that a server of this daemon's broke off while it ran a call.
func (s *Suspects) RecordCrash(call mangomodel.Fingerprint, now time.Time) { s.get(call, now).own++ }

func (s *Suspects) get(call mangomodel.Fingerprint, now time.Time) *suspect {
	x, ok := s.calls[call]
	if ok {
		x.last = now
		return x
	}
	if len(s.calls) >= maxSuspects {
		s.expire(now)
	}
	x = &suspect{peers: make(map[mangomodel.DaemonID]int), last: now}
	s.calls[call] = x
	return x
}

// expire drops what is old, and everything when nothing is old enough.
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

// Merge takes in what another daemon has seen.
func (s *Suspects) Merge(from mangomodel.DaemonID, c Crash, now time.Time) {
	x := s.get(c.Call, now)
	x.peers[from] = max(x.peers[from], c.Count)
}

// Crashes returns how many servers a call broke, as far as is known.
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

// Recent returns what this daemon has seen of calls that broke off lately.
func (s *Suspects) Recent(now time.Time) []Crash {
	var list []Crash
	for call, x := range s.calls {
		if x.own > 0 && now.Sub(x.last) < Retention && len(list) < maxRecent {
			list = append(list, Crash{Call: call, Count: x.own})
		}
	}
	return list
}
