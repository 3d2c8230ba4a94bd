// Package mangooutlier decides which plain backend servers fail much more often than
// the others of their service.
//
// It answers the load of hundreds of daemons: each of them sends a server one call in
// seconds, so that none sees enough failures in a row to eject a server that fails a
// part of its calls while its health check is good. Each daemon reports the recent
// outcomes of its calls, and the scheduler of the service adds them up.
//
// # Usage
//
//	w.Add("i-1", failed, now)
//	board.Record(holder, w.Counts(now), now)
//	for _, id := range board.Outliers(servers, now) { ... }
package mangooutlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// halfWindow is half of the time that counts cover at most.
	halfWindow = time.Second
	// reportTTL is how long a daemon's report is used: some missed renewals.
	reportTTL = time.Second
	// minFailures and minShare are the failures, and the share of its calls, from
	// which on a server may be an outlier.
	minFailures, minShare = 4, 0.15
	// minRatio times the share of failures at the other servers is the least share of
	// an outlier. A fault of the network shows at all of them.
	minRatio = 3
	// maxEjected is the largest share of a service's servers that are outliers at a
	// time, so that the others can take their calls.
	maxEjected = 0.34
	// EjectionTime is how long an outlier gets no calls.
	EjectionTime = 5 * time.Second
)

// Counts are the calls to one server and how many of them failed.
type Counts struct{ Calls, Failures int }

func (c Counts) add(other Counts) Counts {
	return Counts{c.Calls + other.Calls, c.Failures + other.Failures}
}

// share returns the share of the calls that failed.
func (c Counts) share() float64 { return float64(c.Failures) / float64(max(c.Calls, 1)) }

// Window counts the recent outcomes of one daemon's calls. The zero Window is empty.
type Window struct {
	older, newer map[mangomodel.ServerID]Counts
	// begun is when newer was begun.
	begun time.Time
}

// Add counts a call.
func (w *Window) Add(id mangomodel.ServerID, failed bool, now time.Time) {
	w.turn(now)
	c := Counts{Calls: 1}
	if failed {
		c.Failures = 1
	}
	w.newer[id] = w.newer[id].add(c)
}

// Counts returns the counts of the last one to two halves of the window.
func (w *Window) Counts(now time.Time) map[mangomodel.ServerID]Counts {
	w.turn(now)
	sum := maps.Clone(w.newer)
	for id, c := range w.older {
		sum[id] = sum[id].add(c)
	}
	return sum
}

// turn begins a new half if the newer one is over.
func (w *Window) turn(now time.Time) {
	age := now.Sub(w.begun)
	if w.newer != nil && age < halfWindow {
		return
	}
	w.older = w.newer
	if age >= 2*halfWindow {
		w.older = nil
	}
	w.newer, w.begun = make(map[mangomodel.ServerID]Counts), now
}

// report is the last report of one daemon.
type report struct {
	counts map[mangomodel.ServerID]Counts
	at     time.Time
}

// Board holds the reports of all daemons.
type Board struct{ reports map[mangomodel.Holder]report }

// NewBoard returns a board without reports.
func NewBoard() *Board { return &Board{reports: make(map[mangomodel.Holder]report)} }

// Record replaces the report of a daemon.
func (b *Board) Record(from mangomodel.Holder, counts map[mangomodel.ServerID]Counts, now time.Time) {
	if len(counts) == 0 {
		delete(b.reports, from)
		return
	}
	b.reports[from] = report{counts, now}
}

// Outliers returns the outliers among the servers of one service, those with the
// largest share of failures first.
func (b *Board) Outliers(servers []mangomodel.ServerID, now time.Time) []mangomodel.ServerID {
	sums := make(map[mangomodel.ServerID]Counts, len(servers))
	for _, id := range servers {
		sums[id] = Counts{}
	}
	var all Counts
	for from, r := range b.reports {
		if now.Sub(r.at) > reportTTL {
			delete(b.reports, from)
			continue
		}
		for id, c := range r.counts {
			if sum, ok := sums[id]; ok {
				sums[id] = sum.add(c)
				all = all.add(c)
			}
		}
	}
	outliers := slices.DeleteFunc(slices.Clone(servers), func(id mangomodel.ServerID) bool {
		c := sums[id]
		others := Counts{all.Calls - c.Calls, all.Failures - c.Failures}
		return c.Failures < minFailures || c.share() < minShare || c.share() < minRatio*others.share()
	})
	slices.SortFunc(outliers, func(x, y mangomodel.ServerID) int {
		return cmp.Or(cmp.Compare(sums[y].share(), sums[x].share()), cmp.Compare(x, y))
	})
	return outliers[:min(len(outliers), int(maxEjected*float64(len(servers))))]
}
