package mangoarchive

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

type (
	// Version is the store's version of a row, zero for one that does not exist. Those of
	// two eras of the store are not comparable.
	Version uint64
	// Clock is a time of the store's clock.
	Clock time.Duration
)

// Event is a crash or a probe of a call.
type Event struct {
	ID mangocrash.EventID
	At Clock
}

// Row is the record of a call in the store.
type Row struct {
	Call    mangomodel.Fingerprint
	Version Version
	// Seen is when the call last crashed a server or arrived.
	Seen            Clock
	Crashes, Probes []Event
}

// Table is rows of the store.
type Table struct {
	Rows []Row
	// Version is that of the whole store, which the rows that were replaced have now.
	Version Version
	// Clock is the store's time at the response, and Era its era.
	Clock Clock
	Era   mangotraffic.Era
}

const (
	// seenInterval is by how much the time at which a call was last seen must differ for a
	// row to be replaced for that.
	seenInterval = 30 * time.Minute
)

// bySeen orders rows by when their calls were last seen, the oldest first.
func bySeen(x, y Row) int { return cmp.Or(cmp.Compare(x.Seen, y.Seen), cmp.Compare(x.Call, y.Call)) }

// Empty reports whether a row need not exist.
func (r Row) Empty() bool { return len(r.Crashes) == 0 }

// record returns the row with local times. start is when the store's clock was zero. The
// clock may have been set back, so that no time is in the future.
func (r Row) record(start time.Time) mangocrash.Record {
	now := time.Now()
	local := func(c Clock) time.Time {
		if t := start.Add(time.Duration(c)); t.Before(now) {
			return t
		}
		return now
	}
	occurrences := func(list []Event) []mangocrash.Occurrence {
		var result []mangocrash.Occurrence
		for _, e := range list {
			result = append(result, mangocrash.Occurrence{ID: e.ID, At: local(e.At)})
		}
		return result
	}
	return mangocrash.Record{Call: r.Call, Seen: local(r.Seen), Crashes: occurrences(r.Crashes), Probes: occurrences(r.Probes)}
}

// rowOf returns the row of a record.
func rowOf(r mangocrash.Record, start time.Time) Row {
	events := func(list []mangocrash.Occurrence) []Event {
		var result []Event
		for _, o := range list {
			result = append(result, Event{o.ID, Clock(o.At.Sub(start))})
		}
		return result
	}
	return Row{Call: r.Call, Seen: Clock(r.Seen.Sub(start)), Crashes: events(r.Crashes), Probes: events(r.Probes)}
}

// holds reports whether a row says the same as another one. The times of events are not
// compared: they never change, and those of a row have an error.
func (r Row) holds(next Row) bool {
	if r.Empty() || next.Empty() {
		return r.Empty() && next.Empty()
	}
	// A row that was seen later than its record is of a clock that was set back since.
	return time.Duration(next.Seen-r.Seen).Abs() < seenInterval && sameEvents(r.Crashes, next.Crashes) && sameEvents(r.Probes, next.Probes)
}

func sameEvents(a, b []Event) bool {
	if len(a) != len(b) {
		return false
	}
	ids := func(list []Event) []mangocrash.EventID {
		var ids []mangocrash.EventID
		for _, e := range list {
			ids = append(ids, e.ID)
		}
		slices.Sort(ids)
		return ids
	}
	return slices.Equal(ids(a), ids(b))
}
