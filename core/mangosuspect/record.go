package mangosuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// quarantineCrashes is the number of crashes from which a request is
	// quarantined even if it was never alone on probation.
	quarantineCrashes = 3
	// suspectTTL is how long a crash counts against a request that is not
	// quarantined for it, from the failure of the request's stream. recordTTL is
	// how long the record of a quarantined request is kept.
	suspectTTL, recordTTL = 10 * time.Minute, 24 * time.Hour
	// minTerm is how long a request is quarantined after quarantineCrashes or
	// fewer. Each further crash multiplies it by termFactor. Afterwards, the
	// request runs on probation.
	minTerm    = 10 * time.Minute
	termFactor = 6
	// maxSuspicions limits the suspicions. Beyond it, a quarter leaves.
	maxSuspicions = 4096
	// crashWindow is the time within which a stream failure and a crash of its
	// server count as one event.
	crashWindow = 10 * time.Second
	// lateReportWindow is how long after the confirmation of a crash a stream
	// failure still belongs to it, although the server reports a new boot.
	lateReportWindow = time.Second
)

// StreamFailure is a stream that failed because of its server.
type StreamFailure struct {
	Fingerprint mangomodel.Fingerprint
	At          time.Time
	// Alone is set when the request was on probation. A server runs at most one
	// such request at a time.
	Alone bool
}

// Records holds the server crashes that count against requests.
type Records struct {
	suspicions map[mangomodel.Fingerprint]mangomodel.Suspicion
	// pending holds the stream failures of servers whose crash is not confirmed.
	pending      map[mangomodel.ServerID][]StreamFailure
	incarnations map[mangomodel.ServerID]incarnation
}

// incarnation is the recorded state of a server's process.
type incarnation struct {
	boot string
	// crash is the last confirmed crash, and crashedAt the time at which it was
	// confirmed.
	crash     mangomodel.CrashID
	crashedAt time.Time
}

// causedFailure reports whether a stream failure belongs to the last crash: no
// later boot is recorded and the failure is within crashWindow, or the failure
// is within lateReportWindow.
func (inc incarnation) causedFailure(sf StreamFailure) bool {
	if inc.crashedAt.IsZero() {
		return false
	}
	since := sf.At.Sub(inc.crashedAt)
	return since < lateReportWindow || inc.crash.Boot == inc.boot && since < crashWindow
}

// New returns empty records.
func New() *Records {
	return &Records{
		suspicions:   make(map[mangomodel.Fingerprint]mangomodel.Suspicion),
		pending:      make(map[mangomodel.ServerID][]StreamFailure),
		incarnations: make(map[mangomodel.ServerID]incarnation),
	}
}

// RecordFailure records a stream that failed because of a server.
func (r *Records) RecordFailure(server mangomodel.ServerID, sf StreamFailure) {
	if inc := r.incarnations[server]; inc.causedFailure(sf) {
		r.addCrash(sf, inc.crash)
		return
	}
	r.pending[server] = append(r.pending[server], sf)
}

// RecordBoot records the boot in a server's load report, which arrived at time
// at. A report of the recorded boot clears the stream failures before it. Another
// boot confirms that the process has crashed or was restarted.
func (r *Records) RecordBoot(now time.Time, server mangomodel.ServerID, boot string, at time.Time) {
	inc := r.incarnations[server]
	if inc.boot == boot {
		r.clearBefore(server, at)
		return
	}
	r.confirm(now, server)
	inc = r.incarnations[server]
	inc.boot = boot
	r.incarnations[server] = inc
}

// RecordRefused records that a server's host refused a connection because no
// process listens there, which confirms a crash.
func (r *Records) RecordRefused(now time.Time, server mangomodel.ServerID) { r.confirm(now, server) }

// RecordPassed records that a request has passed its probation.
func (r *Records) RecordPassed(now time.Time, f mangomodel.Fingerprint) {
	if s, ok := r.suspicions[f]; ok {
		s.Passed = now
		r.suspicions[f] = s
	}
}

// Merge merges a suspicion of another daemon into the records, unless it has
// expired. It is idempotent, and commutative up to the order of the crashes.
func (r *Records) Merge(now time.Time, other mangomodel.Suspicion) {
	if expired(now, other) {
		return
	}
	s := r.suspicions[other.Fingerprint]
	s.Fingerprint = other.Fingerprint
	s.Crashes = slices.Clone(s.Crashes)
	for _, id := range other.Crashes {
		if !slices.Contains(s.Crashes, id) {
			s.Crashes = append(s.Crashes, id)
		}
	}
	s.Alone = s.Alone || other.Alone
	s.Last = latest(s.Last, other.Last)
	s.Passed = latest(s.Passed, other.Passed)
	r.suspicions[other.Fingerprint] = s
	if len(r.suspicions) > maxSuspicions {
		r.dropQuarter()
	}
}

// dropQuarter removes the quarter of the suspicions with the oldest failures. Those of
// quarantined requests leave last.
func (r *Records) dropQuarter() {
	list := slices.SortedFunc(maps.Values(r.suspicions), func(a, b mangomodel.Suspicion) int {
		return cmp.Or(mangomodel.TrueFirst(!convicted(a), !convicted(b)), a.Last.Compare(b.Last))
	})
	for _, s := range list[:len(list)/4] {
		delete(r.suspicions, s.Fingerprint)
	}
}

// convicted reports whether the crashes of a request suffice for a quarantine.
func convicted(s mangomodel.Suspicion) bool {
	return s.Alone || len(s.Crashes) >= quarantineCrashes
}

// term returns how long a request is quarantined.
func term(s mangomodel.Suspicion) time.Duration {
	d := minTerm
	for n := quarantineCrashes; n < len(s.Crashes) && d < recordTTL; n++ {
		d *= termFactor
	}
	return min(d, recordTTL)
}

func expired(now time.Time, s mangomodel.Suspicion) bool {
	if convicted(s) && !s.Passed.After(s.Last) {
		return now.Sub(s.Last) >= recordTTL
	}
	return now.Sub(s.Last) >= suspectTTL
}

// Expire removes the suspicions that have expired.
func (r *Records) Expire(now time.Time) {
	maps.DeleteFunc(r.suspicions, func(_ mangomodel.Fingerprint, s mangomodel.Suspicion) bool {
		return expired(now, s)
	})
}

// confirm records a crash of the server's last reported boot, once per boot,
// and counts it against the requests with pending stream failures.
func (r *Records) confirm(now time.Time, server mangomodel.ServerID) {
	inc := r.incarnations[server]
	if inc.boot == "" || inc.crash.Boot == inc.boot {
		return
	}
	inc.crash = mangomodel.CrashID{Server: server, Boot: inc.boot}
	inc.crashedAt = now
	r.incarnations[server] = inc
	for _, sf := range r.pending[server] {
		if now.Sub(sf.At) < crashWindow {
			r.addCrash(sf, inc.crash)
		}
	}
	delete(r.pending, server)
}

// addCrash counts a crash against the request of a failed stream.
func (r *Records) addCrash(sf StreamFailure, id mangomodel.CrashID) {
	r.Merge(sf.At, mangomodel.Suspicion{
		Fingerprint: sf.Fingerprint, Crashes: []mangomodel.CrashID{id}, Alone: sf.Alone, Last: sf.At,
	})
}

// clearBefore removes the pending stream failures before a time.
func (r *Records) clearBefore(server mangomodel.ServerID, before time.Time) {
	list := slices.DeleteFunc(r.pending[server], func(sf StreamFailure) bool { return sf.At.Before(before) })
	if len(list) == 0 {
		delete(r.pending, server)
		return
	}
	r.pending[server] = list
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
