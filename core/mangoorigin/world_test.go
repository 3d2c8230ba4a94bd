package mangoorigin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangobuilds"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	llm     mangotraffic.ServiceName = "llm"
	latency                          = 5 * time.Millisecond
	window                           = defaultTimeout + margin
)

var errDown = errors.New("down")

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

func keyOf(id mangotraffic.StreamID) Key { return Key(fmt.Sprintf("%s/%s", id.Service, id.Request)) }

func (t *table) Stream(_ context.Context, id mangotraffic.StreamID) (StreamRow, bool, Stamp, error) {
	t.delay()
	stamp, end, err := t.call(&t.streamReads)
	defer end()
	row, ok := t.streams[keyOf(id)]
	return row.StreamRow, ok && err == nil, stamp, err
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

// link is the way of a daemon to the table.
type link struct {
	*table
	d *daemon
}

func (l link) Builds(ctx context.Context) ([]BuildRow, Stamp, error) {
	if l.d.cut.Load() {
		return nil, Stamp{}, errDown
	}
	return l.table.Builds(ctx)
}

func (l link) ReplaceBuilds(ctx context.Context, row BuildRow) (Stamp, error) {
	if l.d.cut.Load() {
		return Stamp{}, errDown
	}
	return l.table.ReplaceBuilds(ctx, row)
}

func (l link) Stream(ctx context.Context, id mangotraffic.StreamID) (StreamRow, bool, Stamp, error) {
	if l.d.cut.Load() {
		return StreamRow{}, false, Stamp{}, errDown
	}
	return l.table.Stream(ctx, id)
}

func (l link) ReplaceStreams(ctx context.Context, write []StreamRow, remove []mangotraffic.StreamID) (Stamp, error) {
	if l.d.cut.Load() {
		return Stamp{}, errDown
	}
	return l.table.ReplaceStreams(ctx, write, remove)
}

// observer counts what it is notified of.
type observer struct {
	mangopanic.Rethrow
	mu     sync.Mutex
	events map[string]int
}

func (o *observer) count(event string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events[event]++
}

func (o *observer) ServiceMixed(mangotraffic.ServiceName, []mangobuilds.Span) { o.count("mixed") }
func (o *observer) ServiceSole(mangotraffic.ServiceName, mangomodel.Build)    { o.count("sole") }
func (o *observer) OriginsLost(error)                                         { o.count("lost") }
func (o *observer) OriginsRegained(time.Duration)                             { o.count("regained") }
func (o *observer) OriginResolved(_ mangotraffic.StreamID, e Evidence, _ error) {
	o.count(e.String())
}
func (o *observer) StreamsSaved(int, int) { o.count("saved") }

// daemon is a daemon of a world.
type daemon struct {
	w       *world
	id      mangomodel.DaemonID
	fleet   *mangofleet.Fleet
	origins *Origins
	stop    context.CancelFunc
	// cut is set while the daemon reaches neither the store nor the other daemons.
	cut atomic.Bool
}

// world is daemons that share a table and a list of servers.
type world struct {
	*gomega.WithT
	ctx      context.Context
	table    *table
	observer *observer
	daemons  []*daemon
	mu       sync.Mutex
	list     map[mangomodel.ServerID]mangotraffic.Server
	position uint64
	// unlisted is set while no daemon can read the list.
	unlisted bool
}

// withWorld runs a test. The list of servers reaches all daemons at once.
func withWorld(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{
			WithT: gomega.NewWithT(t), ctx: ctx, table: newTable(), observer: &observer{events: make(map[string]int)},
			list: make(map[mangomodel.ServerID]mangotraffic.Server), position: 1,
		}
		f(w)
		cancel()
		w.killAll()
		// Calls to the store end.
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// start starts daemons and waits until they have read the histories, if the store serves.
func (w *world) start(n int, opts ...Option) {
	for range n {
		id := mangomodel.DaemonID(fmt.Sprintf("d%d", len(w.daemons)))
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: id}, DataCentre: "a1", Strong: true}
		fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
		ctx, stop := context.WithCancel(w.ctx)
		d := &daemon{w: w, fleet: fleet, stop: stop, id: id}
		d.origins = New(fleet, link{w.table, d}, w.observer, opts...)
		w.mu.Lock()
		w.daemons = append(w.daemons, d)
		w.mu.Unlock()
		go fleet.Run(ctx)
		go d.origins.Run(ctx)
		go d.follow(ctx)
	}
	time.Sleep(viewInterval + 10*latency)
}

