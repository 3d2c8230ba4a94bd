package mangoworker

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangolane/core/mangomodel"
)

// stepTime is the duration of a prefill and of a plain call, and the usual time
// between two events of a stream.
const stepTime = 20 * time.Millisecond

// fetchTimeout bounds the transfer of a KV cache.
const fetchTimeout = 2 * time.Second

// Paths and header fields of the protocol.
const (
	pathReport = "/api/report"
	pathOrder  = "/api/order"
	// pathHandles is not part of the platform's protocol. Stand-ins fetch a KV
	// cache from each other with it.
	pathHandles = "/stand/handles/"
	// pathArrivals returns the latest requests that reached the server as JSON, for tests
	// by hand.
	pathArrivals     = "/stand/arrivals"
	fieldID          = "Request-Id"
	fieldInstance    = "Expect-Instance"
	fieldStage       = "Serving-Stage"
	fieldSource      = "Cache-Source"
	fieldHold        = "Hold"
	fieldAfter       = "Last-Event-Id"
	fieldNotExecuted = "Not-Executed"
	fieldSignature   = "Server-Signature"
	fieldLeaving     = "Server-Leaving"
	fieldRetryAfter  = "Retry-After"
	// fieldTenant names the workspace of a call. fieldKey would carry its key, which must
	// not reach a server if the configuration has workspaces.
	fieldTenant  = "Tenant"
	fieldKey     = "Authorization"
	stagePrefill = "prefill"
	// FieldForged marks requests of test clients that carry a forged Hold field.
	// That field must not reach a server.
	FieldForged = "Forged"
	// FieldDaemon names the daemon to which a test client sent a request.
	FieldDaemon = "Test-Daemon"
)

// Profile describes a server.
type Profile struct {
	ID, Service string
	// Stage is empty for plain services.
	Stage string
	Zone  string
	Slots int
	// Build is the build of the first start. Empty means [DefaultBuild].
	Build mangomodel.Build
}

// DefaultBuild is the build of servers whose profile names none.
const DefaultBuild mangomodel.Build = "v1"

// Worker is an emulated backend server.
type Worker struct {
	Profile
	recorder *Recorder
	conduct  conduct
	silence  silence
	deafness silence

	mu sync.Mutex
	// address is set by the first start, so that a crashed server can restart at
	// the same address.
	address string
	running int
	server  *http.Server
	// crashed, born and build belong to the last start.
	crashed *atomic.Bool
	born    time.Time
	build   mangomodel.Build
	// next is the build of the next start.
	next mangomodel.Build
}

// New returns a server that has not started.
func New(p Profile, r *Recorder) *Worker {
	return &Worker{Profile: p, recorder: r, next: cmp.Or(p.Build, DefaultBuild)}
}

// Start listens on an address. If it is empty, the server listens on the address
// of the previous start.
func (w *Worker) Start(address string) error {
	if address == "" {
		address = w.Address()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	crashed := new(atomic.Bool)
	server := &http.Server{Handler: w, ConnContext: withConn}
	w.resetConduct()
	w.mu.Lock()
	w.address, w.server, w.crashed, w.born, w.build = l.Addr().String(), server, crashed, time.Now(), w.next
	w.mu.Unlock()
	// Serve returns when Crash closes the server.
	go func() {
		_ = server.Serve(&listener{Listener: l, silence: &w.silence, deafness: &w.deafness, crashed: crashed})
	}()
	return nil
}

// Address returns the address on which the server listens.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// SetBuild sets the build of the next starts.
func (w *Worker) SetBuild(b mangomodel.Build) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = b
}

// RunningBuild returns the build of the last start.
func (w *Worker) RunningBuild() mangomodel.Build {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.build
}

// Running returns the number of requests that the server runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// Crash closes the server and resets all its connections.
func (w *Worker) Crash() { w.end(true) }

// Exit closes the server and all its connections, as the operating system does for a
// process that ends. Responses without a length then end as if they were complete.
func (w *Worker) Exit() { w.end(false) }

func (w *Worker) end(reset bool) {
	w.mu.Lock()
	server, crashed := w.server, w.crashed
	w.mu.Unlock()
	crashed.Store(reset)
	// The connections are closed even if Close returns an error.
	_ = server.Close()
}

// entry is the JSON value of a server's row.
type entry struct {
	Service string           `json:"service"`
	Address string           `json:"address"`
	Zone    string           `json:"zone"`
	Version mangomodel.Build `json:"version"`
	Slots   int              `json:"slots"`
	State   string           `json:"state"`
	Stage   string           `json:"stage,omitempty"`
	// Born is when the server was last started, in Unix milliseconds.
	Born int64 `json:"born"`
	// Sequence counts the heartbeats.
	Sequence int `json:"sequence"`
}

// Entry returns the value of the server's row, with its state and the address at
// which callers reach it.
func (w *Worker) Entry(state, address string) any {
	return entry{
		Service: w.Service, Address: address, Zone: w.Zone, Version: w.RunningBuild(), Slots: w.Slots, State: state, Stage: w.Stage,
		Born: w.startTime().UnixMilli(),
	}
}

func (w *Worker) startTime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born
}

