package mangotable

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// stamp is the version of a store, and how often the store has continued from an older
// copy, from 1 on.
type stamp struct{ version, era uint64 }

// Store is an emulated store. A mutex guards it because its HTTP server calls it
// from many goroutines.
type Store struct {
	started time.Time
	// lastCopy is the copy that was taken over HTTP.
	lastCopy atomic.Pointer[Copy]

	mu      sync.Mutex
	rows    map[rowID]Row
	history []Row
	// oldest is the version before the first change in the history.
	oldest  uint64
	now     stamp
	outage  Outage
	latency time.Duration
	// changed is closed at the next change.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{started: time.Now(), now: stamp{era: 1}, rows: make(map[rowID]Row), changed: make(chan struct{})}
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
	s.history, s.oldest = nil, s.now.version
}

// Copy is the state of a store at some time.
type Copy struct {
	rows            map[rowID]Row
	history         []Row
	oldest, version uint64
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), oldest: s.oldest, version: s.now.version}
}

// Restore makes the store continue from a copy. What was written since is lost, and its
// versions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	s.oldest, s.now = c.oldest, stamp{c.version, s.now.era + 1}
	s.notify()
}

// notify wakes the feeds that wait.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
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
	s.now.version++
	for _, r := range rows {
		r.Version = s.now.version
		if r.Deleted {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	s.notify()
}

// transact applies a transaction if its preconditions hold. Otherwise it returns
// false and the current rows of the preconditions.
func (s *Store) transact(preconditions, rows []Row) ([]Row, stamp, bool) {
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
		return current, s.now, false
	}
	s.apply(rows)
	return nil, s.now, true
}

// read returns at most limit rows of a table with keys in [from, to), and whether
// there are more. An empty to sets no upper bound.
func (s *Store) read(table, part, from, to string, limit int) ([]Row, stamp, bool) {
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
	return list[:min(len(list), limit)], s.now, more
}

// changes returns the changes of a table after a version, and a channel that is
// closed at the next change. It returns false if the history does not reach back
// to that version, or there is no such version.
func (s *Store) changes(table string, after uint64) ([]Row, stamp, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest || after > s.now.version {
		return nil, s.now, nil, false
	}
	var list []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			list = append(list, r)
		}
	}
	return list, s.now, s.changed, true
}

func (s *Store) currentStamp() stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *Store) currentOutage() Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}
