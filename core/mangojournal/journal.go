// Package mangojournal keeps the last changes of the list of servers, for the
// daemons that receive them from this one.
//
// A [Journal] is immutable, so it can be published. The zero Journal holds no
// changes.
//
// # Usage
//
//	j := mangojournal.Journal{}.Reset(mangotraffic.Cursor{Position: 7})
//	j = j.With(mangojournal.Entry{Changes: changes, At: now, Cursor: next})
//	changes, ok := j.After(last, now)
package mangojournal

import (
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// maxEntries is how many entries are kept. A daemon requests changes four times a
// second.
const maxEntries = 256

// Entry is a group of changes with the position after them.
type Entry struct {
	Changes []mangotraffic.ServerChange
	// At is when the changes were applied. Their graces run from then.
	At     time.Time
	Cursor mangotraffic.Cursor
}

// Journal holds the changes after a position.
type Journal struct {
	entries []Entry
	base    mangotraffic.Cursor
}

// Reset returns an empty journal that starts at a position.
func (Journal) Reset(to mangotraffic.Cursor) Journal { return Journal{base: to} }

// With returns the journal with one more entry. A full journal drops its oldest
// entry.
func (j Journal) With(e Entry) Journal {
	j.entries = append(slices.Clone(j.entries), e)
	if extra := len(j.entries) - maxEntries; extra > 0 {
		j.base = j.entries[extra-1].Cursor
		j.entries = j.entries[extra:]
	}
	return j
}

// After returns all changes after a position, each with what is left of its grace.
// It reports false if some of them are no longer kept.
func (j Journal) After(cursor mangotraffic.Cursor, now time.Time) ([]mangotraffic.ServerChange, bool) {
	if cursor.Before(j.base) {
		return nil, false
	}
	var changes []mangotraffic.ServerChange
	for _, e := range j.entries {
		if !e.Cursor.After(cursor) {
			continue
		}
		for _, c := range e.Changes {
			c.Grace = max(c.Grace-mangomodel.Elapsed(e.At, now), 0)
			changes = append(changes, c)
		}
	}
	return changes, true
}
