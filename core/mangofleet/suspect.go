package mangofleet

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// maxCrashes is how many servers a call may break before it is refused.
	maxCrashes = 3
	// crashMemory is how long a broken call is remembered. Clients send a call
	// again within its deadline, which is some seconds.
	crashMemory = time.Minute
	// maxSuspects bounds the remembered calls.
	maxSuspects = 4096
	// maxNews bounds the calls that one message names.
	maxNews = 64
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

// suspects are calls that may have crashed servers.
type suspects map[mangomodel.Fingerprint]*suspect

func newSuspects() suspects { return make(suspects) }

func (s suspects) get(call mangomodel.Fingerprint, now time.Time) *suspect {
	x, ok := s[call]
	if ok {
		x.last = now
		return x
	}
	if len(s) >= maxSuspects {
		s.expire(now)
	}
	x = &suspect{peers: make(map[mangomodel.DaemonID]int), last: now}
	s[call] = x
	return x
}

// expire drops what is old, and everything when nothing is old enough.
func (s suspects) expire(now time.Time) {
	for call, x := range s {
		if now.Sub(x.last) > crashMemory {
			delete(s, call)
		}
	}
	if len(s) >= maxSuspects {
		clear(s)
	}
}

func (s suspects) learn(from mangomodel.DaemonID, c Crash, now time.Time) {
	x := s.get(c.Call, now)
	x.peers[from] = max(x.peers[from], c.Count)
}

// crashes returns how many servers a call broke, as far as is known.
func (s suspects) crashes(call mangomodel.Fingerprint, now time.Time) int {
	x, ok := s[call]
	if !ok || now.Sub(x.last) > crashMemory {
		return 0
	}
	n := x.own
	for _, peer := range x.peers {
		n += peer
	}
	return n
}

// list returns what this daemon has seen of calls that broke off lately.
func (s suspects) list(now time.Time) []Crash {
	var list []Crash
	for call, x := range s {
		if x.own > 0 && now.Sub(x.last) < crashMemory && len(list) < maxNews {
			list = append(list, Crash{Call: call, Count: x.own})
		}
	}
	return list
}

// LearnCrashes takes in what another daemon has seen.
type LearnCrashes struct {
	From    mangomodel.DaemonID
	Crashes []Crash
}

// Apply applies the command.
func (c LearnCrashes) Apply(s *state, now time.Time) error {
	for _, crash := range c.Crashes {
		s.suspects.learn(c.From, crash, now)
	}
	return nil
}

// CallBroke says that a server broke off while it ran a call.
type CallBroke struct{ Call mangomodel.Fingerprint }

// Apply applies the command.
func (c CallBroke) Apply(s *state, now time.Time) error {
	s.suspects.get(c.Call, now).own++
	s.changed.crashes = true
	return nil
}

// Enter counts a client's call towards the retry budget of its service. It
// fails for a call that has broken too many servers.
type Enter struct {
	Service mangotraffic.ServiceName
	Call    mangomodel.Fingerprint
}

// Apply applies the command.
func (c Enter) Apply(s *state, now time.Time) error {
	s.budget(c.Service).Called(now)
	s.changed.usage = true
	if n := s.suspects.crashes(c.Call, now); n >= maxCrashes {
		return refused(mangomodel.CodeQuarantined, "the call broke %d servers", n)
	}
	return nil
}
