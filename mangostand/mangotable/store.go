package mangotable

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"mangolane/core/mangomodel"
)

// Row is a row in the protocol's JSON.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

func (r *Row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// Outage is a failure mode of a store. It affects neither /stand/rows nor a feed
// request that is already waiting.
type Outage int

const (
	// OutageNone serves all requests.
	OutageNone Outage = iota
	// OutageBusy rejects all requests with status 503.
	OutageBusy
	// OutageSilent sends no response to any request.
	OutageSilent
	// OutageLost applies writes but sends no response to them. Reads and feeds work.
	OutageLost
)

// Store is an emulated store. A mutex guards it because its HTTP server calls it
// from many goroutines.
type Store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]Row
	history []Row
	// oldest is the version before the first change in the history.
	oldest, version uint64
	outage          Outage
	latency         time.Duration
	// changed is closed at the next change.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{started: time.Now(), rows: make(map[rowID]Row), changed: make(chan struct{})}
}

// Put writes a row whose value is v as JSON.
func (s *Store) Put(table, key string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	s.change([]Row{{Table: table, Key: key, Value: value}})
	return nil
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.change([]Row{{Table: table, Key: key, Deleted: true}})
}

// Compact discards the history, so that feeds from older versions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// SetOutage sets the failure mode.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// SetLatency sets how much later all responses are sent.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

func (s *Store) currentLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

func (s *Store) change(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows)
}

// apply writes rows in one transaction.
func (s *Store) apply(rows []Row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Deleted {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// transact applies a transaction if its preconditions hold. Otherwise it returns
// false and the current rows of the preconditions.
func (s *Store) transact(preconditions, rows []Row) ([]Row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []Row
	for _, c := range preconditions {
		r := s.rows[c.id()]
		holds = holds && r.Version == c.Version
		if r.Version > 0 {
			current = append(current, r)
		}
	}
	if !holds {
		return current, s.version, false
	}
	s.apply(rows)
	return nil, s.version, true
}

// read returns at most limit rows of a table with keys in [from, to), and whether
// there are more. An empty to sets no upper bound.
func (s *Store) read(table, part, from, to string, limit int) ([]Row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Row
	for n, r := range s.rows {
		if n.table == table && n.part == part && n.key >= from && (to == "" || n.key < to) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > limit
	return list[:min(len(list), limit)], s.version, more
}

// changes returns the changes of a table after a version, and a channel that is
// closed at the next change. It returns false if the history does not reach back
// to that version.
func (s *Store) changes(table string, after uint64) ([]Row, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, 0, nil, false
	}
	var list []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			list = append(list, r)
		}
	}
	return list, s.version, s.changed, true
}

func (s *Store) currentOutage() Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}