// follow sends the list to a daemon.
func (d *daemon) follow(ctx context.Context) {
	for ctx.Err() == nil {
		d.send(ctx)
		sleep(ctx, 250*time.Millisecond)
	}
}

// send sends the list and the sightings of the other daemons to a daemon.
func (d *daemon) send(ctx context.Context) {
	if d.cut.Load() {
		return
	}
	d.w.table.mu.Lock()
	era := d.w.table.era
	d.w.table.mu.Unlock()
	d.w.mu.Lock()
	cmd := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: era, Position: d.w.position}, From: mangofleet.Platform}
	for id, server := range d.w.list {
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	unlisted := d.w.unlisted
	var seen mangofleet.UpdateMembers
	for _, other := range d.w.daemons {
		if other != d && !other.cut.Load() {
			member := mangoroster.Member{Holder: mangomodel.Holder{Daemon: other.id}, DataCentre: "a1", Strong: true}
			seen.Sightings = append(seen.Sightings, mangoroster.Sighting{Member: member})
		}
	}
	d.w.mu.Unlock()
	// These fail only when the daemon ends.
	_ = d.fleet.Do(ctx, seen)
	if !unlisted {
		_ = d.fleet.Do(ctx, cmd)
	}
}

func (w *world) killAll() {
	for _, d := range w.daemons {
		d.stop()
	}
	w.mu.Lock()
	w.daemons = nil
	w.mu.Unlock()
	synctest.Wait()
}

// serve replaces the servers by one of each build, and waits until daemons know them.
func (w *world) serve(builds ...mangomodel.Build) {
	w.mu.Lock()
	clear(w.list)
	w.position++
	for _, b := range builds {
		id := mangomodel.ServerID("server-" + b)
		w.list[id] = mangotraffic.Server{ID: id, Service: llm, Address: "10.0.0.1:1", DataCentre: "a1", Slots: 8, Build: b}
	}
	w.mu.Unlock()
	for _, d := range w.daemons {
		d.send(w.ctx)
	}
	time.Sleep(viewInterval)
	synctest.Wait()
}

func (w *world) begin(i int, request mangomodel.RequestID, build mangomodel.Build) {
	w.daemons[i].origins.Begin(mangotraffic.StreamID{Service: llm, Request: request}, build)
}

// origin returns the build at which a daemon says that a stream began, or an empty one with
// the text of the fault.
func (w *world) origin(i int, request mangomodel.RequestID) (mangomodel.Build, string) {
	build, err := w.daemons[i].origins.Origin(w.ctx, mangotraffic.StreamID{Service: llm, Request: request})
	if err == nil {
		return build, ""
	}
	f := mangomodel.AsFault(err, mangomodel.StepCall)
	w.Expect([]any{f.Step, f.Code, f.Run}).To(gomega.Equal([]any{mangomodel.StepAdmission, mangomodel.CodeCannotResume, mangomodel.RunNot}))
	return "", f.Error()
}

// expect expects that a daemon knows the build of a stream.
func (w *world) expect(i int, request mangomodel.RequestID, want mangomodel.Build) {
	build, reason := w.origin(i, request)
	w.Expect(build).To(gomega.Equal(want), "daemon %d, stream %s: %s", i, request, reason)
}

// expectRefused expects that a daemon refuses to resume a stream, within some time.
func (w *world) expectRefused(i int, request mangomodel.RequestID, reason string, within time.Duration) {
	began := time.Now()
	build, text := w.origin(i, request)
	w.Expect(build).To(gomega.BeEmpty())
	w.Expect(text).To(gomega.ContainSubstring(reason))
	w.Expect(time.Since(began)).To(gomega.BeNumerically("<=", within))
}
