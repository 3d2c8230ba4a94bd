package mangoworker

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// handleLife is how long a prefilled KV cache is kept.
const handleLife = 500 * time.Millisecond

// Recorder records what servers ran. A lock guards it, since they serve on many
// goroutines.
type Recorder struct {
	mu      sync.Mutex
	runs    map[string]int
	active  map[string]int
	handles map[string]handle
	faults  []string
	arrived map[string]time.Time
}

type handle struct {
	request string
	until   time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		runs: make(map[string]int), active: make(map[string]int), handles: make(map[string]handle),
		arrived: make(map[string]time.Time),
	}
}

// RunCounts returns how often each request ran.
func (l *Recorder) RunCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Active returns the requests that are running.
func (l *Recorder) Active() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.active))
}

// Violations returns what no server should have seen.
func (l *Recorder) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.faults)
}

// LastArrival returns when a request last arrived at a server.
func (l *Recorder) LastArrival(server string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrived[server]
}

func (l *Recorder) arrive(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[server] = time.Now()
}

func (l *Recorder) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.active[id]++
}

func (l *Recorder) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[id]--; l.active[id] == 0 {
		delete(l.active, id)
	}
}

func (l *Recorder) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// prefilled keeps a KV cache and returns its handle.
func (l *Recorder) prefilled(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := fmt.Sprintf("h%d", len(l.handles))
	l.handles[h] = handle{request: id, until: time.Now().Add(handleLife)}
	return h
}

// fetch takes a KV cache for a request.
func (l *Recorder) fetch(name, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.handles[name]
	if !ok || time.Now().After(h.until) {
		return false
	}
	h.until = time.Time{}
	if h.request != id {
		l.faults = append(l.faults, fmt.Sprintf("%s goes on from the KV cache of %s", id, h.request))
	}
	l.handles[name] = h
	return true
}
