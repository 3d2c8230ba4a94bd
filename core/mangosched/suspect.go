package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoshard"
)

// probationTime is how long a suspect decodes apart from other suspects. A
// retry resumes at the token where the crash occurred, so a request that
// causes crashes repeats the crash within a few tokens.
const probationTime = 500 * time.Millisecond

// Suspicions returns the suspicions that have not expired, in no particular
// order.
func (s *Scheduler) Suspicions(now time.Time) []mangomodel.Suspicion {
	return s.crashRecords.Suspicions(now)
}

// MergeSuspicions merges suspicions that other daemons of the data centre
// recorded.
func (s *Scheduler) MergeSuspicions(now time.Time, list []mangomodel.Suspicion) {
	for _, r := range list {
		s.crashRecords.Merge(now, r)
	}
	s.applySuspicions(now)
}

// applySuspicions updates the waiting demands to the current suspicions and
// refuses those that are quarantined.
func (s *Scheduler) applySuspicions(now time.Time) {
	for id, w := range s.waiting {
		s.markSuspect(now, w)
		if s.crashRecords.Quarantined(now, w.Demand.Fingerprint) {
			w.Done = true
			s.refuse(id, quarantinedFault(w.Demand))
		}
	}
}

// markSuspect sets the fields of a demand that depend on the suspicions.
func (s *Scheduler) markSuspect(now time.Time, w *mangoshard.Waiter) {
	w.Suspect = s.crashRecords.Suspected(now, w.Demand.Fingerprint)
	w.Unresolved = s.crashRecords.Unresolved(now, w.Demand.Fingerprint)
}

func quarantinedFault(d mangomodel.Demand) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(d.Model),
		mangomodel.CodeQuarantined, mangomodel.RunNot, "the request has crashed backend servers")
}
