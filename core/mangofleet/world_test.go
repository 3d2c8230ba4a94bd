package mangofleet

import (
	"fmt"
	"slices"
	"time"

	"mangolane/core/mangobound"
	"mangolane/core/mangobudget"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	step = 50 * time.Millisecond
	// pollWait and idleTimeout are the times of a read without changes and of one without
	// a response.
	pollWait    = 500 * time.Millisecond
	idleTimeout = 500 * time.Millisecond
	// firstPause and longestPause bound the pause after failed reads.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	maxEvents    = 8
)

// standard are the times of all daemons.
var standard = mangobound.Within(mangobound.Standard)

// eventKind is what happens to one daemon, or to the store.
type eventKind int

const (
	// eventCut is a daemon that gets no response from the store; with eventReset it
	// notices that at once.
	eventCut eventKind = iota
	eventReset
	eventPause
	// eventDeaf is a daemon that exchanges no messages.
	eventDeaf
	eventStoreDown
	// eventPrefer changes the scheduler, if it may schedule.
	eventPrefer
	eventSnapshot
	eventRemoval
	eventKinds
)

type event struct {
	kind     eventKind
	daemon   int
	from, to time.Duration
}

func (e event) covers(at time.Duration) bool { return at >= e.from && at < e.to }

// removal is one change of the record: a server leaves, or its entry is lost with the
// store and restored later.
type removal struct {
	event  int
	server mangomodel.ServerID
	at     time.Duration
	cursor mangotraffic.Cursor
	// restored is set for the second change of a lost entry.
	restored bool
}

// delivery is a message under way.
type delivery struct {
	to    int
	sent  time.Duration
	due   time.Duration
	list  ChangeServers
	reads RecordReads
	// response is set if the receiver knows how long the message took.
	response bool
}

type reader struct {
	state  *state
	listed mangopool.Listing
	// thawed is when the daemon was last paused.
	thawed time.Duration
	// since is when the current read began; idle if negative.
	since time.Duration
	// broken is set if the store could not be reached during the read.
	broken bool
	// nextRead and pause are the backoff after failed reads.
	nextRead, pause time.Duration
	renewAt         time.Duration
}

// world plays daemons that follow a record without a network or a clock.
type world struct {
	start   time.Time
	daemons []*reader
	events  []event
	record  []removal
	flight  []delivery
	// first is the daemon that is preferred as scheduler.
	first int
	now   time.Duration
	// returned is when a daemon first read the record again after the store was down, and
	// returnedAt that daemon, by event.
	returned   [maxEvents]time.Duration
	returnedAt [maxEvents]int
	// kept counts the checks of entries that were lost with the store.
	kept int
}

func newWorld(n int, events []event) *world {
	w := &world{start: time.UnixMilli(1_000_000), events: events}
	for i := range n {
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: daemonID(i)}, DataCentre: "a1", Strong: true}
		s := newState(Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
		d := &reader{state: s, since: -1, renewAt: time.Duration(i) * step}
		w.daemons = append(w.daemons, d)
		list := ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 1}}
		for k := range maxEvents {
			server := plain(serverID(k), "a1")
			list.Changes = append(list.Changes, mangotraffic.ServerChange{ID: server.ID, Server: &server})
		}
		w.apply(d, list, 0)
	}
	for i, d := range w.daemons {
		for j := range w.daemons {
			if i != j {
				w.apply(d, UpdateMembers{Sightings: []mangoroster.Sighting{{Member: w.daemons[j].state.self.Member}}}, 0)
			}
		}
	}
	return w
}

func daemonID(i int) mangomodel.DaemonID { return mangomodel.DaemonID(fmt.Sprint("d", i)) }

func serverID(k int) mangomodel.ServerID { return mangomodel.ServerID(fmt.Sprint("s", k)) }

func (w *world) apply(d *reader, cmd Command, at time.Duration) {
	if err := cmd.Apply(d.state, w.start.Add(at)); err != nil {
		panic(err)
	}
}

// during reports whether an event of a kind covers a daemon at some time within a span.
func (w *world) during(i int, from, to time.Duration, kinds ...eventKind) bool {
	return slices.ContainsFunc(w.events, func(e event) bool {
		return (i < 0 || e.daemon == i) && slices.Contains(kinds, e.kind) && e.from <= to && e.to >= from
	})
}

func (w *world) at(i int, now time.Duration, kinds ...eventKind) bool {
	return slices.ContainsFunc(w.events, func(e event) bool {
		return (i < 0 || e.daemon == i) && slices.Contains(kinds, e.kind) && e.covers(now)
	})
}

func (w *world) storeDown(now time.Duration) bool { return w.at(-1, now, eventStoreDown) }

// unreachable reports whether a daemon cannot reach the store, and whether it notices
// that at once.
func (w *world) unreachable(i int, now time.Duration) (bool, bool) {
	return w.storeDown(now) || w.at(i, now, eventCut, eventReset), w.at(i, now, eventReset)
}

func (w *world) age(d *reader, now time.Duration) time.Duration {
	return w.start.Add(now).Sub(d.state.listRead)
}

// scheduler returns the first daemon that runs and has a current list, else the first
// that runs.
func (w *world) scheduler(now time.Duration) int {
	n := len(w.daemons)
	for _, stale := range []bool{false, true} {
		for k := range n {
			i := (w.first + k) % n
			if !w.at(i, now, eventPause, eventDeaf) && (stale || w.age(w.daemons[i], now) <= standard.Age) {
				return i
			}
		}
	}
	return w.first % n
}

