package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a sound stand-in of the platform's table service.
type store struct {
	addr  string
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
}

func startStore() *store {
	l := listen()
	s := &store{addr: l.Addr().String(), began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// host is a loopback address of this run, so that runs do not take each other's ports.
var host = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16%100, os.Getpid()>>8%256, 1+os.Getpid()%250)

func listen() net.Listener {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		cannot("listen: %v", err)
	}
	return l
}

func (s *store) put(table, key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		cannot("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// apply writes rows in one transaction. The caller holds the lock.
func (s *store) apply(list []row) {
	s.ver++
	for _, r := range list {
		r.Ver = s.ver
		if r.Deleted {
			r.Value = nil
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows []row  `json:"rows"`
	Ver  uint64 `json:"ver"`
	More bool   `json:"has-more"`
	Now  int64  `json:"now-ms"`
}

func (s *store) reply(w http.ResponseWriter, status int, p page) {
	time.Sleep(storeLatency)
	p.Now = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.mu.Lock()
		var list []row
		for k, x := range s.rows {
			if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
				list = append(list, x)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		s.reply(w, http.StatusOK, page{Rows: list, Ver: ver})
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var list []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				list = append(list, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			s.reply(w, http.StatusOK, page{Rows: list, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, page{Ver: ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Remove       []row `json:"remove"`
	}
	data, _ := io.ReadAll(r.Body)
	if json.Unmarshal(data, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i := range t.Remove {
		t.Remove[i].Deleted = true
	}
	list := append(t.Writes, t.Remove...)
	for _, x := range list {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	holds := true
	var current []row
	for _, c := range t.Precondition {
		x, ok := s.rows[c.id()]
		holds = holds && x.Ver == c.Ver
		if ok {
			current = append(current, x)
		}
	}
	if holds {
		s.apply(list)
		current = nil
	}
	ver := s.ver
	s.mu.Unlock()
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, page{Rows: current, Ver: ver})
		return
	}
	s.reply(w, http.StatusOK, page{Ver: ver})
}
