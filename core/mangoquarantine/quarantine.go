// Package mangoquarantine decides which parts of prompts crash backend servers.
//
// Calls share parts of their prompts, such as instructions or documents. If a part
// crashes each server that begins to generate after it, the calls that contain it need
// have nothing else in common, and each daemon receives few of them. Daemons therefore
// exchange what they have seen, and compare the crashes of all:
//
//   - A call that ended with its server before its first event is evidence against its
//     parts. A crash counts once, however many calls ended with it.
//   - A call that begins to generate exonerates its parts, on all daemons.
//   - The part that is common to the most crashes explains them. They do not count
//     against the other parts of the calls that ended with them. Parts that are common
//     to the same crashes are one group: a call is refused only if it has all of them.
//   - A part with two crashes, which are most of the crashes meanwhile, or with crashes in
//     three incidents is quarantined: calls with it are refused. The quarantine lasts
//     longer with each further crash.
//   - After its quarantine, a part is on probation: one call at a time probes it.
//
// Only a daemon that receives the messages of all others judges the evidence. A [Tracker]
// has no lock, goroutine or clock; its owner passes the time. Messages can arrive
// repeatedly and in any order. All state is bounded and expires.
//
// # Usage
//
//	t := mangoquarantine.New()
//	t.RecordStart(call.Parts, now)
//	t.RecordCrash(mangoquarantine.Crash{Server: "i-1", Born: born}, call.Parts, now)
//	t.Merge(message, now)
//	t.Judge(now)
//	if parts, record, ok := t.Records().Refuses(call.Parts, now); ok { ... }
package mangoquarantine

import (
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// minTerm is the quarantine after minCrashes. Each further crash multiplies it by
	// termFactor, up to maxTerm.
	minTerm    = 5 * time.Second
	termFactor = 6
	maxTerm    = 10 * time.Minute
	// probation is how long after its quarantine a part needs a probe.
	probation = 5 * time.Minute
	// ProbeInterval is the time between two probes, in which the outcome of the first
	// becomes known to all daemons.
	ProbeInterval = 3 * time.Second
	// ageError is the error of ages that daemons exchange: the time in transit.
	ageError = time.Second
	// maxRecords limits the parts that are recorded.
	maxRecords = 256
)

// Record holds the crashes that a part has caused.
type Record struct {
	Crashes int
	// Last is when the last of them happened.
	Last time.Time
	// Tied are other parts that were present in all of these crashes. One part of the
	// group causes them.
	Tied []mangomodel.PartID
}

func (r Record) equal(o Record) bool {
	return r.Crashes == o.Crashes && r.Last.Equal(o.Last) && slices.Equal(r.Tied, o.Tied)
}

// without returns the record with fewer tied parts.
func (r Record) without(drop func(mangomodel.PartID) bool) Record {
	r.Tied = slices.DeleteFunc(slices.Clone(r.Tied), drop)
	return r
}

// presentIn reports whether a call has all parts of the group of p.
func (r Record) presentIn(call []mangomodel.PartID) bool {
	return !slices.ContainsFunc(r.Tied, func(q mangomodel.PartID) bool { return !slices.Contains(call, q) })
}

// Until returns when the quarantine ends.
func (r Record) Until() time.Time {
	term := minTerm
	for n := minCrashes; n < r.Crashes && term < maxTerm; n++ {
		term *= termFactor
	}
	return r.Last.Add(min(term, maxTerm))
}

// expired reports whether the part needs no more probes.
func (r Record) expired(now time.Time) bool { return now.Sub(r.Until()) >= probation }

// Records are the records of the parts that are quarantined or on probation. They are
// immutable.
type Records map[mangomodel.PartID]Record

// Refuses returns the parts of a call of which one is quarantined, if any.
func (r Records) Refuses(call []mangomodel.PartID, now time.Time) ([]mangomodel.PartID, Record, bool) {
	if len(r) == 0 {
		return nil, Record{}, false
	}
	for _, p := range call {
		if x, ok := r[p]; ok && now.Before(x.Until()) && x.presentIn(call) {
			return append([]mangomodel.PartID{p}, x.Tied...), x, true
		}
	}
	return nil, Record{}, false
}

