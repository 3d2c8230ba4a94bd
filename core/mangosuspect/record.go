package mangosuspect

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
	// recordTTL is how long a crash counts against a request.
	recordTTL = 10 * time.Minute
	// crashWindow is the time within which a broken stream and a crash of its
	// server are taken as one event.
	crashWindow = 10 * time.Second
	// lateNews is how late news of a broken stream may come after its server
	// was seen in a new life.
	lateNews = time.Second
)

// StreamFailure is a stream that ended because of its server.
type StreamFailure struct {
	Fingerprint mangomodel.Fingerprint
	At          time.Time
	// Alone is set when the request was on probation.
	Alone bool
}

// Records say which requests were aboard crashes.
type Records struct {
	suspicions map[mangomodel.Fingerprint]mangomodel.Suspicion
	// pending holds broken streams on servers whose crash is not confirmed.
	pending map[mangomodel.ServerID][]StreamFailure
	lives   map[mangomodel.ServerID]life
}

// life is what is known of a server's process.
type life struct {
	boot string
	// crash is the last confirmed crash, and crashedAt when it was seen.
	crash     mangomodel.CrashID
	crashedAt time.Time
}

// explains reports whether a broken stream belongs to the last crash: no later
// life is known, or the news of the stream is only a little late.
func (l life) explains(b StreamFailure) bool {
	if l.crashedAt.IsZero() {
		return false
	}
	since := b.At.Sub(l.crashedAt)
	return since < lateNews || l.crash.Boot == l.boot && since < crashWindow
}

// New returns empty records.
func New() *Records {
	return &Records{
		suspicions: make(map[mangomodel.Fingerprint]mangomodel.Suspicion),
		pending:    make(map[mangomodel.ServerID][]StreamFailure),
		lives:      make(map[mangomodel.ServerID]life),
	}
}

// RecordFailure notes a stream that a server's failure ended.
func (r *Records) RecordFailure(server mangomodel.ServerID, b StreamFailure) {
	if l := r.lives[server]; l.explains(b) {
		r.convict(b, l.crash)
		return
	}
	r.pending[server] = append(r.pending[server], b)
}

// RecordBoot notes that a server's process reported itself under a boot. The same
// boot clears the streams that broke before the report; another one confirms
// that the process has crashed or was restarted.
func (r *Records) RecordBoot(now time.Time, server mangomodel.ServerID, boot string, at time.Time) {
	l := r.lives[server]
	if l.boot == boot {
		r.clear(server, at)
		return
	}
	r.crashed(now, server)
	l = r.lives[server]
	l.boot = boot
	r.lives[server] = l
}

// RecordRefused notes that a server's host answered and no process listens there,
// which confirms a crash.
func (r *Records) RecordRefused(now time.Time, server mangomodel.ServerID) { r.crashed(now, server) }

// RecordPassed notes that a request has passed its probation.
func (r *Records) RecordPassed(now time.Time, f mangomodel.Fingerprint) {
	if s, ok := r.suspicions[f]; ok {
		s.Passed = now
		r.suspicions[f] = s
	}
}

// Merge takes in a suspicion of another daemon. It is commutative and
// idempotent.
func (r *Records) Merge(now time.Time, other mangomodel.Suspicion) {
	if now.Sub(other.Last) >= recordTTL {
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
}

// Expire drops the records that no longer count.
func (r *Records) Expire(now time.Time) {
	maps.DeleteFunc(r.suspicions, func(_ mangomodel.Fingerprint, s mangomodel.Suspicion) bool {
		return now.Sub(s.Last) >= recordTTL
	})
}

// crashed confirms once that the known life of a server has ended.
func (r *Records) crashed(now time.Time, server mangomodel.ServerID) {
	l := r.lives[server]
	if l.boot == "" || l.crash.Boot == l.boot {
		return
	}
	l.crash = mangomodel.CrashID{Server: server, Boot: l.boot}
	l.crashedAt = now
	r.lives[server] = l
	for _, b := range r.pending[server] {
		if now.Sub(b.At) < crashWindow {
			r.convict(b, l.crash)
		}
	}
	delete(r.pending, server)
}

// convict counts a crash against a request that was aboard.
func (r *Records) convict(b StreamFailure, id mangomodel.CrashID) {
	r.Merge(b.At, mangomodel.Suspicion{
		Fingerprint: b.Fingerprint, Crashes: []mangomodel.CrashID{id}, Alone: b.Alone, Last: b.At,
	})
}

// clear drops the streams that broke before a time.
func (r *Records) clear(server mangomodel.ServerID, before time.Time) {
	list := slices.DeleteFunc(r.pending[server], func(b StreamFailure) bool { return b.At.Before(before) })
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
