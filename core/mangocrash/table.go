package mangocrash

import (
	"container/list"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// maxRefused limits the refused calls that are kept, and maxSuspects the others.
	maxRefused, maxSuspects = 1024, 4096
	// seenInterval is how often other daemons are told that a refused call arrives.
	seenInterval = 10 * time.Second
)

// shelf holds records of one kind, the last seen first.
type shelf struct {
	order *list.List
	limit int
}

// Table holds what a daemon knows of calls that may have crashed servers.
type Table struct {
	calls map[mangomodel.Fingerprint]*list.Element
	// refused and suspects hold the records of refused calls and of others.
	refused, suspects shelf
	// verdicts are the published verdicts, stale if a record has changed since.
	verdicts Verdicts
	stale    bool
	news     []item
	// digest is that of all refused calls, and uneven when a message with another one
	// arrived last.
	digest uint64
	uneven time.Time
	// own is set if this daemon has changed a record. saving is set if the records are
	// saved. unsaved are the changes that are not, and
	// unsavedList the published records of these, stale if a change is not part of it.
	own, saving  bool
	changes      Change
	unsaved      map[mangomodel.Fingerprint]pending
	unsavedList  []Unsaved
	unsavedStale bool
}

// Option configures a Table.
type Option func(*Table)

// WithSaving makes the table tell which records its owner should save.
func WithSaving() Option { return func(t *Table) { t.saving = true } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		calls:    make(map[mangomodel.Fingerprint]*list.Element),
		refused:  shelf{list.New(), maxRefused},
		suspects: shelf{list.New(), maxSuspects},
		unsaved:  make(map[mangomodel.Fingerprint]pending),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RecordCrash records that a server ended a call of this daemon before completion.
func (t *Table) RecordCrash(call mangomodel.Fingerprint, server Incarnation, now time.Time) {
	t.expire(now)
	t.change(call, now, true, func(x *record) {
		x.crashes = x.crashes.add(event{id: uint64(server), at: now}, sameCrash)
		x.seen = now
	})
}

// RecordProbe records that a refused call is sent to a server.
func (t *Table) RecordProbe(call mangomodel.Fingerprint, probe ProbeID, now time.Time) {
	if _, ok := t.calls[call]; !ok {
		return
	}
	t.change(call, now, true, func(x *record) {
		x.probes = x.probes.add(event{id: uint64(probe), at: now}, 0)
	})
}

// CancelProbe records that a probe has reached no server.
func (t *Table) CancelProbe(call mangomodel.Fingerprint, probe ProbeID, now time.Time) {
	if _, ok := t.calls[call]; !ok {
		return
	}
	t.change(call, now, true, func(x *record) { x.probes.clearID(uint64(probe)) })
}

// RecordCompletion records that a call has completed at a server, which clears its
// crashes.
func (t *Table) RecordCompletion(call mangomodel.Fingerprint, now time.Time) {
	if _, ok := t.calls[call]; !ok {
		return
	}
	t.change(call, now, true, func(x *record) {
		x.crashes.clear()
		x.probes.clear()
	})
}

// RecordArrival records that a call arrives, which keeps its record.
func (t *Table) RecordArrival(call mangomodel.Fingerprint, now time.Time) {
	t.expire(now)
	e, ok := t.calls[call]
	if !ok {
		return
	}
	x := e.Value.(*record)
	x.seen = now
	t.shelfOf(x).order.MoveToFront(e)
	if x.refused() && now.Sub(x.told) >= seenInterval {
		t.announce(x, now, true)
	}
	if x.refused() && now.Sub(x.saved) >= seenSaveInterval && !t.IsUnsaved(call) {
		t.markUnsaved(x, now)
	}
}

// Crashes returns the number of crashes of a call that are not cleared.
func (t *Table) Crashes(call mangomodel.Fingerprint, now time.Time) int {
	t.expire(now)
	e, ok := t.calls[call]
	if !ok {
		return 0
	}
	return e.Value.(*record).crashes.uncleared()
}

// Verdicts returns the verdicts of the refused calls.
func (t *Table) Verdicts() Verdicts {
	if !t.stale {
		return t.verdicts
	}
	t.verdicts, t.stale = make(Verdicts, t.refused.order.Len()), false
	for e := t.refused.order.Front(); e != nil; e = e.Next() {
		x := e.Value.(*record)
		t.verdicts[x.call] = x.verdict()
	}
	return t.verdicts
}

func (t *Table) shelfOf(x *record) *shelf {
	if x.refused() {
		return &t.refused
	}
	return &t.suspects
}

// change changes the record of a call, which it creates if there is none, and announces
// it to other daemons if the change adds to it.
func (t *Table) change(call mangomodel.Fingerprint, now time.Time, own bool, apply func(*record)) {
	x := &record{call: call, seen: now}
	if e, ok := t.calls[call]; ok {
		x = t.remove(e)
	}
	known, cleared := x.weight()
	seen, refused := x.seen, x.refused()
	apply(x)
	t.insert(x)
	k, c := x.weight()
	changed := k != known || c != cleared
	t.stale = t.stale || changed
	if changed || x.refused() && x.seen.Sub(seen) >= seenInterval/2 {
		t.announce(x, now, own)
	}
	if _, kept := t.calls[call]; !kept || !changed {
		return
	}
	// A daemon that clears crashes need not know whether they were saved, so that those who
	// know save the clearance too.
	if own || c > cleared && (x.written || refused && !x.saved.IsZero()) {
		x.own, t.own = x.own || own, t.own || own
		t.markUnsaved(x, now)
	} else if t.IsUnsaved(call) {
		t.unsavedStale = true
	}
}

// remove takes a record out of the table.
func (t *Table) remove(e *list.Element) *record {
	x := e.Value.(*record)
	t.shelfOf(x).order.Remove(e)
	delete(t.calls, x.call)
	t.digest ^= x.digest()
	return x
}

// drop takes a record out of the table for good.
func (t *Table) drop(e *list.Element) {
	x := t.remove(e)
	t.stale = t.stale || x.refused()
	if t.IsUnsaved(x.call) {
		delete(t.unsaved, x.call)
		t.unsavedStale = true
	}
}

// insert adds a record at its place and drops the one that was not seen for the longest
// time if there are too many.
func (t *Table) insert(x *record) {
	s := t.shelfOf(x)
	at := s.order.Front()
	for at != nil && at.Value.(*record).seen.After(x.seen) {
		at = at.Next()
	}
	var e *list.Element
	if at == nil {
		e = s.order.PushBack(x)
	} else {
		e = s.order.InsertBefore(x, at)
	}
	t.calls[x.call] = e
	t.digest ^= x.digest()
	if s.order.Len() > s.limit {
		t.drop(s.order.Back())
	}
}

// expire drops the records past their retention.
func (t *Table) expire(now time.Time) {
	for _, s := range []*shelf{&t.refused, &t.suspects} {
		for e := s.order.Back(); e != nil && now.Sub(e.Value.(*record).seen) > Retention; e = s.order.Back() {
			t.drop(e)
		}
	}
}
