package mangoquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// judgeInterval is the time between two judgements: hundreds of messages may arrive
	// after the failure of many servers.
	judgeInterval = 50 * time.Millisecond
	// settleTime is how long after a crash the daemons report what they have seen of it.
	settleTime = 250 * time.Millisecond
	// incidentTime is the time within which crashes count as one incident, since servers
	// that share a host or a rack fail together.
	incidentTime = 400 * time.Millisecond
	// minCrashes is how many crashes a part must have in common to be quarantined, if
	// these are most of the crashes meanwhile. Otherwise it needs manyIncidents.
	minCrashes, manyIncidents = 2, 3
)

// suspicion is a part with its crashes, in order of time.
type suspicion struct {
	part      mangomodel.PartID
	crashes   []Crash
	incidents int
}

// Judge updates the records if there is new evidence. The part with the most crashes
// explains its crashes first; a recorded part explains the rest of its own, however few.
func (t *Tracker) Judge(now time.Time) {
	if !t.unjudged || now.Sub(t.judgedAt) < judgeInterval {
		return
	}
	t.expire(now)
	t.unjudged, t.judgedAt = false, now
	crashes := t.crashesOfParts(now)
	explained := make(map[Crash]bool)
	for {
		top := t.culprits(crashes, explained)
		if len(top) == 0 {
			break
		}
		for _, x := range top {
			t.setRecord(x.part, t.grouped(x, top))
			delete(crashes, x.part)
		}
		markExplained(explained, top[0].crashes)
	}
	for p, x := range t.records {
		if list := unexplained(crashes[p], explained); len(list) > 0 {
			t.setRecord(p, t.updated(x, list).without(func(q mangomodel.PartID) bool { return !t.presentInAll(q, list) }))
			markExplained(explained, list)
		}
		delete(crashes, p)
	}
	t.suspects = make(Records)
	for p, list := range crashes {
		if list = unexplained(list, explained); len(list) >= minCrashes {
			t.suspects[p] = t.updated(Record{}, list)
		}
	}
}

// crashesOfParts returns the crashes of each part in order of time, those of parts without
// a record only once they have settled.
func (t *Tracker) crashesOfParts(now time.Time) map[mangomodel.PartID][]Crash {
	byTime := slices.SortedFunc(maps.Keys(t.crashes), func(a, b Crash) int {
		return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born))
	})
	crashes := make(map[mangomodel.PartID][]Crash)
	for _, c := range byTime {
		settled := now.Sub(t.crashes[c].at) >= settleTime
		t.unjudged = t.unjudged || !settled
		for p := range t.crashes[c].parts {
			if _, recorded := t.records[p]; recorded || settled {
				crashes[p] = append(crashes[p], c)
			}
		}
	}
	return crashes
}

// culprits returns the part with the most unexplained crashes among those with sufficient
// evidence, together with the parts that share exactly its crashes.
func (t *Tracker) culprits(crashes map[mangomodel.PartID][]Crash, explained map[Crash]bool) []suspicion {
	var times []time.Time
	for c, x := range t.crashes {
		if !explained[c] {
			times = append(times, x.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var top suspicion
	var list []suspicion
	for p, own := range crashes {
		x := suspicion{part: p, crashes: unexplained(own, explained)}
		x.incidents = t.incidents(x.crashes)
		if !t.sufficient(x, times) {
			continue
		}
		list = append(list, x)
		if cmp.Or(cmp.Compare(x.incidents, top.incidents), cmp.Compare(len(x.crashes), len(top.crashes)), cmp.Compare(top.part, p)) > 0 {
			top = x
		}
	}
	return slices.DeleteFunc(list, func(x suspicion) bool { return !slices.Equal(x.crashes, top.crashes) })
}

// incidents counts the incidents of crashes.
func (t *Tracker) incidents(crashes []Crash) int {
	n := 0
	var begun time.Time
	for _, c := range crashes {
		if at := t.crashes[c].at; n == 0 || at.Sub(begun) >= incidentTime {
			n, begun = n+1, at
		}
	}
	return n
}

// sufficient reports whether crashes are due to the part that they have in common, given
// the times of all crashes. When many servers fail, some of the calls that end with them
// share parts by chance.
func (t *Tracker) sufficient(x suspicion, times []time.Time) bool {
	if len(x.crashes) < minCrashes || x.incidents >= manyIncidents {
		return x.incidents >= manyIncidents
	}
	from, to := t.crashes[x.crashes[0]].at.Add(-ageError), t.crashes[x.crashes[len(x.crashes)-1]].at.Add(ageError)
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return 2*len(x.crashes) > last-first
}

// updated adds crashes in order of time to a record, as far as it does not include them.
func (t *Tracker) updated(x Record, crashes []Crash) Record {
	if last := t.crashes[crashes[len(crashes)-1]].at; last.Sub(x.Last) > ageError {
		x.Crashes, x.Last = x.Crashes+1, last
	}
	x.Crashes = max(x.Crashes, len(crashes))
	return x
}

// grouped returns the record of a part with the group that shares its crashes. If the
// record is of more crashes than this daemon remembers, the group can only shrink.
func (t *Tracker) grouped(x suspicion, group []suspicion) Record {
	old := t.records[x.part]
	r := t.updated(old, x.crashes)
	if old.Crashes <= len(x.crashes) {
		return r.tiedTo(group, x.part)
	}
	return r.without(func(q mangomodel.PartID) bool { return !t.presentInAll(q, x.crashes) })
}

// tiedTo returns the record with the other parts of a group.
func (r Record) tiedTo(group []suspicion, p mangomodel.PartID) Record {
	r.Tied = nil
	for _, x := range group {
		if x.part != p {
			r.Tied = append(r.Tied, x.part)
		}
	}
	slices.Sort(r.Tied)
	return r
}

func (t *Tracker) presentInAll(p mangomodel.PartID, crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return !t.crashes[c].has(p) })
}

func markExplained(explained map[Crash]bool, crashes []Crash) {
	for _, c := range crashes {
		explained[c] = true
	}
}

func unexplained(crashes []Crash, explained map[Crash]bool) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return explained[c] })
}
