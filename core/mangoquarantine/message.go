package mangoquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// announceTime is how long messages repeat a start.
	announceTime = 5 * time.Second
	// maxItems limits the items of each kind in a message, and maxItemParts the parts
	// of a crash.
	maxItems, maxItemParts = 16, 8
)

// Evidence is a crash with the parts of the sender's calls that ended with it.
type Evidence struct {
	Crash Crash
	Parts []mangomodel.PartID
	Age   time.Duration
}

// Verdict is the record of a part.
type Verdict struct {
	Part    mangomodel.PartID
	Crashes int
	Age     time.Duration
	Tied    []mangomodel.PartID
}

// Start is the last start of a call with a part.
type Start struct {
	Part mangomodel.PartID
	Age  time.Duration
}

// Message is what a daemon tells others. Ages are durations, since the clocks of
// daemons differ.
type Message struct {
	Evidence []Evidence
	Verdicts []Verdict
	// Suspects are parts for which the sender asks for starts.
	Suspects []Verdict
	Starts   []Start
}

// Empty reports whether there is nothing to merge.
func (m Message) Empty() bool {
	return len(m.Evidence)+len(m.Verdicts)+len(m.Suspects)+len(m.Starts) == 0
}

// Message returns the newest evidence of this daemon, the records, and the starts that
// matter to others.
func (t *Tracker) Message(now time.Time) Message {
	t.expire(now)
	t.turn++
	var m Message
	for c, x := range t.crashes {
		if parts := t.ownParts(x); len(parts) > 0 {
			m.Evidence = append(m.Evidence, Evidence{c, parts, now.Sub(x.at)})
		}
	}
	m.Verdicts, m.Suspects = t.inTurn(verdicts(t.records, now)), newest(verdicts(t.suspects, now), Verdict.age)
	for p := range t.announced {
		if at, ok := t.starts.last(p); ok {
			m.Starts = append(m.Starts, Start{p, now.Sub(at)})
		}
	}
	m.Evidence = newest(m.Evidence, func(e Evidence) time.Duration { return e.Age })
	m.Starts = newest(m.Starts, func(s Start) time.Duration { return s.Age })
	return m
}

// ownParts returns the parts of a crash that this daemon has seen. If these are too many,
// it returns those with the most crashes, and the others in turn.
func (t *Tracker) ownParts(x *casualties) []mangomodel.PartID {
	var parts []mangomodel.PartID
	for p, own := range x.parts {
		if own {
			parts = append(parts, p)
		}
	}
	if len(parts) <= maxItemParts {
		return parts
	}
	crashes := make(map[mangomodel.PartID]int)
	for _, other := range t.crashes {
		for _, p := range parts {
			if other.has(p) {
				crashes[p]++
			}
		}
	}
	slices.SortFunc(parts, func(a, b mangomodel.PartID) int {
		return cmp.Or(cmp.Compare(crashes[b], crashes[a]), cmp.Compare(a, b))
	})
	const fixed = maxItemParts / 2
	others := parts[fixed:]
	for i := range maxItemParts - fixed {
		j := i + (t.turn*(maxItemParts-fixed)+i)%(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	return parts[:maxItemParts]
}

// verdicts returns the records.
func verdicts(records Records, now time.Time) []Verdict {
	var list []Verdict
	for p, x := range records {
		list = append(list, Verdict{p, x.Crashes, now.Sub(x.Last), x.Tied[:min(len(x.Tied), maxItemParts)]})
	}
	return list
}

func (v Verdict) age() time.Duration { return v.Age }

// inTurn returns maxItems records: the newest, and the others in turn, since daemons that
// start anew receive all of them from messages.
func (t *Tracker) inTurn(list []Verdict) []Verdict {
	slices.SortFunc(list, func(a, b Verdict) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	if len(list) <= maxItems {
		return list
	}
	const fixed = maxItems / 2
	others := list[fixed:]
	skip := t.turn * (maxItems - fixed) % len(others)
	return append(list[:fixed:fixed], slices.Concat(others[skip:], others[:skip])[:maxItems-fixed]...)
}

// newest returns the maxItems items with the lowest ages.
func newest[T any](list []T, age func(T) time.Duration) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(age(a), age(b)) })
	return list[:min(len(list), maxItems)]
}

// Merge merges the message of another daemon.
func (t *Tracker) Merge(m Message, now time.Time) {
	for _, s := range m.Starts[:min(len(m.Starts), maxItems)] {
		t.exonerate(s.Part, t.startOf(s, now), now)
	}
	for _, v := range m.Verdicts[:min(len(m.Verdicts), maxItems)] {
		t.mergeVerdict(v, now)
	}
	for _, v := range m.Suspects[:min(len(m.Suspects), maxItems)] {
		t.disproved(v, now)
	}
	for _, e := range m.Evidence[:min(len(m.Evidence), maxItems)] {
		if e.Age < evidenceTTL {
			t.addCrash(e.Crash, e.Parts, now.Add(-max(e.Age, 0)), false)
		}
	}
}

// startOf returns the time of a start. One that is hardly later than the recorded one is
// the same, which was delayed in transit.
func (t *Tracker) startOf(s Start, now time.Time) time.Time {
	at := now.Add(-max(s.Age, 0))
	if last, ok := t.starts.last(s.Part); ok && at.After(last) && at.Sub(last) <= ageError {
		return last
	}
	return at
}

// mergeVerdict merges a record, unless a start disproves it. Only a later crash extends
// a quarantine, since daemons repeat their records. Evidence that arrives late adds parts
// to a group.
func (t *Tracker) mergeVerdict(v Verdict, now time.Time) {
	other := Record{Crashes: v.Crashes, Last: now.Add(-max(v.Age, 0))}
	if t.disproved(v, now) || v.Crashes < minCrashes || other.expired(now) {
		return
	}
	x := t.records[v.Part]
	if other.Crashes > x.Crashes {
		x.Crashes, x.Tied = other.Crashes, nil
	}
	if other.Crashes == x.Crashes {
		x.Tied = slices.Concat(x.Tied, v.Tied)
		slices.Sort(x.Tied)
		x.Tied = slices.DeleteFunc(slices.Compact(x.Tied), func(p mangomodel.PartID) bool {
			start, ok := t.starts.last(p)
			return ok && disproves(start, other.Last)
		})
	}
	if other.Last.Sub(x.Last) > ageError {
		x.Last = other.Last
	}
	t.setRecord(v.Part, x)
}

// disproved reports whether a start disproves a verdict, and announces the start.
func (t *Tracker) disproved(v Verdict, now time.Time) bool {
	start, ok := t.starts.last(v.Part)
	if !ok || !disproves(start, now.Add(-max(v.Age, 0))) {
		return false
	}
	t.announce(v.Part, now)
	return true
}

func (t *Tracker) announce(p mangomodel.PartID, now time.Time) {
	if len(t.announced) >= maxRecords {
		maps.DeleteFunc(t.announced, func(_ mangomodel.PartID, at time.Time) bool { return now.Sub(at) >= announceTime })
	}
	if len(t.announced) < maxRecords {
		t.announced[p] = now
	}
}
