package mangoorigin

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// maxStreams bounds the streams that are remembered: those of two minutes at seven
	// times the target load of a daemon.
	maxStreams = 16384
	// maxRemovals bounds the rows that wait to be removed. The sweep removes the others.
	maxRemovals = 16384
)

// origin is what this daemon knows of a stream.
type origin struct {
	build     mangomodel.Build
	ambiguous bool
	// at is when the stream began or was last resumed here.
	at time.Time
	// queued is set while the stream waits to be saved, and saved is when its row was last
	// written or read; zero if it was not.
	queued bool
	saved  time.Time
}

// savedRow is a row that this daemon has written.
type savedRow struct {
	stream mangotraffic.StreamID
	at     time.Time
}

// memory holds the streams that began or were resumed at this daemon. The goroutines of
// calls share it with that of Run.
type memory struct {
	mu sync.Mutex
	// streams are ordered by when they began or were resumed.
	streams *simplelru.LRU[mangotraffic.StreamID, *origin]
	// mixed are the services whose streams are saved, and queue the streams to be saved as
	// they begin. Those of the backlog began before; the last ones are saved first, since
	// most earlier streams have ended.
	mixed          map[mangotraffic.ServiceName]bool
	queue, backlog []mangotraffic.StreamID
	// removals are the rows that this daemon has written, oldest first.
	removals []savedRow
	// served are the builds at which streams began since they were last taken.
	served map[served]bool
}

// served is a build that serves a service.
type served struct {
	service mangotraffic.ServiceName
	build   mangomodel.Build
}

func newMemory() *memory {
	m := &memory{mixed: make(map[mangotraffic.ServiceName]bool), served: make(map[served]bool)}
	// The size is positive, so that there is no error.
	m.streams, _ = simplelru.NewLRU[mangotraffic.StreamID, *origin](maxStreams, nil)
	return m
}

// begin records that the first event of a stream came from a build. It reports whether a
// stream waits to be saved that did not before.
func (m *memory) begin(id mangotraffic.StreamID, build mangomodel.Build, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.served[served{id.Service, build}] = true
	if id.Request == "" {
		return false
	}
	o, ok := m.streams.Get(id)
	if !ok {
		o = &origin{build: build}
		m.streams.Add(id, o)
	}
	o.at = now
	if o.build != build && !o.ambiguous {
		o.ambiguous, o.saved = true, time.Time{}
	}
	return m.enqueue(&m.queue, id, o)
}

// enqueue adds a stream to a queue if it has to be saved, and reports whether it has added it.
func (m *memory) enqueue(queue *[]mangotraffic.StreamID, id mangotraffic.StreamID, o *origin) bool {
	if o.queued || !o.saved.IsZero() || !m.mixed[id.Service] {
		return false
	}
	o.queued = true
	*queue = append(*queue, id)
	return true
}

// get returns what is known of a stream.
func (m *memory) get(id mangotraffic.StreamID, now time.Time) (origin, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.streams.Get(id)
	if !ok {
		return origin{}, false
	}
	o.at = now
	return *o, true
}

// learn records the origin of a stream that was resumed here. isSaved is set if it is that
// of a row.
func (m *memory) learn(id mangotraffic.StreamID, build mangomodel.Build, isSaved bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.streams.Get(id)
	if !ok {
		o = &origin{build: build}
		if isSaved {
			o.saved = now
		}
		m.streams.Add(id, o)
	}
	o.at = now
	if o.build != build && !o.ambiguous {
		o.ambiguous, o.saved = true, time.Time{}
	}
	return m.enqueue(&m.queue, id, o)
}

// setMixed sets whether the streams of a service are saved, and queues those that it
// remembers.
func (m *memory) setMixed(service mangotraffic.ServiceName, mixed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mixed[service] == mixed {
		return
	}
	m.mixed[service] = mixed
	if !mixed {
		return
	}
	for _, id := range m.streams.Keys() {
		if o, ok := m.streams.Peek(id); ok && id.Service == service {
			m.enqueue(&m.backlog, id, o)
		}
	}
}

// resave queues the streams that were saved after a time, of which the store may have lost
// the rows.
func (m *memory) resave(after time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.streams.Keys() {
		if o, ok := m.streams.Peek(id); ok && o.saved.After(after) {
			o.saved = time.Time{}
			m.enqueue(&m.backlog, id, o)
		}
	}
}

// takeServed returns the builds at which streams have begun since the last call.
func (m *memory) takeServed() map[served]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.served
	m.served = make(map[served]bool)
	return taken
}

// forget removes the streams that were last used before a time.
func (m *memory) forget(before time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		id, o, ok := m.streams.GetOldest()
		if !ok || !o.at.Before(before) {
			return
		}
		m.streams.Remove(id)
	}
}

// waiting returns the number of streams that wait to be saved, and how many rows of up to a
// batch were written before a time and can be removed.
func (m *memory) waiting(before time.Time) (writes, removals int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.removals {
		if !r.at.Before(before) || removals == maxBatch {
			break
		}
		removals++
	}
	return len(m.queue) + len(m.backlog), removals
}

// batch is what a write to the store changes.
type batch struct {
	write  []write
	remove []savedRow
}

// write is a stream as it is saved.
type write struct {
	stream mangotraffic.StreamID
	origin
}

// next removes the stream that is saved next.
func (m *memory) next() mangotraffic.StreamID {
	if len(m.queue) > 0 {
		id := m.queue[0]
		m.queue = m.queue[1:]
		return id
	}
	last := len(m.backlog) - 1
	id := m.backlog[last]
	m.backlog = m.backlog[:last]
	return id
}

// take returns up to n streams and rows for a write. Rows are removed that were written
// before a time.
func (m *memory) take(n int, before time.Time) batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b batch
	for len(m.queue)+len(m.backlog) > 0 && len(b.write) < n {
		id := m.next()
		if o, ok := m.streams.Peek(id); ok && o.queued {
			o.queued = false
			b.write = append(b.write, write{id, *o})
		}
	}
	for len(m.removals) > 0 && m.removals[0].at.Before(before) && len(b.write)+len(b.remove) < n {
		b.remove = append(b.remove, m.removals[0])
		m.removals = m.removals[1:]
	}
	return b
}

// written records that a batch was written at a time.
func (m *memory) written(b batch, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range b.write {
		m.removals = append(m.removals, savedRow{w.stream, now})
		if o, ok := m.streams.Peek(w.stream); ok && !o.queued && o.ambiguous == w.ambiguous {
			o.saved = now
		}
	}
	if excess := len(m.removals) - maxRemovals; excess > 0 {
		m.removals = m.removals[excess:]
	}
}

// failed queues a batch again that may not have been written.
func (m *memory) failed(b batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range b.write {
		if o, ok := m.streams.Peek(w.stream); ok {
			m.enqueue(&m.queue, w.stream, o)
		}
	}
	m.removals = append(b.remove, m.removals...)
}
