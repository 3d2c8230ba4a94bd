package mangoorigin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// table is a store whose responses take some time.
type table struct {
	mu      sync.Mutex
	builds  map[mangotraffic.ServiceName]BuildRow
	streams map[Key]StoredRow
	version Version
	era     mangotraffic.Era
	began   time.Time
	down    bool
	// late is how much longer calls about streams take.
	late time.Duration
	// delayed is set while answers are those of the era before.
	delayed bool
	// interfere is called once before the next write of a history.
	interfere func()
	// loseAnswers is how many of the next writes of streams are made without an answer.
	loseAnswers int
	// largest is the largest write of streams.
	largest int
	// buildTries counts the writes that met a conflict too.
	buildReads, buildTries, buildWrites, streamReads, sweepReads, streamWrites int
}

func newTable() *table {
	return &table{
		builds: make(map[mangotraffic.ServiceName]BuildRow), streams: make(map[Key]StoredRow), began: time.Now().Add(-time.Hour), era: 1,
	}
}

// call begins a call. The returned function ends it.
func (t *table) call(count *int) (Stamp, func(), error) {
	time.Sleep(latency)
	t.mu.Lock()
	*count++
	stamp := Stamp{Clock: Clock(time.Since(t.began)), Era: t.era}
	if t.down {
		return Stamp{}, t.mu.Unlock, errDown
	}
	if t.delayed {
		stamp.Era--
	}
	return stamp, t.mu.Unlock, nil
}

func (t *table) delay() {
	t.mu.Lock()
	late := t.late
	t.mu.Unlock()
	time.Sleep(late)
}

func (t *table) Builds(context.Context) ([]BuildRow, Stamp, error) {
	stamp, end, err := t.call(&t.buildReads)
	defer end()
	return slices.Collect(maps.Values(t.builds)), stamp, err
}

func (t *table) ReplaceBuilds(_ context.Context, row BuildRow) (Stamp, error) {
	stamp, end, err := t.call(&t.buildTries)
	defer end()
	if err != nil {
		return stamp, err
	}
	if f := t.interfere; f != nil {
		t.interfere = nil
		f()
	}
	if t.builds[row.Service].Version != row.Version {
		return stamp, ErrConflict
	}
	t.buildWrites++
	t.version++
	row.Version = t.version
	t.builds[row.Service] = row
	return stamp, nil
}

// streamOf returns the name of a stream with a number.
func streamOf(i int) mangotraffic.StreamID {
	return mangotraffic.StreamID{Service: llm, Request: mangomodel.RequestID(fmt.Sprint(i))}
}

func keyOf(id mangotraffic.StreamID) Key { return Key(fmt.Sprintf("%s/%s", id.Service, id.Request)) }

func (t *table) FindStreams(_ context.Context, ids []mangotraffic.StreamID) ([]StreamRow, []mangotraffic.StreamID, Stamp, error) {
	t.delay()
	stamp, end, err := t.call(&t.streamReads)
	defer end()
	if err != nil {
		return nil, nil, stamp, err
	}
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b mangotraffic.StreamID) int { return strings.Compare(string(keyOf(a)), string(keyOf(b))) })
	var keys []Key
	for key := range t.streams {
		if key >= keyOf(ids[0]) && key <= keyOf(ids[len(ids)-1]) {
			keys = append(keys, key)
		}
	}
	reached := len(ids)
	if slices.Sort(keys); len(keys) > tablePage {
		reached = slices.IndexFunc(ids, func(id mangotraffic.StreamID) bool { return keyOf(id) >= keys[tablePage] })
	}
	var found []StreamRow
	for _, id := range ids[:reached] {
		if row, ok := t.streams[keyOf(id)]; ok {
			found = append(found, row.StreamRow)
		}
	}
	return found, ids[reached:], stamp, nil
}

func (t *table) ReplaceStreams(_ context.Context, write []StreamRow, remove []mangotraffic.StreamID) (Stamp, error) {
	t.delay()
	stamp, end, err := t.call(&t.streamWrites)
	defer end()
	t.largest = max(t.largest, len(write)+len(remove))
	if err != nil {
		return stamp, err
	}
	t.version++
	for _, row := range write {
		key := keyOf(row.Stream)
		t.streams[key] = StoredRow{StreamRow: row, Key: key, Version: t.version}
	}
	for _, id := range remove {
		delete(t.streams, keyOf(id))
	}
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return Stamp{}, errDown
	}
	return stamp, nil
}

func (t *table) Streams(_ context.Context, after Key) ([]StoredRow, bool, Stamp, error) {
	stamp, end, err := t.call(&t.sweepReads)
	defer end()
	rows := slices.DeleteFunc(slices.Collect(maps.Values(t.streams)), func(r StoredRow) bool { return r.Key <= after })
	slices.SortFunc(rows, func(a, b StoredRow) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return rows[:min(len(rows), SweepRows)], len(rows) > SweepRows, stamp, err
}

func (t *table) RemoveStreams(_ context.Context, rows []StoredRow) (Stamp, error) {
	stamp, end, err := t.call(&t.streamWrites)
	defer end()
	if err != nil {
		return stamp, err
	}
	for _, r := range rows {
		if t.streams[r.Key].Version != r.Version {
			return stamp, ErrConflict
		}
	}
	t.version++
	for _, r := range rows {
		delete(t.streams, r.Key)
	}
	return stamp, nil
}

// change changes the table.
func (t *table) change(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// copy returns a function that makes the table continue from its present state.
func (t *table) copy() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	builds, streams, version := maps.Clone(t.builds), maps.Clone(t.streams), t.version
	return func() {
		t.change(func() {
			t.builds, t.streams, t.version = maps.Clone(builds), maps.Clone(streams), version
			t.era++
		})
	}
}

// count returns a counter of the table.
func (t *table) count(n *int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *n
}

// saved returns the builds in the row of the service.
func (t *table) saved() []mangomodel.Build {
	t.mu.Lock()
	defer t.mu.Unlock()
	var builds []mangomodel.Build
	for _, p := range t.builds[llm].Builds {
		builds = append(builds, p.Build)
	}
	return builds
}

// size returns the number of rows of streams.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}
