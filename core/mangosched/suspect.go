package mangosched

import (
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// quarantineCrashes is the number of crashes that a request must have
	// been aboard to be quarantined.
	quarantineCrashes = 2
	// suspicionTTL is how long a crash counts against a request.
	suspicionTTL = 10 * time.Minute
	// crashWindow is the time within which a broken stream and a crash of its
	// server are taken as one event.
	crashWindow = 10 * time.Second
)

// suspects records which requests were aboard crashes.
type suspects struct {
	records map[mangomodel.Fingerprint]mangomodel.Suspicion
	// pending holds broken streams on servers whose crash is not confirmed.
	pending map[mangomodel.ServerID][]broken
}

// broken is a stream that ended because of its server.
type broken struct {
	fingerprint mangomodel.Fingerprint
	at          time.Time
}

// crashRecord is a server's last confirmed crash.
type crashRecord struct {
	id mangomodel.CrashID
	at time.Time
}

func newSuspects() *suspects {
	return &suspects{
		records: make(map[mangomodel.Fingerprint]mangomodel.Suspicion),
		pending: make(map[mangomodel.ServerID][]broken),
	}
}

// suspected reports whether a request was aboard a confirmed or possible
// crash.
func (s *suspects) suspected(now time.Time, f mangomodel.Fingerprint) bool {
	if r, ok := s.records[f]; ok && now.Sub(r.Last) < suspicionTTL {
		return true
	}
	for _, list := range s.pending {
		for _, b := range list {
			if b.fingerprint == f && now.Sub(b.at) < crashWindow {
				return true
			}
		}
	}
	return false
}

func (s *suspects) quarantined(now time.Time, f mangomodel.Fingerprint) bool {
	r, ok := s.records[f]
	return ok && len(r.Crashes) >= quarantineCrashes && now.Sub(r.Last) < suspicionTTL
}

// brokenOn notes a stream that a server's failure ended.
func (s *suspects) brokenOn(now time.Time, sv *server, f mangomodel.Fingerprint) {
	if !sv.crash.at.IsZero() && now.Sub(sv.crash.at) < crashWindow {
		s.add(now, f, sv.crash.id)
		return
	}
	s.pending[sv.id] = append(s.pending[sv.id], broken{fingerprint: f, at: now})
}

// crashed confirms that a server's process died.
func (s *suspects) crashed(now time.Time, sv *server) {
	sv.crash = crashRecord{id: mangomodel.CrashID{Server: sv.id, Boot: sv.boot}, at: now}
	for _, b := range s.pending[sv.id] {
		if now.Sub(b.at) < crashWindow {
			s.add(now, b.fingerprint, sv.crash.id)
		}
	}
	delete(s.pending, sv.id)
}

// survived notes that a server's process was alive at a time, which clears
// the streams that broke before it.
func (s *suspects) survived(id mangomodel.ServerID, at time.Time) {
	list := slices.DeleteFunc(s.pending[id], func(b broken) bool { return b.at.Before(at) })
	if len(list) == 0 {
		delete(s.pending, id)
		return
	}
	s.pending[id] = list
}

// acquit clears a request that ran to its end.
func (s *suspects) acquit(f mangomodel.Fingerprint) {
	delete(s.records, f)
}

func (s *suspects) add(now time.Time, f mangomodel.Fingerprint, id mangomodel.CrashID) {
	r := s.records[f]
	r.Fingerprint = f
	if !slices.Contains(r.Crashes, id) {
		r.Crashes = append(slices.Clone(r.Crashes), id)
	}
	r.Last = now
	s.records[f] = r
}

func (s *suspects) expire(now time.Time) {
	for f, r := range s.records {
		if now.Sub(r.Last) >= suspicionTTL {
			delete(s.records, f)
		}
	}
}

// Suspicions returns the suspicions in force, in no order.
func (s *Scheduler) Suspicions(now time.Time) []mangomodel.Suspicion {
	s.suspect.expire(now)
	list := make([]mangomodel.Suspicion, 0, len(s.suspect.records))
	for _, r := range s.suspect.records {
		list = append(list, r)
	}
	return list
}

// MergeSuspicions takes in what other daemons of the data centre saw.
func (s *Scheduler) MergeSuspicions(now time.Time, list []mangomodel.Suspicion) {
	for _, r := range list {
		if now.Sub(r.Last) >= suspicionTTL {
			continue
		}
		for _, id := range r.Crashes {
			s.suspect.add(r.Last, r.Fingerprint, id)
		}
	}
}
