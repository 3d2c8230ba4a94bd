package mangocrash

import (
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// newsTime is how long messages repeat a change.
	newsTime = 2 * time.Second
	// unevenTime is how long messages hold a part of the table after one with another
	// digest arrived.
	unevenTime = time.Second
	// maxNews limits the changes that are kept, maxItems the records of each kind in a
	// message, and maxRelayed the relayed ones among them that are not refused.
	maxNews, maxItems, maxRelayed = 128, 32, 16
	// ageError is the error of ages that daemons exchange: the time in transit.
	ageError = time.Second
)

// Event is a crash or a probe of a call.
type Event struct {
	ID  uint64
	Age time.Duration
	// Cleared is set once the call was found not to have caused it.
	Cleared bool
}

// Report is the record of a call.
type Report struct {
	Call            mangomodel.Fingerprint
	Seen            time.Duration
	Crashes, Probes []Event
}

// Message is what a daemon tells others. Ages are durations, since the clocks of
// daemons differ.
type Message struct {
	// News are the records that have changed lately.
	News []Report
	// Digest is a hash of the refused calls, and Table a part of their records for
	// daemons with another digest.
	Digest uint64
	Table  []Report
}

// item is a call whose record has changed.
type item struct {
	call  mangomodel.Fingerprint
	until time.Time
	// own is set if this daemon has changed it.
	own bool
}

// announce adds a record to the news.
func (t *Table) announce(x *record, now time.Time, own bool) {
	x.told = now
	for i, n := range t.news {
		if n.call == x.call {
			own = own || n.own && now.Before(n.until)
			t.news = slices.Delete(t.news, i, i+1)
			break
		}
	}
	if len(t.news) >= maxNews {
		t.news = slices.Delete(t.news, 0, 1)
	}
	t.news = append(t.news, item{x.call, now.Add(newsTime), own})
}

// Message returns the news of this daemon and, in a message that relays, those of others.
func (t *Table) Message(now time.Time, relays bool) Message {
	t.expire(now)
	t.news = slices.DeleteFunc(t.news, func(n item) bool { return !now.Before(n.until) })
	m := Message{Digest: t.digest}
	var own, others []*record
	for _, n := range t.news {
		e, ok := t.calls[n.call]
		if !ok {
			continue
		}
		if x := e.Value.(*record); n.own {
			own = append(own, x)
		} else if relays {
			others = append(others, x)
		}
	}
	slices.SortFunc(others, byUrgency)
	first := slices.IndexFunc(others, func(x *record) bool { return !x.refused() })
	if first >= 0 {
		others = others[:min(len(others), first+maxRelayed)]
	}
	list := append(own, others...)
	slices.SortFunc(list, byUrgency)
	for _, x := range list[:min(len(list), maxItems)] {
		m.News = append(m.News, x.report(now))
	}
	if now.Sub(t.uneven) < unevenTime {
		m.Table = t.part(now)
	}
	return m
}

// part returns up to maxItems records of refused calls, others with each interval of
// time.
func (t *Table) part(now time.Time) []Report {
	const turnTime = 250 * time.Millisecond
	n := t.refused.order.Len()
	parts := (n + maxItems - 1) / maxItems
	if parts == 0 {
		return nil
	}
	skip := int(now.UnixNano()/int64(turnTime)) % parts * maxItems
	var reports []Report
	for e := t.refused.order.Front(); e != nil && len(reports) < maxItems; e = e.Next() {
		if skip--; skip < 0 {
			reports = append(reports, e.Value.(*record).report(now))
		}
	}
	return reports
}

func (x *record) report(now time.Time) Report {
	return Report{Call: x.call, Seen: now.Sub(x.seen), Crashes: x.crashes.report(now), Probes: x.probes.report(now)}
}

func (list events) report(now time.Time) []Event {
	var reports []Event
	for _, e := range list {
		reports = append(reports, Event{e.id, now.Sub(e.at), e.cleared})
	}
	return reports
}

// Adds reports whether the sender of a message knows anything that that of another does not.
func (m Message) Adds(to Message) bool {
	return len(m.News)+len(m.Table) > 0 || m.Digest != to.Digest
}

// Merge merges the message of another daemon.
func (t *Table) Merge(m Message, now time.Time) {
	t.expire(now)
	for _, list := range [][]Report{m.News, m.Table} {
		for _, r := range list[:min(len(list), maxItems)] {
			t.mergeReport(r, now)
		}
	}
	if m.Digest != t.digest {
		t.uneven = now
	}
}

// mergeReport merges a record. Only a later arrival extends its retention, since daemons
// repeat their records.
func (t *Table) mergeReport(r Report, now time.Time) {
	seen := now.Add(-max(r.Seen, 0))
	if r.Seen >= Retention || len(r.Crashes) == 0 {
		return
	}
	if e, ok := t.calls[r.Call]; ok && e.Value.(*record).clearsMore(r) {
		t.announce(e.Value.(*record), now, true)
	}
	_, known := t.calls[r.Call]
	t.change(r.Call, now, false, func(x *record) {
		for _, e := range r.Crashes[:min(len(r.Crashes), maxEvents)] {
			x.crashes = x.crashes.add(event{e.ID, now.Add(-max(e.Age, 0)), e.Cleared}, sameCrash)
		}
		for _, e := range r.Probes[:min(len(r.Probes), maxEvents)] {
			x.probes = x.probes.add(event{e.ID, now.Add(-max(e.Age, 0)), e.Cleared}, 0)
		}
		if !known || seen.Sub(x.seen) > ageError {
			x.seen = seen
		}
	})
}

// clearsMore reports whether the record has cleared an event that a report has not.
func (x *record) clearsMore(r Report) bool {
	clears := func(list events, reports []Event) bool {
		return slices.ContainsFunc(list, func(e event) bool {
			return e.cleared && slices.ContainsFunc(reports, func(y Event) bool { return y.ID == e.id && !y.Cleared })
		})
	}
	return clears(x.crashes, r.Crashes) || clears(x.probes, r.Probes)
}
