package mangoorigin

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"mangolane/core/mangotraffic"
)

const (
	// SweepRows is the largest number of rows that one read of streams returns.
	SweepRows = 100
	// maxBatch is the largest number of rows that one write changes.
	maxBatch = 90
	// saveDelay is the time from when a stream begins until its row is written, if no other
	// write was made lately.
	saveDelay = 50 * time.Millisecond
	// minInterval is the shortest time between two writes of one daemon, and allWrites the
	// number of writes a second of all daemons together.
	minInterval = 200 * time.Millisecond
	allWrites   = 100
	// resaveTime is how long before a new era of the store rows were written that it may
	// lack.
	resaveTime = 30 * time.Second
	// removalBatch is how many rows are removed together if none are written.
	removalBatch = maxBatch / 2
	// sweepSpread is the longest time until the first sweep, and the time between sweeps.
	sweepSpread = 10 * time.Minute
	// sweepInterval is the time between two pages of a sweep.
	sweepInterval = time.Second
)

// streamSaver saves the streams of services with several builds.
type streamSaver struct {
	// due is when the next batch may be written; zero if no stream waits. last is when the
	// last write began.
	due, last time.Time
	busy      bool
	pause     time.Duration
}

// wait returns how long the goroutine of Run may wait for the next write.
func (s *streamSaver) wait(now time.Time) time.Duration {
	if s.busy || s.due.IsZero() {
		return viewInterval
	}
	return min(max(s.due.Sub(now), time.Millisecond), viewInterval)
}

// interval returns the time between two writes of a daemon.
func interval(daemons int) time.Duration {
	return max(minInterval, time.Duration(daemons)*time.Second/allWrites)
}

// saveStreams writes a batch if one is due.
func (c *controller) saveStreams(ctx context.Context, now time.Time) {
	s := &c.streams
	old := now.Add(-c.longest())
	writes, removals := c.memory.waiting(old)
	if s.busy || !c.builds.read || writes == 0 && removals < removalBatch {
		return
	}
	if s.due.IsZero() {
		s.due = now.Add(saveDelay)
		if next := s.last.Add(interval(len(c.fleet.View().Members))); next.After(s.due) {
			s.due = next
		}
	}
	if now.Before(s.due) {
		return
	}
	b := c.memory.take(maxBatch, old)
	s.busy, s.due, s.last = true, time.Time{}, now
	c.sweep.needed = true
	rows, remove := c.rowsOf(b)
	var again []mangotraffic.StreamID
	for _, w := range b.write {
		if w.again && !w.ambiguous {
			again = append(again, w.stream)
		}
	}
	c.call(ctx, func(ctx context.Context) (Stamp, error) {
		if len(again) > 0 {
			stored, _, stamp, err := c.store.FindStreams(ctx, again)
			if err != nil {
				return stamp, err
			}
			c.memory.contradict(keepAmbiguous(rows, stored))
		}
		return c.store.ReplaceStreams(ctx, rows, remove)
	}, func(now time.Time, err error) {
		s.busy = false
		if err != nil {
			c.memory.failed(b)
			s.pause = min(max(2*s.pause, minBackoff), maxBackoff)
			s.due = now.Add(s.pause)
			return
		}
		s.pause = 0
		c.memory.written(b, now)
		c.observer.StreamsSaved(len(rows), len(remove))
	})
}

// keepAmbiguous marks the rows that would replace one of another build or of several, and
// returns their streams.
func keepAmbiguous(rows, stored []StreamRow) []mangotraffic.StreamID {
	var streams []mangotraffic.StreamID
	for i := range rows {
		r := &rows[i]
		if slices.ContainsFunc(stored, func(s StreamRow) bool { return s.Stream == r.Stream && (s.Ambiguous || s.Build != r.Build) }) {
			r.Ambiguous = true
			streams = append(streams, r.Stream)
		}
	}
	return streams
}

// rowsOf returns the rows of a batch.
func (c *controller) rowsOf(b batch) (rows []StreamRow, remove []mangotraffic.StreamID) {
	written := make(map[mangotraffic.StreamID]bool)
	for _, w := range b.write {
		written[w.stream] = true
		rows = append(rows, StreamRow{Stream: w.stream, Build: w.build, Ambiguous: w.ambiguous, At: Clock(w.at.Sub(c.start))})
	}
	for _, r := range b.remove {
		if !written[r.stream] {
			written[r.stream] = true
			remove = append(remove, r.stream)
		}
	}
	return rows, remove
}

// sweeper removes the rows of daemons that were killed.
type sweeper struct {
	// needed is set if there may be rows, and found if this sweep has seen one.
	needed, found bool
	// due is when the next page is read, which begins after a key.
	due   time.Time
	after Key
	busy  bool
}

// sweepStreams reads a page of rows if that is due and this daemon maintains them, and
// removes those that are old.
func (c *controller) sweepStreams(ctx context.Context, now time.Time) {
	s := &c.sweep
	if s.due.IsZero() {
		s.due = now.Add(rand.N(sweepSpread))
	}
	if s.busy || !s.needed || !c.builds.read || now.Before(s.due) {
		return
	}
	if !c.fleet.View().MaintainsArchive() {
		s.due, s.after = now.Add(sweepSpread), ""
		return
	}
	s.busy = true
	longest := Clock(c.longest())
	var last Key
	var more, found bool
	c.call(ctx, func(ctx context.Context) (Stamp, error) {
		rows, next, stamp, err := c.store.Streams(ctx, s.after)
		if err != nil {
			return stamp, err
		}
		more, found = next, len(rows) > 0
		var old []StoredRow
		for _, r := range rows {
			if last = max(last, r.Key); stamp.Clock-r.At > longest {
				old = append(old, r)
			}
		}
		if len(old) == 0 {
			return stamp, nil
		}
		removed, err := c.store.RemoveStreams(ctx, old)
		if errors.Is(err, ErrConflict) {
			// The next sweep removes them.
			return stamp, nil
		}
		return removed, err
	}, func(now time.Time, err error) {
		s.busy = false
		if s.due = now.Add(sweepInterval); err != nil {
			return
		}
		s.found = s.found || found
		if s.after = last; !more {
			s.needed, s.found = s.found || c.saving(), false
			s.due, s.after = now.Add(sweepSpread), ""
		}
	})
}

// saving reports whether the streams of a service are saved.
func (c *controller) saving() bool {
	for _, mixed := range c.mixed {
		if mixed {
			return true
		}
	}
	return false
}
