package mangoorigin

import (
	"context"
	"errors"
	"fmt"
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
	// tablePage is how many rows one read returns.
	tablePage = 500
)

var errDown = errors.New("down")

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

func (l link) FindStreams(ctx context.Context, ids []mangotraffic.StreamID) ([]StreamRow, []mangotraffic.StreamID, Stamp, error) {
	if l.d.cut.Load() {
		return nil, nil, Stamp{}, errDown
	}
	return l.table.FindStreams(ctx, ids)
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

// install gives the first daemon a configuration whose route has a timeout.
func (w *world) install(timeout time.Duration) {
	routing, err := mangotraffic.NewRouting(1, []mangotraffic.Route{
		{Name: "r", Host: "h", Prefix: "/", Timeout: timeout, Targets: []mangotraffic.Target{{Service: llm, Weight: 1}}},
	}, []mangotraffic.Service{{Name: llm}}, mangotraffic.Limits{})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.Expect(w.daemons[0].fleet.Do(w.ctx, mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	time.Sleep(viewInterval)
}
