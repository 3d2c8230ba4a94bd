package mangotable

import (
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
	// pathStand is no call of the platform: it writes rows of all tables.
	pathStand = "/stand/rows"
	// pageRows is the most rows of one answer.
	pageRows = 500
	// maxBody bounds a call.
	maxBody = 1 << 20
)

// page is an answer about rows.
type page struct {
	Rows    []Row  `json:"rows"`
	Version uint64 `json:"ver"`
	More    bool   `json:"has-more"`
	// Now is the store's steady clock in ms.
	Now int64 `json:"now-ms"`
}

// transaction is the body of a write.
type transaction struct {
	Precondition []Row `json:"precondition"`
	Writes       []Row `json:"writes"`
	Remove       []Row `json:"remove"`
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathStand {
		s.stand(w, r)
		return
	}
	switch s.failing() {
	case OutageBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case OutageSilent:
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

// stand writes a row for the operator or a server.
func (s *Store) stand(w http.ResponseWriter, r *http.Request) {
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

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(max(n, 1), pageRows)
	}
	rows, version, more := s.read(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	s.answer(w, http.StatusOK, page{Rows: rows, Version: version, More: more})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A missing wait is none.
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rows, version, changed, ok := s.changes(q.Get("table"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, page{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, page{Version: version})
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
	current, version, ok := s.transact(t.Precondition, rows)
	if s.failing() == OutageLost {
		<-r.Context().Done()
		return
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, page{Rows: current, Version: version})
}

func (s *Store) answer(w http.ResponseWriter, status int, p page) {
	p.Now = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(p)
}
