package mangoorigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangopanic"
	"mangolane/core/mangotraffic"
)

const (
	// maxReads is the number of reads of rows of streams a second by one daemon, of which as
	// many may follow each other at once: those of the streams of a server that breaks. All
	// daemons together make allReads. minReads is what each may make in the largest fleet.
	maxReads, minReads, allReads = 40, 4, 1200
	// rowWait bounds how long a row is awaited.
	rowWait = time.Second
)

// rowPauses are the pauses before an absent row is read again: the daemon at which the
// stream began may be about to write it.
var rowPauses = [...]time.Duration{100 * time.Millisecond, 600 * time.Millisecond}

// reader reads the rows of streams that clients resume. Calls for the same stream share its
// row, and the rows of streams that wait for the limit on reads are read together.
type reader struct {
	store    Store
	observer mangopanic.Observer
	limit    *rate.Limiter

	mu     sync.Mutex
	active map[mangotraffic.StreamID]*flight
	// waiting are the flights of the next read, and collecting is set while that waits for
	// the limit.
	waiting    []*flight
	collecting bool
}

// flight is a row that is awaited. Its result, that of the last read, is final once done is
// closed.
type flight struct {
	stream mangotraffic.StreamID
	done   chan struct{}
	// timer ends the flight after rowWait.
	timer *time.Timer
	// tries is how many reads have failed or did not find the row.
	tries int
	row   StreamRow
	err   error
}

func newReader(store Store, observer mangopanic.Observer) *reader {
	return &reader{
		store: store, observer: observer, limit: rate.NewLimiter(maxReads, maxReads), active: make(map[mangotraffic.StreamID]*flight),
	}
}

// setLimit sets the number of reads a second.
func (r *reader) setLimit(now time.Time, n int) {
	if n != r.limit.Burst() {
		r.limit.SetLimitAt(now, rate.Limit(n))
		r.limit.SetBurstAt(now, n)
	}
}

// read returns the row of a stream, for which it waits for at most rowWait. The read goes on
// if ctx ends before.
func (r *reader) read(ctx context.Context, stream mangotraffic.StreamID) (StreamRow, error) {
	x := r.join(stream)
	select {
	case <-x.done:
		return x.row, x.err
	case <-ctx.Done():
		return StreamRow{}, context.Cause(ctx)
	}
}

// join returns the flight of a stream, which it begins if there is none.
func (r *reader) join(stream mangotraffic.StreamID) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.active[stream]
	if !ok {
		x = &flight{stream: stream, done: make(chan struct{}), err: errReads}
		x.timer = time.AfterFunc(rowWait, func() { r.end(x) })
		r.active[stream] = x
		r.enqueue(x)
	}
	return x
}

// enqueue adds a flight to the next read.
func (r *reader) enqueue(x *flight) {
	r.waiting = append(r.waiting, x)
	if !r.collecting {
		r.collecting = true
		go r.collect()
	}
}

// collect waits for the limit and reads the rows of the flights that wait then. If no read
// may be made soon enough it ends them.
func (r *reader) collect() {
	ctx, cancel := context.WithTimeout(context.Background(), rowWait)
	defer cancel()
	err := r.limit.Wait(ctx)
	batch := r.take()
	if err != nil {
		for _, x := range batch {
			r.end(x)
		}
		return
	}
	if len(batch) > 0 {
		found, rest, err := r.find(batch)
		r.apply(batch, found, rest, err)
	}
}

// take returns the flights of the next read.
func (r *reader) take() []*flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := slices.DeleteFunc(r.waiting, func(x *flight) bool { return r.active[x.stream] != x })
	r.waiting, r.collecting = nil, false
	return batch
}

// find makes a read. A panic counts as a failure.
func (r *reader) find(batch []*flight) (found []StreamRow, rest []mangotraffic.StreamID, err error) {
	defer mangopanic.CatchError(r.observer, "read of the origins of streams", &err)
	ctx, cancel := context.WithTimeout(context.Background(), rowWait)
	defer cancel()
	streams := make([]mangotraffic.StreamID, len(batch))
	for i, x := range batch {
		streams[i] = x.stream
	}
	found, rest, _, err = r.store.FindStreams(ctx, streams)
	return found, rest, err
}

// apply applies the result of a read. Flights that it did not reach wait for the next one.
func (r *reader) apply(batch []*flight, found []StreamRow, rest []mangotraffic.StreamID, err error) {
	rows := make(map[mangotraffic.StreamID]StreamRow)
	for _, row := range found {
		rows[row.Stream] = row
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range batch {
		row, ok := rows[x.stream]
		switch {
		case r.active[x.stream] != x:
		case err != nil:
			x.err = err
			r.retry(x)
		case ok:
			x.row, x.err = row, nil
			r.finish(x)
		case slices.Contains(rest, x.stream):
			r.enqueue(x)
		default:
			x.err = errNoRow
			r.retry(x)
		}
	}
}

// retry adds a flight to a later read, or ends it.
func (r *reader) retry(x *flight) {
	if x.tries == len(rowPauses) {
		r.finish(x)
		return
	}
	time.AfterFunc(rowPauses[x.tries], func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.active[x.stream] == x {
			r.enqueue(x)
		}
	})
	x.tries++
}

// end ends a flight with the result of its last read.
func (r *reader) end(x *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finish(x)
}

func (r *reader) finish(x *flight) {
	if r.active[x.stream] == x {
		delete(r.active, x.stream)
		x.timer.Stop()
		close(x.done)
	}
}
