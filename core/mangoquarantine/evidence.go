package mangoquarantine

import (
	"maps"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// evidenceTTL is how long a crash counts against a part.
	evidenceTTL = 10 * time.Minute
	// maxCrashes limits the crashes that are kept, and maxCasualties the parts of each.
	maxCrashes    = 128
	maxCasualties = 96
	// startTTL is how long starts are kept at least, unless there are maxStarts.
	startTTL  = time.Minute
	maxStarts = 4096
	// immunity is how long after a start a crash is no evidence against the part.
	immunity = 10 * time.Second
)

// Birth is the start of a server process in Unix milliseconds.
type Birth int64

// Crash identifies the end of one incarnation of a server.
type Crash struct {
	Server mangomodel.ServerID
	Born   Birth
}

// casualties holds the parts of the calls that ended with one crash before their first
// event.
type casualties struct {
	at time.Time
	// parts maps a part to whether this daemon itself has seen such a call.
	parts map[mangomodel.PartID]bool
}

func (x *casualties) has(p mangomodel.PartID) bool {
	_, ok := x.parts[p]
	return ok
}

// disproves reports whether a start shows that a part did not cause a crash.
func disproves(start, crash time.Time) bool { return start.Add(immunity).After(crash) }

// RecordCrash records that a call ended with its server before its first event.
func (t *Tracker) RecordCrash(c Crash, parts []mangomodel.PartID, now time.Time) {
	t.addCrash(c, parts, now, true)
}

// addCrash records the parts that have not started lately.
func (t *Tracker) addCrash(c Crash, parts []mangomodel.PartID, at time.Time, own bool) {
	for _, p := range parts {
		if start, ok := t.starts.last(p); ok && disproves(start, at) {
			continue
		}
		x, ok := t.crashes[c]
		if !ok {
			t.limitCrashes()
			x = &casualties{at: at, parts: make(map[mangomodel.PartID]bool)}
			t.crashes[c] = x
		}
		mine, ok := x.parts[p]
		if !ok && len(x.parts) >= maxCasualties {
			break
		}
		x.parts[p] = mine || own
		t.unjudged = t.unjudged || !ok
	}
}

// limitCrashes drops the oldest crash if there are too many.
func (t *Tracker) limitCrashes() {
	if len(t.crashes) < maxCrashes {
		return
	}
	var first Crash
	for c, x := range t.crashes {
		if first == (Crash{}) || x.at.Before(t.crashes[first].at) {
			first = c
		}
	}
	delete(t.crashes, first)
}

// expire drops what is past its retention, and the evidence that starts disprove.
func (t *Tracker) expire(now time.Time) {
	for c, x := range t.crashes {
		for p := range x.parts {
			if start, ok := t.starts.last(p); ok && disproves(start, x.at) {
				delete(x.parts, p)
				t.announce(p, now)
			}
		}
		if now.Sub(x.at) >= evidenceTTL || len(x.parts) == 0 {
			delete(t.crashes, c)
		}
	}
	maps.DeleteFunc(t.suspects, func(p mangomodel.PartID, x Record) bool {
		start, ok := t.starts.last(p)
		return now.Sub(x.Last) >= evidenceTTL || ok && disproves(start, x.Last)
	})
	maps.DeleteFunc(t.announced, func(_ mangomodel.PartID, at time.Time) bool { return now.Sub(at) >= announceTime })
	for p, x := range t.records {
		if x.expired(now) {
			t.setRecord(p, Record{})
		}
	}
}

// starts holds when parts last started, in two generations.
type starts struct {
	older, newer map[mangomodel.PartID]time.Time
	begun        time.Time
}

func (s *starts) add(p mangomodel.PartID, at, now time.Time) {
	if s.newer == nil || now.Sub(s.begun) >= startTTL || len(s.newer) >= maxStarts/2 {
		s.older, s.newer, s.begun = s.newer, make(map[mangomodel.PartID]time.Time), now
	}
	if last, ok := s.last(p); !ok || at.After(last) {
		s.newer[p] = at
	}
}

// last returns the last recorded start of a part.
func (s *starts) last(p mangomodel.PartID) (time.Time, bool) {
	if at, ok := s.newer[p]; ok {
		return at, true
	}
	at, ok := s.older[p]
	return at, ok
}