// ServeHTTP serves one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.isLeaving() {
		rw.Header().Set(fieldLeaving, "1")
	}
	if r.URL.Path == pathReport {
		w.report(rw)
		return
	}
	if expected := r.Header.Get(fieldInstance); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == pathOrder {
		// The server does not change its stage.
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if name, ok := strings.CutPrefix(r.URL.Path, pathHandles); ok {
		if !w.recorder.takeHandle(name, r.URL.Query().Get("request")) {
			rw.WriteHeader(http.StatusNotFound)
		}
		return
	}
	if r.URL.Path == pathArrivals {
		w.showArrivals(rw)
		return
	}
	if r.Method == http.MethodDelete {
		return
	}
	id := r.Header.Get(fieldID)
	w.recorder.recordArrival(Arrival{
		Server: w.ID, Request: id, Daemon: r.Header.Get(FieldDaemon), At: time.Now(), Born: w.startTime(),
		Prefill: r.Header.Get(fieldStage) == stagePrefill, After: r.Header.Get(fieldAfter),
		Tenant: strings.Join(r.Header.Values(fieldTenant), ","), Key: r.Header.Get(fieldKey) != "",
	})
	if r.Header.Get(FieldForged) != "" && r.Header.Get(fieldHold) != "" {
		w.recorder.addViolation("%s arrived with a forged field", id)
	}
	rw.Header().Set(fieldID, id)
	if left := w.refusalLeft(); left > 0 {
		w.recorder.recordNotice(Notice{Server: w.ID, Request: id, Daemon: r.Header.Get(FieldDaemon), At: time.Now(), Born: w.startTime(), RetryAfter: left})
		refuseForTime(rw, left)
		return
	}
	if rw.Header().Get(fieldLeaving) != "" {
		w.recorder.recordNotice(Notice{Server: w.ID, Request: id, Daemon: r.Header.Get(FieldDaemon), At: time.Now(), Born: w.startTime()})
	}
	faults := w.currentFaults()
	if faults.Unframed {
		// net/http then sends neither a length nor chunks.
		rw.Header().Set("Transfer-Encoding", "identity")
	}
	if r.Header.Get(fieldStage) == stagePrefill {
		w.prefill(rw, r, id, faults)
		return
	}
	w.run(rw, r, id, faults)
}

// showArrivals writes the latest requests that reached the server.
func (w *Worker) showArrivals(rw http.ResponseWriter) {
	const latest = 20
	list := w.recorder.Arrivals()
	list = slices.DeleteFunc(list, func(a Arrival) bool { return a.Server != w.ID })
	// The write fails only if the caller has disconnected.
	_ = json.NewEncoder(rw).Encode(list[max(len(list)-latest, 0):])
}

func (w *Worker) prefill(rw http.ResponseWriter, r *http.Request, id string, faults Faults) {
	if faults.Hang.includes(w.ID, id, "hang") {
		w.hang(r, id)
	}
	if !pause(r.Context(), stepTime) {
		return
	}
	// The write fails only if the caller has disconnected.
	_, _ = fmt.Fprintf(rw, `{"handle":%q,"tokens":1,"version":1}`, w.recorder.addHandle(id))
}

// pause waits for d. It returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// reportDocument is the JSON of an engine's load report.
type reportDocument struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	KVUsed  int64 `json:"kv-used"`
	Born    int64 `json:"born"`
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	d := reportDocument{Running: w.running, Born: w.born.UnixMilli()}
	w.mu.Unlock()
	// The write fails only if the caller has disconnected.
	_ = json.NewEncoder(rw).Encode(d)
}

func (w *Worker) run(rw http.ResponseWriter, r *http.Request, id string, faults Faults) {
	if !w.acquireSlot() {
		refuse(rw)
		return
	}
	defer w.releaseSlot()
	if source := r.Header.Get(fieldSource); source != "" && !fetch(r.Context(), source, id) {
		refuse(rw)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.recorder.beginRun(id)
	defer w.recorder.endRun(id)
	if faults.Hang.includes(w.ID, id, "hang") {
		w.hang(r, id)
	}
	if faults.Deadly != "" && r.URL.Path == faults.Deadly {
		w.Crash()
		return
	}
	rw.Header().Set(fieldSignature, "s."+w.ID)
	if w.Stage == "" {
		time.Sleep(stepTime)
		// The write fails only if the caller has disconnected.
		_, _ = fmt.Fprint(rw, ExpectedBody(id, body))
		return
	}
	w.stream(rw, r, id, faults)
}

// fetch fetches a KV cache from the server that computed it. source is
// "address/handle".
func fetch(ctx context.Context, source, id string) bool {
	address, name, _ := strings.Cut(source, "/")
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := "http://" + address + pathHandles + url.PathEscape(name) + "?" + url.Values{"request": {id}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	// Only the status counts.
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *Worker) acquireSlot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.Slots {
		return false
	}
	w.running++
	return true
}

func (w *Worker) releaseSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func refuse(rw http.ResponseWriter) {
	rw.Header().Set(fieldNotExecuted, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// stream sends the events of a request after the one that the caller has received
// last. A cut ends it after half of them.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, id string, faults Faults) {
	rw.Header().Set("Content-Type", "text/event-stream")
	// Without a valid field, the stream begins with its first event.
	after, _ := strconv.Atoi(r.Header.Get(fieldAfter))
	pace, build := paceOf(r.Header, id), w.RunningBuild()
	last := pace.Events
	middle := after + (last-after)/2
	for n := after + 1; n <= last; n++ {
		if !pause(r.Context(), pace.Gap) {
			return
		}
		text := Event{Number: n, Request: id, Build: build}.String()
		within := n == middle && faults.CutWithin.includes(w.ID, id, "within")
		if within {
			text = text[:len(text)/2]
		}
		if _, err := fmt.Fprint(rw, text); err != nil {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		if within || n == middle && faults.CutBetween.includes(w.ID, id, "between") {
			w.recorder.recordCut(id)
			reset(r)
		}
	}
}