// onProbation returns the parts of a call that need a probe. A call with only some parts
// of a group probes them at any time, since its outcome tells them from the others.
func (r Records) onProbation(call []mangomodel.PartID, now time.Time) []mangomodel.PartID {
	if len(r) == 0 {
		return nil
	}
	var list []mangomodel.PartID
	for _, p := range call {
		if x, ok := r[p]; ok && !x.expired(now) && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}

// Change is a record with further crashes, or without any if the part was exonerated or
// its probation has passed.
type Change struct {
	Part   mangomodel.PartID
	Record Record
}

// Tracker holds what a daemon knows about parts that may crash servers.
type Tracker struct {
	starts  starts
	crashes map[Crash]*casualties
	records Records
	// suspects are the parts with several crashes that are not recorded.
	suspects Records
	// announced is when a start was last found to matter to other daemons.
	announced map[mangomodel.PartID]time.Time
	probes    map[mangomodel.PartID]time.Time
	changes   []Change
	// turn counts the messages.
	turn int
	// unjudged is set if the evidence has changed since the last judgement.
	unjudged bool
	judgedAt time.Time
}

// New returns a tracker without records.
func New() *Tracker {
	return &Tracker{
		crashes: make(map[Crash]*casualties), announced: make(map[mangomodel.PartID]time.Time),
		probes: make(map[mangomodel.PartID]time.Time),
	}
}

// Records returns the current records.
func (t *Tracker) Records() Records { return t.records }

// TakeChanges returns the changes of the records since the last time.
func (t *Tracker) TakeChanges() []Change {
	list := t.changes
	t.changes = nil
	return list
}

// Probe admits a call that is not refused. If it has parts on probation, it becomes their
// probe, unless another call is. A call with parts of several groups would not tell which
// of them crashes a server. Probe returns the parts for which the call is not admitted.
func (t *Tracker) Probe(call []mangomodel.PartID, now time.Time) []mangomodel.PartID {
	parts := t.records.onProbation(call, now)
	if len(parts) == 0 {
		return nil
	}
	maps.DeleteFunc(t.probes, func(_ mangomodel.PartID, at time.Time) bool { return now.Sub(at) >= ProbeInterval })
	group := t.records[parts[0]].Tied
	for _, p := range parts {
		if _, ok := t.probes[p]; ok || p != parts[0] && !slices.Contains(group, p) {
			return parts
		}
	}
	for _, p := range parts {
		t.probes[p] = now
	}
	return nil
}

// RecordStart records that a server has begun to generate for a call.
func (t *Tracker) RecordStart(parts []mangomodel.PartID, now time.Time) {
	for _, p := range parts {
		t.exonerate(p, now, now)
	}
}

// exonerate records a start and drops the record that it disproves. Other daemons are
// told if there was one.
func (t *Tracker) exonerate(p mangomodel.PartID, at, now time.Time) {
	t.starts.add(p, at, now)
	if x, ok := t.suspects[p]; ok && disproves(at, x.Last) {
		t.announce(p, now)
	}
	x, ok := t.records[p]
	if !ok || !disproves(at, x.Last) {
		return
	}
	t.announce(p, now)
	t.setRecord(p, Record{})
	for q, y := range t.records {
		t.setRecord(q, y.without(func(tied mangomodel.PartID) bool { return tied == p }))
	}
	t.unjudged = true
}

// setRecord replaces a record. A record without crashes is removed.
func (t *Tracker) setRecord(p mangomodel.PartID, x Record) {
	old := t.records[p]
	if old.equal(x) {
		return
	}
	records := maps.Clone(t.records)
	if records == nil {
		records = make(Records)
	}
	records[p] = x
	if x.Crashes == 0 {
		delete(records, p)
	} else if len(records) > maxRecords {
		delete(records, oldest(records))
	}
	t.records = records
	if x.Crashes == 0 || x.Crashes > old.Crashes {
		t.changes = append(t.changes, Change{p, x})
	}
}

func oldest(records Records) mangomodel.PartID {
	var first mangomodel.PartID
	for p, x := range records {
		if first == "" || x.Last.Before(records[first].Last) {
			first = p
		}
	}
	return first
}
