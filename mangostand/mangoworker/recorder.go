package mangoworker

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// handleTTL is how long an engine keeps a prefilled KV cache.
const handleTTL = 500 * time.Millisecond

// Recorder records which requests servers ran. A mutex guards it because servers
// handle requests on many goroutines.
type Recorder struct {
	mu           sync.Mutex
	runCounts    map[string]int
	active       map[string]int
	handles      map[string]handle
	violations   []string
	lastArrivals map[string]time.Time
	arrivals     []Arrival
	notices      []Notice
	// hung and cut are the requests that a server did not answer or broke off.
	hung map[string]Arrival
	cut  map[string]bool
	// ended is when the last run of a request ended.
	ended map[string]time.Time
}

// Arrival is a request that reached a server.
type Arrival struct {
	Server, Request string
	// Daemon is the daemon to which the client sent the request.
	Daemon string
	At     time.Time
	// Born is the start of the server's incarnation.
	Born time.Time
	// Prefill is set for a prefill, and After is the last event of a stream that the
	// request continues, if any.
	Prefill bool
	After   string
	// Tenant is the workspace that the request named, and Key is set if a key reached the
	// server.
	Tenant string
	Key    bool
}

// Notice is a response in which a server announced that it leaves or asked for time.
type Notice struct {
	Server, Request, Daemon string
	At                      time.Time
	// Born is the start of the server's incarnation.
	Born time.Time
	// RetryAfter is zero for an announcement.
	RetryAfter time.Duration
}

type handle struct {
	request string
	expiry  time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		runCounts: make(map[string]int), active: make(map[string]int), handles: make(map[string]handle),
		lastArrivals: make(map[string]time.Time), hung: make(map[string]Arrival), cut: make(map[string]bool),
		ended: make(map[string]time.Time),
	}
}

// RunCounts returns how often each request ran.
func (r *Recorder) RunCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runCounts)
}

// Active returns the ids of the requests that are running.
func (r *Recorder) Active() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.active))
}

// Violations describes requests that no server should have received, and
// generations that continued from the KV cache of another request.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// WorkedUntil returns when the last run of a request ended, which is now if one is
// running, and zero if none has begun.
func (r *Recorder) WorkedUntil(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[id] > 0 {
		return time.Now()
	}
	return r.ended[id]
}

// LastArrival returns when the last request arrived at a server. It is zero if
// none has arrived.
func (r *Recorder) LastArrival(server string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastArrivals[server]
}

// Arrivals returns the requests that reached servers, in order.
func (r *Recorder) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// Notices returns the announcements and refusals of servers, in order.
func (r *Recorder) Notices() []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notices)
}

// Hung reports whether a server accepted a request and never answered it.
func (r *Recorder) Hung(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.hung[id]
	return ok
}

// HungSince reports whether a server did not answer a request of a daemon that
// reached it at a time or later.
func (r *Recorder) HungSince(daemon string, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.hung {
		if a.Daemon == daemon && !a.At.Before(t) {
			return true
		}
	}
	return false
}

// Cut reports whether a server broke off its response to a request.
func (r *Recorder) Cut(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[id]
}

func (r *Recorder) recordArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastArrivals[a.Server] = a.At
	r.arrivals = append(r.arrivals, a)
}

func (r *Recorder) recordNotice(n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices = append(r.notices, n)
}

func (r *Recorder) recordHang(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hung[a.Request] = a
}

func (r *Recorder) recordCut(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[id] = true
}

func (r *Recorder) beginRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runCounts[id]++
	r.active[id]++
}

func (r *Recorder) endRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[id]--; r.active[id] == 0 {
		delete(r.active, id)
		r.ended[id] = time.Now()
	}
}

func (r *Recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// addHandle stores the KV cache of a request and returns its handle.
func (r *Recorder) addHandle(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := fmt.Sprintf("h%d", len(r.handles))
	r.handles[h] = handle{request: id, expiry: time.Now().Add(handleTTL)}
	return h
}

// takeHandle consumes a KV cache for a request. It returns false if the handle is
// unknown, expired or already consumed. A KV cache of another request is recorded
// as a violation.
func (r *Recorder) takeHandle(name, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.handles[name]
	if !ok || time.Now().After(h.expiry) {
		return false
	}
	h.expiry = time.Time{}
	if h.request != id {
		r.violations = append(r.violations, fmt.Sprintf("%s continues from the KV cache of %s", id, h.request))
	}
	r.handles[name] = h
	return true
}
