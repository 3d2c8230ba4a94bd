package mangocrash

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// saveDelay is how long a change is kept back that the outcome of the same call often
	// makes obsolete: the first crash, and a clearance.
	saveDelay = time.Second
	// seenSaveInterval is how often a record is saved for no other reason than that its
	// call still arrives.
	seenSaveInterval = time.Hour
	// restoreError is the error of saved times: the time in transit of a response of a slow
	// store to a busy daemon, when the record was saved and when it is restored.
	restoreError = 10 * time.Second
	// maxUnsaved limits the records that Unsaved returns.
	maxUnsaved = 48
)

// EventID identifies a crash of a call by an [Incarnation], or a probe by a [ProbeID].
type EventID uint64

// Occurrence is a crash or a probe that is not cleared.
type Occurrence struct {
	ID EventID
	At time.Time
}

// Record is what is known of a call without what was cleared. It is empty if everything
// was.
type Record struct {
	Call mangomodel.Fingerprint
	// Seen is when the call last crashed a server or arrived.
	Seen            time.Time
	Crashes, Probes []Occurrence
}

// Empty reports whether a record need not be kept.
func (r Record) Empty() bool { return len(r.Crashes) == 0 }

// Change numbers the changes of a table.
type Change uint64

// Unsaved is a record with changes that are not saved.
type Unsaved struct {
	Record
	// Change is the last of them.
	Change Change
	// Due is when the record should be saved.
	Due time.Time
}

// pending is a change that is not saved.
type pending struct {
	change Change
	due    time.Time
}

// markUnsaved marks a record as changed by this daemon. One that the next crash makes
// refused, or that is refused, is due at once.
func (t *Table) markUnsaved(x *record, now time.Time) {
	if !t.saving {
		return
	}
	due := now.Add(saveDelay)
	if x.crashes.uncleared() >= MaxCrashes-1 {
		due = now
	}
	if p, ok := t.unsaved[x.call]; ok && p.due.Before(due) {
		due = p.due
	}
	t.changes++
	t.unsaved[x.call] = pending{t.changes, due}
	t.unsavedStale = true
}

// IsUnsaved reports whether the record of a call has changes that are not saved.
func (t *Table) IsUnsaved(call mangomodel.Fingerprint) bool {
	_, ok := t.unsaved[call]
	return ok
}

// Unsaved returns the records that are due first and not saved. Further ones follow once
// these are.
func (t *Table) Unsaved() []Unsaved {
	if !t.unsavedStale {
		return t.unsavedList
	}
	list := make([]Unsaved, 0, len(t.unsaved))
	for call, p := range t.unsaved {
		list = append(list, Unsaved{Record: Record{Call: call}, Change: p.change, Due: p.due})
	}
	slices.SortFunc(list, func(a, b Unsaved) int { return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Change, b.Change)) })
	list = slices.Clip(list[:min(len(list), maxUnsaved)])
	for i := range list {
		list[i].Record = t.calls[list[i].Call].Value.(*record).kept()
	}
	t.unsavedList, t.unsavedStale = list, false
	return list
}

// Saved records that the records were saved as Unsaved returned them.
func (t *Table) Saved(list []Unsaved) {
	for _, u := range list {
		if p, ok := t.unsaved[u.Call]; !ok || p.change != u.Change {
			continue
		}
		delete(t.unsaved, u.Call)
		t.unsavedStale = true
		x := t.calls[u.Call].Value.(*record)
		x.saved, x.written = u.Seen, true
	}
}

// Resave marks the records as unsaved that were saved or are refused. The store may hold
// older ones again.
func (t *Table) Resave(now time.Time) {
	t.resave(now, func(x *record) bool { return x.refused() || !x.saved.IsZero() })
}

// ResaveOwn marks those as unsaved that this daemon has changed and saved.
func (t *Table) ResaveOwn(now time.Time) {
	t.resave(now, func(x *record) bool { return x.own && !x.saved.IsZero() })
}

func (t *Table) resave(now time.Time, chosen func(*record) bool) {
	for _, e := range t.calls {
		if x := e.Value.(*record); chosen(x) {
			t.markUnsaved(x, now)
		}
	}
}

// Own reports whether this daemon has changed a record, since or before it was dropped.
func (t *Table) Own() bool { return t.own }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.calls) }

// Restore merges saved records. Their times have an error of some seconds, so that they
// change none of those that are known.
func (t *Table) Restore(list []Record, now time.Time) {
	t.expire(now)
	for _, r := range list {
		if now.Sub(r.Seen) >= Retention || r.Empty() {
			continue
		}
		_, known := t.calls[r.Call]
		t.change(r.Call, now, false, func(x *record) {
			x.crashes, x.probes = x.crashes.restore(r.Crashes, restoreError), x.probes.restore(r.Probes, 0)
			if !known || r.Seen.Sub(x.seen) > restoreError {
				x.seen = r.Seen
			}
			if r.Seen.After(x.saved) {
				x.saved = r.Seen
			}
		})
	}
}

// restore adds the saved events that are not known within an error of their times. Each known
// event stands for one saved one, since a server that does not state its incarnation may end
// several times.
func (list events) restore(saved []Occurrence, within time.Duration) events {
	unmatched := slices.Clone(list)
	for _, o := range saved[:min(len(saved), maxEvents)] {
		e := event{id: uint64(o.ID), at: o.At}
		if i := slices.IndexFunc(unmatched, func(x event) bool { return e.same(x, within) }); i >= 0 {
			unmatched = slices.Delete(unmatched, i, i+1)
			continue
		}
		list = append(list, e).limit()
	}
	return list
}

// kept returns the record without what was cleared.
func (x *record) kept() Record {
	return Record{Call: x.call, Seen: x.seen, Crashes: x.crashes.kept(), Probes: x.probes.kept()}
}

func (list events) kept() []Occurrence {
	var kept []Occurrence
	for _, e := range list {
		if !e.cleared {
			kept = append(kept, Occurrence{EventID(e.id), e.at})
		}
	}
	return kept
}
