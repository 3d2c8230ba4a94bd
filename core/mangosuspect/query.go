package mangosuspect

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

// Suspected reports whether a request must run on probation: a confirmed or
// possible crash counts against it, and it has not passed a probation since.
func (r *Records) Suspected(now time.Time, f mangomodel.Fingerprint) bool {
	s, ok := r.suspicions[f]
	if ok && !expired(now, s) && !s.Passed.After(s.Last) {
		return true
	}
	return r.hasPending(now, f, func(StreamFailure) bool { return true })
}

// Unresolved reports whether the stream of a request failed while the request
// was on probation, and a crash of the server is neither confirmed nor ruled
// out yet.
func (r *Records) Unresolved(now time.Time, f mangomodel.Fingerprint) bool {
	return r.hasPending(now, f, func(sf StreamFailure) bool { return sf.Alone })
}

// Quarantined reports whether a request must be refused.
func (r *Records) Quarantined(now time.Time, f mangomodel.Fingerprint) bool {
	s, ok := r.suspicions[f]
	return ok && convicted(s) && now.Sub(s.Last) < term(s)
}

// Suspicions returns the suspicions that have not expired, in no particular
// order.
func (r *Records) Suspicions(now time.Time) []mangomodel.Suspicion {
	list := slices.Collect(maps.Values(r.suspicions))
	return slices.DeleteFunc(list, func(s mangomodel.Suspicion) bool { return expired(now, s) })
}

// hasPending reports whether a request has an unconfirmed stream failure within
// crashWindow that matches.
func (r *Records) hasPending(now time.Time, f mangomodel.Fingerprint, match func(StreamFailure) bool) bool {
	for _, list := range r.pending {
		for _, sf := range list {
			if sf.Fingerprint == f && match(sf) && now.Sub(sf.At) < crashWindow {
				return true
			}
		}
	}
	return false
}
