// Package mangojournal keeps the last changes of the list of servers, for the
// daemons that receive them from this one.
//
// A [Journal] is immutable, so it can be published. The zero Journal holds no
// changes.
//
// # Usage
//
//	j := mangojournal.Journal{}.Reset(7)
//	j = j.With(mangojournal.Entry{Changes: changes, Cursor: 8})
//	entry, ok := j.After(7)
package mangojournal

import (
	"slices"
	"time"

	"mangolane/core/mangotraffic"
)

// maxEntries is how many entries are kept. A daemon requests changes four times a
// second.
const maxEntries = 256

// Entry is a group of changes with the position after them.
type Entry struct {
	Changes []mangotraffic.ServerChange
	// Grace is how long removed servers are still used.
	Grace  time.Duration
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

// After returns all changes after a position as one entry, with the longest
// grace. It reports false if some of them are no longer kept.
func (j Journal) After(cursor mangotraffic.Cursor) (Entry, bool) {
	if cursor < j.base {
		return Entry{}, false
	}
	var sum Entry
	for _, e := range j.entries {
		if e.Cursor <= cursor {
			continue
		}
		sum.Changes = append(sum.Changes, e.Changes...)
		sum.Grace = max(sum.Grace, e.Grace)
		sum.Cursor = e.Cursor
	}
	return sum, true
}
