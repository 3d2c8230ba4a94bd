package mangoorigin

import (
	"context"
	"sync"

	"mangolane/core/mangotraffic"
)

// flights shares the reads of rows by calls that resume the same stream.
type flights struct {
	mu     sync.Mutex
	active map[mangotraffic.StreamID]*flight
}

// flight is a read in progress. The result is set when done is closed.
type flight struct {
	done chan struct{}
	row  StreamRow
	err  error
}

// do returns the result of the read of a stream's row, which it begins if there is none. The
// read goes on if ctx ends before.
func (f *flights) do(ctx context.Context, id mangotraffic.StreamID, read func(mangotraffic.StreamID) (StreamRow, error)) (StreamRow, error) {
	x := f.join(id, read)
	select {
	case <-x.done:
		return x.row, x.err
	case <-ctx.Done():
		return StreamRow{}, context.Cause(ctx)
	}
}

func (f *flights) join(id mangotraffic.StreamID, read func(mangotraffic.StreamID) (StreamRow, error)) *flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.active[id]; ok {
		return x
	}
	if f.active == nil {
		f.active = make(map[mangotraffic.StreamID]*flight)
	}
	x := &flight{done: make(chan struct{})}
	f.active[id] = x
	go func() {
		defer close(x.done)
		x.row, x.err = read(id)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.active, id)
	}()
	return x
}