// changes returns the changes of the record after a cursor, as a read returns them.
func (w *world) changes(after mangotraffic.Cursor) ([]mangotraffic.ServerChange, mangotraffic.Cursor) {
	var list []mangotraffic.ServerChange
	cursor := after
	for _, r := range w.record {
		if !r.cursor.After(after) || r.at > w.now {
			continue
		}
		change := mangotraffic.ServerChange{ID: r.server}
		if r.restored {
			server := plain(r.server, "a1")
			change.Server = &server
		}
		list, cursor = append(list, change), r.cursor
	}
	return list, cursor
}

// read plays the follower of a daemon.
func (w *world) read(i int, now time.Duration) {
	d := w.daemons[i]
	if d.since < 0 {
		if i != w.scheduler(now) && w.age(d, now) <= standard.Received() || now < d.nextRead {
			return
		}
		d.since, d.broken = now, false
	}
	unreachable, noticed := w.unreachable(i, now)
	d.broken = d.broken || unreachable
	changes, cursor := w.changes(d.state.listCursor)
	switch {
	case d.broken && (noticed || now-d.since >= pollWait+idleTimeout):
		w.apply(d, ReadFailed{}, now)
		d.since, d.pause = -1, min(max(2*d.pause, firstPause), longestPause)
		d.nextRead = now + d.pause
	case !d.broken && (len(changes) > 0 || now-d.since >= pollWait):
		w.apply(d, ChangeServers{Changes: changes, Cursor: cursor}, now)
		for k, e := range w.events {
			if e.kind == eventStoreDown && w.returned[k] == 0 && now >= e.to {
				w.returned[k], w.returnedAt[k] = now, i
			}
		}
		d.since, d.pause, d.nextRead = -1, 0, now
	}
}

// renew plays an exchange of a daemon with the scheduler.
func (w *world) renew(i int, now, transit time.Duration) {
	d, k := w.daemons[i], w.scheduler(now)
	if now < d.renewAt || k == i || w.at(i, now, eventDeaf) {
		return
	}
	d.renewAt = now + mangopool.RenewInterval
	w.flight = append(w.flight, delivery{to: k, sent: now, due: now + transit, reads: w.reads(i, now)})
	w.send(k, i, now, transit)
}

func (w *world) reads(i int, now time.Duration) RecordReads {
	return RecordReads{Daemon: daemonID(i), Reads: w.view(i).Reads(w.start.Add(now))}
}

// view has the parts of a daemon's view that its messages use.
func (w *world) view(i int) *View {
	s := w.daemons[i].state
	return &View{journal: s.journal, ListRead: s.listRead, ListCursor: s.listCursor, readFailed: s.readFailed, returned: s.outages.Returned()}
}

// send plays a response to a daemon.
func (w *world) send(from, to int, now, transit time.Duration) {
	x := delivery{to: to, sent: now, due: now + transit, reads: w.reads(from, now), response: true}
	if w.age(w.daemons[from], now) <= standard.Age {
		x.list, _ = w.view(from).ChangesAfter(w.daemons[to].state.listCursor, w.start.Add(now))
	}
	w.flight = append(w.flight, x)
}

// snapshot plays a fetch of the whole list.
func (w *world) snapshot(from, to int, now time.Duration) {
	s := w.daemons[from].state
	if !s.listCursor.After(w.daemons[to].state.listCursor) || w.age(w.daemons[from], now) > standard.Age {
		return
	}
	list, v := w.daemons[from].list(), w.view(from)
	v.Listed, v.expired = list.Servers, list.Expired
	w.flight = append(w.flight, delivery{to: to, sent: now, due: now + 2*step, list: v.List(w.start.Add(now)), response: true})
}

func (w *world) deliver(now time.Duration) {
	w.flight = slices.DeleteFunc(w.flight, func(x delivery) bool {
		if x.due > now || w.at(x.to, now, eventPause) {
			return false
		}
		d, took := w.daemons[x.to], now-x.sent
		if x.response {
			x.reads.Reads = x.reads.Reads.Delayed(took)
		}
		w.apply(d, x.reads, now)
		if x.response && !x.list.Cursor.IsZero() {
			x.list = x.list.Delayed(took)
			x.list.Age += took
			w.apply(d, x.list, now)
		}
		return true
	})
}

// list returns the servers that a daemon uses.
func (d *reader) list() mangopool.Listing {
	if list, ok := d.state.pool.Listed(); ok {
		d.listed = list
	}
	return d.listed
}

// uses reports whether a daemon still sends calls to a server.
func (d *reader) uses(id mangomodel.ServerID) bool {
	_, ok := d.list().Servers[id]
	return ok
}

// play advances all daemons by a step.
func (w *world) play(now, transit time.Duration) {
	for _, e := range w.events {
		switch {
		case e.from != now:
		case e.kind == eventPrefer:
			w.first = e.daemon
		case e.kind == eventSnapshot:
			w.snapshot(w.scheduler(now), e.daemon, now)
		}
	}
	w.deliver(now)
	for i, d := range w.daemons {
		if w.at(i, now, eventPause) {
			d.thawed = now
			continue
		}
		w.read(i, now)
		w.renew(i, now, transit)
		d.state.Tick(w.start.Add(now))
	}
}
