// Package mangooutage decides whether the platform's store was away, and until when
// the servers are used whose entries vanished meanwhile.
//
// An entry expires if the store cannot be written for a while, although its server is
// alive. A daemon that cannot read the list does not know whether the store was away
// or only its own path to it. So each daemon records when any daemon last read the
// list, and which daemons have failed to read it since. The store was away if nobody
// read it for some time and more than one daemon failed to, or the only one did.
//
// An outage ends with the first read by any daemon, whichever daemon learns of it. The
// grace of the entries that were lost in it begins there.
//
// # Usage
//
//	r := mangooutage.New(self, 2400*time.Millisecond)
//	r.Failed(self, now)
//	r.Failed(other, now.Add(-age))
//	r.Read(now, others)
//	grace := r.Grace(now)
package mangooutage

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// RelistTime is how long live servers whose entries expired take to be listed again
	// once the store is back. A server that is still missing then is removed.
	RelistTime = 2 * time.Second
	// minWitnesses is how many daemons have to fail to read the list.
	minWitnesses = 2
)

// failures holds the first and the last failed read of each daemon since some time.
type failures map[mangomodel.DaemonID][2]time.Time

func (f failures) add(id mangomodel.DaemonID, at time.Time) {
	span, ok := f[id]
	if !ok || at.Before(span[0]) {
		span[0] = at
	}
	if at.After(span[1]) {
		span[1] = at
	}
	f[id] = span
}

// within returns the failures between two times. A zero end means none.
func (f failures) within(from, to time.Time) failures {
	kept := make(failures)
	for id, span := range f {
		for _, at := range span {
			if at.After(from) && (to.IsZero() || at.Before(to)) {
				kept.add(id, at)
			}
		}
	}
	return kept
}

// gap is a time in which no daemon read the list, as far as it is known.
type gap struct {
	from, to time.Time
	// failed holds the failed reads within the gap.
	failed failures
	// alone is set if no other daemon was recorded.
	alone bool
}

// Record is what one daemon knows about the reads of all daemons. It has no clock and
// no goroutine: its owner passes in the time.
type Record struct {
	self mangomodel.DaemonID
	// minOutage is the time without a read after which the store may have been away.
	minOutage time.Duration
	// read is the last read by any daemon.
	read time.Time
	// failed holds the failed reads since then.
	failed failures
	// last is the last gap that may have been an outage.
	last gap
}

// New returns a record without reads. The store may have been away if nobody read the list
// for minOutage.
func New(self mangomodel.DaemonID, minOutage time.Duration) *Record {
	return &Record{self: self, minOutage: minOutage, failed: make(failures)}
}

// Failed records that a daemon failed to read the list at a time.
func (r *Record) Failed(id mangomodel.DaemonID, at time.Time) {
	if at.After(r.read) {
		r.failed.add(id, at)
	} else if at.After(r.last.from) && at.Before(r.last.to) {
		r.last.failed.add(id, at)
	}
}

// Read records that some daemon read the list at a time, while others were recorded.
func (r *Record) Read(at time.Time, others int) {
	if !at.After(r.read) {
		r.split(at)
		return
	}
	if !r.read.IsZero() && at.Sub(r.read) >= r.minOutage {
		r.last = gap{from: r.read, to: at, failed: r.failed.within(r.read, at), alone: others == 0}
	}
	if len(r.failed) > 0 {
		r.failed = r.failed.within(at, time.Time{})
	}
	r.read = at
}

// split applies a read within the last gap that was not known when the gap ended.
func (r *Record) split(at time.Time) {
	if !at.After(r.last.from) || !at.Before(r.last.to) {
		return
	}
	if at.Sub(r.last.from) >= r.minOutage {
		r.last.to = at
	} else {
		r.last.from = at
	}
	r.last.failed = r.last.failed.within(r.last.from, r.last.to)
}

// Returned returns when the store returned from the last outage; zero if there was none.
func (r *Record) Returned() time.Time {
	if r.last.to.Sub(r.last.from) < r.minOutage || !r.witnessed() {
		return time.Time{}
	}
	return r.last.to
}

// Grace returns how long servers without an entry are still used, since their entries
// may have been lost in the last outage.
func (r *Record) Grace(now time.Time) time.Duration {
	returned := r.Returned()
	if returned.IsZero() {
		return 0
	}
	return max(returned.Add(RelistTime).Sub(now), 0)
}

// witnessed reports whether enough daemons failed to read the list in the last gap.
func (r *Record) witnessed() bool {
	if _, ok := r.last.failed[r.self]; ok && r.last.alone {
		return true
	}
	return len(r.last.failed) >= minWitnesses
}
