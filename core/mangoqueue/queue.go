// Package mangoqueue decides in which order queued demands are granted, which of
// them are refused at once, and when the client of a refused call should return.
//
// The load it answers is a burst beyond what the servers of a service can take. The
// targets of all calls cannot be met then. Demands that can still meet theirs are
// granted before the others, and of equally urgent ones those that occupy the least
// KV memory for the least time, so that as many callers as possible are served in
// time. A [Flow] measures how fast the queue of a service drains. A demand that by
// this measure would wait beyond its limit is refused when it arrives.
//
// # Usage
//
//	slices.SortStableFunc(queue, func(a, b *mangolease.PendingDemand) int { return mangoqueue.Compare(a, b, now) })
//	flow.Arrived(now)
//	if wait, ok := flow.Hopeless(ahead, limit, now); ok { ... flow.ReturnAfter(ahead, now) ... }
package mangoqueue

import (
	"cmp"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Compare orders demands with a computed KV cache first, since the cache expires
// soon; then demands that can still meet their target; then by priority, by cost and
// by age.
func Compare(a, b *mangolease.PendingDemand, now time.Time) int {
	return cmp.Or(
		mangomodel.TrueFirst(a.Demand.Prefilled, b.Demand.Prefilled),
		mangomodel.TrueFirst(!a.Late(now), !b.Late(now)),
		cmp.Compare(a.Demand.Priority, b.Demand.Priority),
		cmp.Compare(Cost(a.Demand.Generation), Cost(b.Demand.Generation)),
		a.ArrivedAt.Compare(b.ArrivedAt),
	)
}

// Cost returns the KV memory that a generation is expected to occupy, multiplied by
// the tokens that it takes to generate. It is zero for other calls.
func Cost(g *mangotraffic.Generation) float64 {
	if g == nil {
		return 0
	}
	output := float64(g.ExpectedOutput(0))
	return output * (float64(g.Prompt) + output/2)
}

const (
	// minObserved is how long demands have to wait without a break before the rate
	// of grants says how fast the queue drains.
	minObserved = 300 * time.Millisecond
	// observedWindow is how long counts have full weight; older ones fade.
	observedWindow = 2 * time.Second
	// predictionMargin times the limit is the predicted wait beyond which a demand
	// is refused: demands ahead of it may be withdrawn, and servers may be added.
	predictionMargin = 1.3
	// minSpare is the share of the rate of grants that must be left beyond new
	// demands for the queue to count as draining.
	minSpare = 0.1
)

// Flow measures the demands of one service while some of them wait. The zero Flow
// has measured nothing.
type Flow struct {
	// since is when demands began to wait; zero while none waits. Before it was
	// moved, granted and arrived were reduced in proportion.
	since            time.Time
	granted, arrived float64
	// returns are the times at which refused clients were told to return.
	returns []time.Time
}

// Arrived counts a new demand.
func (f *Flow) Arrived(now time.Time) {
	if !f.since.IsZero() {
		f.arrived++
		f.fade(now)
	}
}

// Granted counts a granted demand.
func (f *Flow) Granted(now time.Time) {
	if !f.since.IsZero() {
		f.granted++
		f.fade(now)
	}
}

// SetWaiting records whether demands wait.
func (f *Flow) SetWaiting(waiting bool, now time.Time) {
	switch {
	case !waiting:
		f.since, f.granted, f.arrived = time.Time{}, 0, 0
	case f.since.IsZero():
		f.since = now
	}
}

// fade reduces the counts so that they cover observedWindow.
func (f *Flow) fade(now time.Time) {
	observed := now.Sub(f.since)
	if observed <= observedWindow {
		return
	}
	share := observedWindow.Seconds() / observed.Seconds()
	f.granted *= share
	f.arrived *= share
	f.since = now.Add(-observedWindow)
}

// rate returns the demands granted per second. It reports false if too little was
// measured.
func (f *Flow) rate(now time.Time) (float64, bool) {
	observed := now.Sub(f.since)
	if f.since.IsZero() || observed < minObserved || f.granted == 0 {
		return 0, false
	}
	return f.granted / observed.Seconds(), true
}

// Wait predicts how long a demand waits that has others before it. It reports false
// if too little was measured.
func (f *Flow) Wait(ahead int, now time.Time) (time.Duration, bool) {
	rate, ok := f.rate(now)
	if !ok {
		return 0, false
	}
	return seconds(float64(ahead+1) / rate), true
}

// Hopeless reports whether a demand that arrives with others before it will wait
// beyond its limit, and how long it would wait.
func (f *Flow) Hopeless(ahead int, limit time.Duration, now time.Time) (time.Duration, bool) {
	wait, ok := f.Wait(ahead, now)
	return wait, ok && wait.Seconds() > predictionMargin*limit.Seconds()
}

// ReturnAfter returns when the queue and the clients that were told to return before
// are expected to be served, and counts one more such client. It is zero if the
// queue does not drain: demands arrive as fast as they are granted.
func (f *Flow) ReturnAfter(waiting int, now time.Time) time.Duration {
	rate, ok := f.rate(now)
	spare := rate - f.arrived/now.Sub(f.since).Seconds()
	if !ok || spare < minSpare*rate {
		return 0
	}
	f.expireReturns(now)
	after := seconds(float64(waiting+len(f.returns)) / spare)
	f.returns = append(f.returns, now.Add(after))
	return after
}

// expireReturns removes the clients that have returned, or should have.
func (f *Flow) expireReturns(now time.Time) {
	kept := f.returns[:0]
	for _, at := range f.returns {
		if at.After(now) {
			kept = append(kept, at)
		}
	}
	f.returns = kept
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
