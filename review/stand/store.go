package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's table service.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's table service: linearizable, loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now()}
}

// apply writes rows in one transaction. A row without a value is removed.
func (s *store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		k := rowKey{r.Table, r.Part, r.Key}
		if r.Deleted {
			delete(s.rows, k)
		} else {
			s.rows[k] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of the operator or of a server.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}})
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

type page struct {
	Rows    []row  `json:"rows,omitempty"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now-ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, p page) {
	p.Now = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "/api/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/api/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, from, to, limit string) {
	most, err := strconv.Atoi(limit)
	if err != nil || most < 1 || most > 500 {
		most = 500
	}
	s.mu.Lock()
	var list []row
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			list = append(list, r)
		}
	}
	p := page{Version: s.version}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	if len(list) > most {
		list, p.More = list[:most], true
	}
	p.Rows = list
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, changed := page{Version: s.version}, s.changed
		for _, x := range s.history {
			if x.Table == table && x.Version > after {
				p.Rows = append(p.Rows, x)
			}
		}
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition, Writes, Remove []row
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	ok := true
	for _, c := range t.Precondition {
		x := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if x.Version != 0 {
			current = append(current, x)
		}
		ok = ok && x.Version == c.Version
	}
	if !ok {
		p := page{Version: s.version, Rows: current}
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, p)
		return
	}
	list := t.Writes
	for _, x := range t.Remove {
		x.Deleted = true
		list = append(list, x)
	}
	s.apply(list)
	p := page{Version: s.version}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, p)
}
