package mangosched

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// quarantineCrashes is the number of crashes from which a request is
	// quarantined even if it was never alone on probation.
	quarantineCrashes = 3
	// probationTime is how long a suspect decodes apart from other suspects.
	// A retry begins where the crash ended it, so a request that causes
	// crashes shows within a few tokens.
	probationTime = 500 * time.Millisecond
	// suspicionTTL is how long a crash counts against a request.
	suspicionTTL = 10 * time.Minute
	// crashWindow is the time within which a broken stream and a crash of its
	// server are taken as one event.
	crashWindow = 10 * time.Second
)

// suspects records which requests were aboard crashes. Requests that were
// aboard a crash run again, on probation, apart from each other. One that
// crashes a server again during its probation is quarantined.
type suspects struct {
	records map[mangomodel.Fingerprint]mangomodel.Suspicion
	// pending holds broken streams on servers whose crash is not confirmed.
	pending map[mangomodel.ServerID][]broken
}

// broken is a stream that ended because of its server.
type broken struct {
	fingerprint mangomodel.Fingerprint
	at          time.Time
	// alone is set when the request was on probation.
	alone bool
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

// suspected reports whether a request must run on probation: it was aboard a
// confirmed or possible crash and has not passed a probation since.
func (s *suspects) suspected(now time.Time, f mangomodel.Fingerprint) bool {
	if r, ok := s.records[f]; ok && now.Sub(r.Last) < suspicionTTL && !r.Passed.After(r.Last) {
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

// unresolved reports whether a request broke a server while it was alone on
// probation there, and it is not known yet whether the server crashed.
func (s *suspects) unresolved(now time.Time, f mangomodel.Fingerprint) bool {
	for _, list := range s.pending {
		for _, b := range list {
			if b.alone && b.fingerprint == f && now.Sub(b.at) < crashWindow {
				return true
			}
		}
	}
	return false
}

func (s *suspects) quarantined(now time.Time, f mangomodel.Fingerprint) bool {
	r, ok := s.records[f]
	return ok && (r.Alone || len(r.Crashes) >= quarantineCrashes) && now.Sub(r.Last) < suspicionTTL
}

// brokenOn notes a stream that a server's failure ended.
func (s *suspects) brokenOn(sv *server, b broken) {
	if !sv.crash.at.IsZero() && b.at.Sub(sv.crash.at) < crashWindow {
		s.convict(b, sv.crash.id)
		return
	}
	s.pending[sv.id] = append(s.pending[sv.id], b)
}

// crashed confirms that a server's process died.
func (s *suspects) crashed(now time.Time, sv *server) {
	sv.crash = crashRecord{id: mangomodel.CrashID{Server: sv.id, Boot: sv.boot}, at: now}
	for _, b := range s.pending[sv.id] {
		if now.Sub(b.at) < crashWindow {
			s.convict(b, sv.crash.id)
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

// passed notes that a request has passed its probation.
func (s *suspects) passed(now time.Time, f mangomodel.Fingerprint) {
	if r, ok := s.records[f]; ok {
		r.Passed = now
		s.records[f] = r
	}
}

// convict counts a crash against a request that was aboard.
func (s *suspects) convict(b broken, id mangomodel.CrashID) {
	s.merge(mangomodel.Suspicion{
		Fingerprint: b.fingerprint, Crashes: []mangomodel.CrashID{id}, Alone: b.alone, Last: b.at,
	})
}

// merge takes in a suspicion. It is commutative and idempotent.
func (s *suspects) merge(other mangomodel.Suspicion) {
	r := s.records[other.Fingerprint]
	r.Fingerprint = other.Fingerprint
	r.Crashes = slices.Clone(r.Crashes)
	for _, id := range other.Crashes {
		if !slices.Contains(r.Crashes, id) {
			r.Crashes = append(r.Crashes, id)
		}
	}
	r.Alone = r.Alone || other.Alone
	r.Last = latest(r.Last, other.Last)
	r.Passed = latest(r.Passed, other.Passed)
	s.records[other.Fingerprint] = r
}

func (s *suspects) expire(now time.Time) {
	maps.DeleteFunc(s.records, func(_ mangomodel.Fingerprint, r mangomodel.Suspicion) bool {
		return now.Sub(r.Last) >= suspicionTTL
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Suspicions returns the suspicions in force, in no order.
func (s *Scheduler) Suspicions(now time.Time) []mangomodel.Suspicion {
	s.suspect.expire(now)
	return slices.Collect(maps.Values(s.suspect.records))
}

// MergeSuspicions takes in what other daemons of the data centre saw.
func (s *Scheduler) MergeSuspicions(now time.Time, list []mangomodel.Suspicion) {
	for _, r := range list {
		if now.Sub(r.Last) < suspicionTTL {
			s.suspect.merge(r)
		}
	}
	s.review(now)
}

// review applies changed suspicions to the demands that wait.
func (s *Scheduler) review(now time.Time) {
	for id, w := range s.waiting {
		s.inspect(now, w)
		if s.suspect.quarantined(now, w.demand.Fingerprint) {
			w.gone = true
			s.refuse(id, quarantinedFault(w.demand))
		}
	}
}

// inspect sets what the suspicions say of a demand.
func (s *Scheduler) inspect(now time.Time, w *waiter) {
	w.suspect = s.suspect.suspected(now, w.demand.Fingerprint)
	w.unresolved = s.suspect.unresolved(now, w.demand.Fingerprint)
}

func quarantinedFault(d mangomodel.Demand) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(d.Model),
		mangomodel.CodeQuarantined, mangomodel.RunNot, "the request has crashed backend servers")
}
