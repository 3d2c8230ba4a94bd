package mangoload

import (
	"maps"
	"time"

	"mangolane/core/mangomodel"
)

// Board adds up the reports of all daemons. A report costs time in proportion to its own
// length only, since a scheduler receives one from each daemon in each renewal interval.
type Board struct {
	sums    map[mangomodel.ServerID]entry
	reports map[mangomodel.DaemonID]report
	// cleanedAt is when negligible reports were last removed.
	cleanedAt time.Time
}

// report is the last report of a daemon.
type report struct {
	records Records
	at      time.Time
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{sums: make(map[mangomodel.ServerID]entry), reports: make(map[mangomodel.DaemonID]report)}
}

// cleanInterval is how often negligible reports are removed. They take memory only.
const cleanInterval = 10 * time.Second

// Record replaces the report of a daemon. That of a daemon that no longer reports loses its
// weight with time, as all samples do.
func (b *Board) Record(from mangomodel.DaemonID, list Records, now time.Time) {
	last := b.reports[from]
	load, speed := decays(now.Sub(last.at))
	for id, r := range last.records {
		b.add(id, list[id].add(r.times(-load, -speed)), now)
	}
	for id, r := range list {
		if _, ok := last.records[id]; !ok {
			b.add(id, r, now)
		}
	}
	if len(list) == 0 {
		delete(b.reports, from)
	} else {
		b.reports[from] = report{list, now}
	}
	if now.Sub(b.cleanedAt) >= cleanInterval {
		b.cleanedAt = now
		b.clean(now)
	}
}

func (b *Board) add(id mangomodel.ServerID, r Record, now time.Time) {
	b.sums[id] = entry{b.sums[id].now(now).add(r), now}
}

func (b *Board) clean(now time.Time) {
	maps.DeleteFunc(b.reports, func(_ mangomodel.DaemonID, r report) bool { return now.Sub(r.at) >= cleanInterval })
	maps.DeleteFunc(b.sums, func(_ mangomodel.ServerID, e entry) bool { return e.now(now).negligible() })
}

// Records returns the sums of all reports.
func (b *Board) Records(now time.Time) Records {
	list := make(Records, len(b.sums))
	for id, e := range b.sums {
		if r := e.now(now); !r.negligible() {
			list[id] = r
		}
	}
	return list
}
