package mangosuspect

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

// Suspected reports whether a request must run on probation: it was aboard a
// confirmed or possible crash and has not passed a probation since.
func (r *Records) Suspected(now time.Time, f mangomodel.Fingerprint) bool {
	s, ok := r.suspicions[f]
	if ok && now.Sub(s.Last) < recordTTL && !s.Passed.After(s.Last) {
		return true
	}
	return r.isPending(now, f, func(StreamFailure) bool { return true })
}

// Unresolved reports whether a request broke a server while it was alone on
// probation there, and it is not known yet whether the server crashed.
func (r *Records) Unresolved(now time.Time, f mangomodel.Fingerprint) bool {
	return r.isPending(now, f, func(b StreamFailure) bool { return b.Alone })
}

// Quarantined reports whether a request is to be refused.
func (r *Records) Quarantined(now time.Time, f mangomodel.Fingerprint) bool {
	s, ok := r.suspicions[f]
	return ok && (s.Alone || len(s.Crashes) >= quarantineCrashes) && now.Sub(s.Last) < recordTTL
}

// Suspicions returns the suspicions that count, in no order.
func (r *Records) Suspicions(now time.Time) []mangomodel.Suspicion {
	list := slices.Collect(maps.Values(r.suspicions))
	return slices.DeleteFunc(list, func(s mangomodel.Suspicion) bool { return now.Sub(s.Last) >= recordTTL })
}

// isPending reports whether some broken stream of a request is open.
func (r *Records) isPending(now time.Time, f mangomodel.Fingerprint, counts func(StreamFailure) bool) bool {
	for _, list := range r.pending {
		for _, b := range list {
			if b.Fingerprint == f && counts(b) && now.Sub(b.At) < crashWindow {
				return true
			}
		}
	}
	return false
}
