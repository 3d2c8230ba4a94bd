// Package mangohealth decides when a backend server is ejected because of the
// results of the calls sent to it.
//
// A server is ejected after consecutive failures, for a time that doubles while
// it keeps failing. After that time one success clears its record and one more
// failure ejects it again. Servers are not probed: the next calls serve as the
// test.
//
// # Usage
//
//	var r mangohealth.Record
//	r = r.Failed(now)
//	if r.Usable(now) { ... }
package mangohealth

import "time"

const (
	// failuresToEject is how many consecutive failures eject a server. A single
	// reset is common while a server restarts its worker process.
	failuresToEject = 3
	// firstEjection is long compared with a call of a plain service (tens of ms)
	// and short compared with the restart of a server (some seconds).
	firstEjection = 600 * time.Millisecond
	// longestEjection bounds how long a recovered server stays unused.
	longestEjection = 4 * time.Second
)

// Record is the result of the calls to one server. The zero Record is that of a
// server without failures.
type Record struct {
	// Failures counts consecutive failures.
	Failures int
	// Until is when the server may be used again.
	Until time.Time
	// ejection is the length of the last ejection.
	ejection time.Duration
}

// Usable reports whether the server may be used.
func (r Record) Usable(now time.Time) bool { return !now.Before(r.Until) }

// Succeeded returns the record after a success.
func (r Record) Succeeded() Record { return Record{} }

// Failed returns the record after a failure that the server caused.
func (r Record) Failed(now time.Time) Record {
	r.Failures++
	if r.Failures >= failuresToEject {
		return r.eject(now)
	}
	return r
}

// Unreachable returns the record after a failed connection attempt, which ejects
// the server at once.
func (r Record) Unreachable(now time.Time) Record {
	r.Failures = max(r.Failures+1, failuresToEject)
	return r.eject(now)
}

func (r Record) eject(now time.Time) Record {
	if now.Before(r.Until) {
		return r
	}
	r.ejection = min(max(2*r.ejection, firstEjection), longestEjection)
	r.Until = now.Add(r.ejection)
	return r
}
