package mangofleet

import (
	"cmp"
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

const (
	// orders is how many drawn orders of events are played, and playTime how long each
	// takes.
	orders    = 10_000
	playTime  = 13 * time.Second
	lastEvent = 7 * time.Second
	maxLength = 6 * time.Second
	// drainBound is the time in which a server that has left has to be out of use, and
	// contactTime the time after which a daemon that was away counts again.
	drainBound  = 2500 * time.Millisecond
	contactTime = 4 * time.Second
	// relist is the time within which lost entries are tolerated, and maxRestore the one
	// within which they are restored here.
	relist     = 2 * time.Second
	maxRestore = 1500 * time.Millisecond
	// settleTime is the time after the store's return in which it may not have been read
	// again. Servers that leave in it cannot be told from lost entries.
	settleTime = 1500 * time.Millisecond
	// relaySlack is the time in which a daemon learns when the store returned.
	relaySlack = mangopool.RenewInterval + 5*step
	// minLoss is the shortest time for which a store is down so that others have failed
	// to read and have said so.
	minLoss    = 3500 * time.Millisecond
	maxDaemons = 4
)

func drawEvents(rt *rapid.T, n int) []event {
	times, lengths := rapid.IntRange(10, int(lastEvent/step)), rapid.IntRange(1, int(maxLength/step))
	kinds, daemons := rapid.IntRange(0, int(eventKinds)-1), rapid.IntRange(0, n-1)
	var events []event
	for range rapid.IntRange(1, maxEvents).Draw(rt, "n") {
		from := time.Duration(times.Draw(rt, "from")) * step
		events = append(events, event{
			kind: eventKind(kinds.Draw(rt, "kind")), daemon: daemons.Draw(rt, "daemon"),
			from: from, to: from + time.Duration(lengths.Draw(rt, "length"))*step,
		})
	}
	return events
}

// changeRecord adds the removals of an order of events to the record: servers that leave,
// and live ones whose entries are lost with the store and restored after it.
func (w *world) changeRecord(restore time.Duration, gone bool) {
	for k, e := range w.events {
		switch e.kind {
		case eventRemoval:
			w.record = append(w.record, removal{event: k, server: serverID(k), at: e.from})
		case eventStoreDown:
			w.record = append(w.record, removal{event: k, server: serverID(k), at: e.from})
			if !gone {
				w.record = append(w.record, removal{event: k, server: serverID(k), at: e.to + restore, restored: true})
			}
		}
	}
	slices.SortStableFunc(w.record, func(a, b removal) int { return cmp.Compare(a.at, b.at) })
	for i := range w.record {
		w.record[i].cursor = mangotraffic.Cursor{Position: uint64(i + 2)}
	}
}

// inTouch reports whether a daemon could reach the store and the others in a span, apart
// from a store that was down.
func (w *world) inTouch(i int, from, to time.Duration) bool {
	return !w.during(i, from, to, eventCut, eventReset, eventPause, eventDeaf)
}

// checkRemovals checks that daemons in touch drop a server in time that left while the
// store was up.
func (w *world) checkRemovals(rt *rapid.T, now time.Duration) {
	for k, e := range w.events {
		if e.kind != eventRemoval || now <= e.from+drainBound || w.during(-1, e.from-settleTime, e.from+drainBound, eventStoreDown) {
			continue
		}
		for i, d := range w.daemons {
			if w.inTouch(i, e.from-contactTime, now) && d.uses(serverID(k)) {
				rt.Fatalf("daemon %d uses %s %v after it left", i, serverID(k), now-e.from)
			}
		}
	}
}

// checkLosses checks that daemons in touch keep a live server whose entry was lost with
// the store. It reports how many it has checked.
func (w *world) checkLosses(rt *rapid.T, now time.Duration) {
	for k, e := range w.events {
		if e.kind != eventStoreDown || e.to-e.from < minLoss || now < e.from || now > e.to+relist {
			continue
		}
		var touched []int
		for i := range w.daemons {
			if w.inTouch(i, e.from-time.Second, e.to+relist) && !w.during(i, e.from, now, eventSnapshot) {
				touched = append(touched, i)
			}
		}
		if len(touched) < 2 && len(w.daemons) > 1 || w.storeEvents(e.from-contactTime, e.to+relist) > 1 {
			continue
		}
		for _, i := range touched {
			w.kept++
			if !w.daemons[i].uses(serverID(k)) {
				rt.Fatalf("daemon %d has dropped %s, whose entry was lost with the store", i, serverID(k))
			}
		}
	}
}

// checkGraces checks that daemons that know of a lost entry use its server no longer than
// the grace that began with the store's return, if no daemon was cut off and the first one
// that read the list again could say so.
func (w *world) checkGraces(rt *rapid.T, now time.Duration) {
	for _, r := range w.record {
		e := w.events[r.event]
		returned := w.returned[r.event]
		if r.restored || e.kind != eventStoreDown || returned == 0 || now <= returned+relist+relaySlack ||
			w.during(-1, e.from-contactTime, now, eventCut, eventReset, eventDeaf) || w.during(w.returnedAt[r.event], returned, returned+relaySlack, eventPause) ||
			w.storeEvents(e.from-contactTime, now) > 1 {
			continue
		}
		for i, d := range w.daemons {
			if !w.at(i, now, eventPause) && !d.state.listCursor.Before(r.cursor) && now-d.thawed > relaySlack && d.uses(r.server) {
				rt.Fatalf("daemon %d uses %s %v after the store's return", i, r.server, now-returned)
			}
		}
	}
}

func (w *world) storeEvents(from, to time.Duration) int {
	n := 0
	for _, e := range w.events {
		if e.kind == eventStoreDown && e.from <= to && e.to >= from {
			n++
		}
	}
	return n
}

// TestRemovedServerIsDroppedInTimeWhoeverWasAway guards against a grace that a daemon gives
// because it could not read the list itself, or that starts anew where it is passed on. It
// also checks that entries that were lost with the store are tolerated.
func TestRemovedServerIsDroppedInTimeWhoeverWasAway(t *testing.T) {
	set := map[string]string{"rapid.checks": strconv.Itoa(orders), "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		set["rapid.seed"] = "1"
	}
	for name, value := range set {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	kept := 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, maxDaemons).Draw(rt, "daemons")
		w := newWorld(n, drawEvents(rt, n))
		gone := rapid.Bool().Draw(rt, "gone")
		w.changeRecord(time.Duration(rapid.IntRange(0, int(maxRestore/step)).Draw(rt, "restore"))*step, gone)
		transit := time.Duration(rapid.IntRange(0, 2).Draw(rt, "transit")) * step
		for now := step; now < playTime; now += step {
			w.now = now
			w.play(now, transit)
			w.checkRemovals(rt, now)
			if gone {
				w.checkGraces(rt, now)
			} else {
				w.checkLosses(rt, now)
			}
		}
		kept += w.kept
	})
	if !t.Failed() && kept == 0 {
		t.Error("no entry was lost with the store")
	}
}
