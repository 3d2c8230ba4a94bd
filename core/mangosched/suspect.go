package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoshard"
)

// probationTime is how long a suspect decodes apart from other suspects. A
// retry begins where the crash ended it, so a request that causes crashes
// shows within a few tokens.
const probationTime = 500 * time.Millisecond

// Suspicions returns the suspicions in force, in no order.
func (s *Scheduler) Suspicions(now time.Time) []mangomodel.Suspicion {
	return s.suspect.Suspicions(now)
}

// MergeSuspicions takes in what other daemons of the data centre saw.
func (s *Scheduler) MergeSuspicions(now time.Time, list []mangomodel.Suspicion) {
	for _, r := range list {
		s.suspect.Merge(now, r)
	}
	s.review(now)
}

// review applies changed suspicions to the demands that wait.
func (s *Scheduler) review(now time.Time) {
	for id, w := range s.waiting {
		s.inspect(now, w)
		if s.suspect.Quarantined(now, w.Demand.Fingerprint) {
			w.Left = true
			s.refuse(id, quarantinedFault(w.Demand))
		}
	}
}

// inspect sets what the suspicions say of a demand.
func (s *Scheduler) inspect(now time.Time, w *mangoshard.Waiter) {
	w.Suspect = s.suspect.Suspected(now, w.Demand.Fingerprint)
	w.Unresolved = s.suspect.Unresolved(now, w.Demand.Fingerprint)
}

func quarantinedFault(d mangomodel.Demand) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(d.Model),
		mangomodel.CodeQuarantined, mangomodel.RunNot, "the request has crashed backend servers")
}
