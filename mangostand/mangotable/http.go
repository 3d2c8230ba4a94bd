package mangotable

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	pathRead  = "/api/rows-get"
	pathFeed  = "/api/rows-feed"
	pathWrite = "/api/rows-tx"
	// pathStand is not part of the platform's protocol. It writes rows of any
	// table.
	pathStand = "/stand/rows"
	// pathCopy takes a copy of the store, and pathRestore makes it continue from the last
	// one. Neither is part of the platform's protocol.
	pathCopy    = "/stand/copy"
	pathRestore = "/stand/restore"
	// headerEra is in all responses.
	headerEra = "Store-Era"
	// pageRows is the maximum number of rows of the response to a read. A feed
	// returns all changes at once.
	pageRows = 500
	// maxBody is the size limit of a request body, in bytes.
	maxBody = 1 << 20
)

// page is the body of a response.
type page struct {
	Rows    []Row  `json:"rows"`
	Version uint64 `json:"ver"`
	More    bool   `json:"has-more"`
	// Now is the store's monotonic clock in ms.
	Now int64 `json:"now-ms"`
}

// transaction is the body of a write.
type transaction struct {
	Precondition []Row `json:"precondition"`
	Writes       []Row `json:"writes"`
	Remove       []Row `json:"remove"`
}

// ServeHTTP serves one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathStand:
		s.serveStand(w, r)
		return
	case pathCopy, pathRestore:
		s.serveDrill(w, r)
		return
	}
	setEra(w, s.currentStamp())
	switch s.currentOutage() {
	case OutageBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case OutageSilent:
		// The context ends with the connection only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case pathRead:
		s.serveRead(w, r)
	case pathFeed:
		s.serveFeed(w, r)
	case pathWrite:
		s.serveWrite(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveStand writes or deletes a row in place of the operator or a server.
func (s *Store) serveStand(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.Method == http.MethodDelete {
		s.Remove(q.Get("table"), q.Get("key"))
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil || !json.Valid(value) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.change([]Row{{Table: q.Get("table"), Key: q.Get("key"), Value: value}})
}

// serveDrill takes a copy of the store, or makes it continue from the last one. It then
// rejects all requests for the time that the parameter away says.
func (s *Store) serveDrill(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if r.URL.Path == pathCopy {
		c := s.Copy()
		s.lastCopy.Store(&c)
		return
	}
	away, err := time.ParseDuration(cmp.Or(r.URL.Query().Get("away"), "0s"))
	last := s.lastCopy.Load()
	if err != nil || last == nil {
		http.Error(w, "no copy was taken, or away is no duration", http.StatusBadRequest)
		return
	}
	s.SetOutage(OutageBusy)
	s.Restore(*last)
	time.AfterFunc(away, func() { s.SetOutage(OutageNone) })
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(max(n, 1), pageRows)
	}
	rows, at, more := s.read(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	s.respond(w, http.StatusOK, at, page{Rows: rows, More: more})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A missing or malformed wait-ms means no wait.
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rows, at, changed, ok := s.changes(q.Get("table"), after)
		if !ok {
			setEra(w, at)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, at, page{Rows: rows})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.respond(w, http.StatusOK, at, page{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := t.Writes
	for _, r := range t.Remove {
		r.Deleted = true
		rows = append(rows, r)
	}
	for _, r := range rows {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current, at, ok := s.transact(t.Precondition, rows)
	if s.currentOutage() == OutageLost {
		<-r.Context().Done()
		return
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.respond(w, status, at, page{Rows: current})
}

// respond sends a page as of some version.
func (s *Store) respond(w http.ResponseWriter, status int, at stamp, p page) {
	time.Sleep(s.currentLatency())
	p.Version = at.version
	p.Now = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	setEra(w, at)
	w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}

func setEra(w http.ResponseWriter, at stamp) {
	w.Header().Set(headerEra, strconv.FormatUint(at.era, 10))
}
