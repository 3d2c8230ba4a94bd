// Package mangoload chooses the plain server of a call from load figures that are some
// hundred milliseconds old.
//
// It answers the load of hundreds of daemons that place calls by themselves: each of them
// sends a server one call in seconds, so that its own figures are older than the calls
// that they count, and daemons with the same figure must not all choose the same server.
// A [Table] holds what one daemon knows. The daemons add up what their own calls showed
// at a [Board].
//
// # Usage
//
//	t := mangoload.New(holder)
//	id, ok := t.Choose(candidates, now)
//	t.Record(id, mangoload.Sample{Load: 3, Took: 16 * time.Millisecond}, now)
//	board.Record(holder, t.Report(now), now)
//	t.SetShared(board.Records(now), now)
package mangoload

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

const (
	// loadDecay and speedDecay are the times in which the weight of a sample falls to
	// 1/e. The load decides when calls leave a data centre, which must not follow single
	// calls. The speed has to be known before queues are full: with 1 s the calls in
	// progress at the busiest of the simulated servers were further from the mean, with
	// 150 ms little is left of a sample when renewals have passed it on.
	loadDecay, speedDecay = time.Second, 300 * time.Millisecond
	// priorWeight is the weight, in samples, of the mean of all servers in the estimate
	// for one: of a server without samples nothing else is known.
	priorWeight = 2.0
	// A server that takes more than slowRatio times the mean gets less than its part of the
	// capacity, by the power slowExponent of the excess. With its part alone a server that
	// is 2.5 times slower than five others has 7% of the calls, which are then the slowest
	// hundredth. Without slowRatio the load of 300 daemons oscillates: a daemon with few
	// calls takes a second to follow a change.
	slowRatio, slowExponent = 1.5, 2
	// leaveLoad is the load of the servers at a distance from which on calls go further
	// if that costs nothing, and leaveRange the increase of load at which nearly all of
	// them do. A smaller range makes the load oscillate, since it is known with a delay.
	// minShare is the share that remains, so that the load is still measured.
	leaveLoad, leaveRange, minShare = 0.6, 0.6, 0.05
	// unknownTook is used while no call has ended. It is the same for all servers, so that
	// it has no effect on the shares.
	unknownTook = 10 * time.Millisecond
	// overdue is the share of the time since a daemon's oldest call at a server began
	// that the server is assumed to need for a call at least. Half of the calls end
	// within 0.7 of their mean time, and one in seven takes twice as long.
	overdue = 0.5
	// maxCredit bounds the calls that a server gets in a row after it was no candidate.
	maxCredit = 1.0
)

// DefaultDistanceCost is the cost of one step of distance, as an increase of load. With it
// calls leave a data centre for another one of the region at 0.7 of its slots, where the
// wait for a slot begins to exceed the round trip of 11 ms for some calls, and for another
// region at 0.9 of the slots of the region, where most calls wait.
const DefaultDistanceCost = 0.1

// Sample is what one call showed of its server.
type Sample struct {
	// Load is the number of calls in progress, including those that wait, at the end of
	// the call; negative if the server did not say.
	Load int
	// Took is the time from the choice to the answer without the transit; zero if that
	// is not known.
	Took time.Duration
}

// Record is a sum of samples in which older ones have less weight.
type Record struct {
	// Loads and Load are the number of the samples of the load and their sum. Calls and
	// Seconds are the number of the samples of the speed and their sum.
	Loads, Load, Calls, Seconds float64
}

func (r Record) add(other Record) Record {
	return Record{r.Loads + other.Loads, r.Load + other.Load, r.Calls + other.Calls, r.Seconds + other.Seconds}
}

func (r Record) times(load, speed float64) Record {
	return Record{r.Loads * load, r.Load * load, r.Calls * speed, r.Seconds * speed}
}

// WithUnfinished adds a call that has not ended after some time.
func (r Record) WithUnfinished(after time.Duration) Record {
	return r.add(Record{Calls: 1, Seconds: after.Seconds()})
}

// decays returns the factors by which the weights of samples of the load and of the speed
// fall in some time.
func decays(d time.Duration) (load, speed float64) {
	return math.Exp(-d.Seconds() / loadDecay.Seconds()), math.Exp(-d.Seconds() / speedDecay.Seconds())
}

// aged returns the record after some time.
func (r Record) aged(d time.Duration) Record {
	if r == (Record{}) {
		return r
	}
	return r.times(decays(d))
}

// minWeight is the weight, in samples, below which a record is dropped.
const minWeight = 0.02

func (r Record) negligible() bool { return r.Loads+r.Calls < minWeight }

// Records holds the records of servers.
type Records map[mangomodel.ServerID]Record

// Aged returns the records after some time. They are rounded, since messages hold five bytes
// of a number with seven digits and nine of one with more.
func (l Records) Aged(d time.Duration) Records {
	round := func(x float64) float64 { return float64(float32(x)) }
	list := make(Records, len(l))
	for id, r := range l {
		r = r.aged(d)
		list[id] = Record{round(r.Loads), round(r.Load), round(r.Calls), round(r.Seconds)}
	}
	return list
}

// Table holds what a daemon knows of the servers.
type Table struct {
	self         mangomodel.Holder
	distanceCost float64
	own, shared  map[mangomodel.ServerID]entry
	// credits hold by how many calls each server is behind its share.
	credits map[mangomodel.ServerID]float64
}

// entry is a record at a time.
type entry struct {
	Record
	at time.Time
}

func (e entry) now(now time.Time) Record { return e.aged(max(now.Sub(e.at), 0)) }

// New returns the empty table of a daemon. distanceCost is the cost of a step of distance,
// as an increase of load.
func New(self mangomodel.Holder, distanceCost float64) *Table {
	return &Table{
		self: self, distanceCost: distanceCost, own: make(map[mangomodel.ServerID]entry), shared: make(map[mangomodel.ServerID]entry),
		credits: make(map[mangomodel.ServerID]float64),
	}
}

// Record adds what an own call showed.
func (t *Table) Record(id mangomodel.ServerID, s Sample, now time.Time) {
	r := t.own[id].now(now)
	if s.Load >= 0 {
		r = r.add(Record{Loads: 1, Load: float64(s.Load)})
	}
	if s.Took > 0 {
		r = r.add(Record{Calls: 1, Seconds: s.Took.Seconds()})
	}
	t.own[id] = entry{r, now}
}

// Forget removes what is known of a server that has restarted or is no longer listed.
func (t *Table) Forget(id mangomodel.ServerID) {
	delete(t.own, id)
	delete(t.shared, id)
	delete(t.credits, id)
}

// Report returns what the own calls of the last seconds showed.
func (t *Table) Report(now time.Time) Records {
	list := make(Records)
	for id, e := range t.own {
		if r := e.now(now); r.negligible() {
			delete(t.own, id)
		} else {
			list[id] = r
		}
	}
	return list
}

// SetShared replaces what all daemons have reported of some servers.
func (t *Table) SetShared(list Records, now time.Time) {
	maps.DeleteFunc(t.shared, func(_ mangomodel.ServerID, e entry) bool { return e.now(now).negligible() })
	for id, r := range list {
		t.shared[id] = entry{r, now}
	}
}

// Candidate is a server that may get a call.
type Candidate struct {
	ID    mangomodel.ServerID
	Slots mangomodel.Slots
	// Distance is the number of steps from the daemon to the server.
	Distance int
	// Own is the number of the daemon's own calls in progress there, and Oldest the time
	// since the oldest one began.
	Own    int
	Oldest time.Duration
}

// Estimate is the estimated present state of a server.
type Estimate struct {
	// Load is the number of calls in progress, as a share of the slots.
	Load float64
	// Took is the time that a call takes.
	Took time.Duration
	// Share is the server's share of the daemon's next calls.
	Share float64
	// Age is the time since the last figure of the server was received; zero if there is
	// none.
	Age time.Duration
}

// Choose returns the index of the server for the next call, with the estimates of all
// candidates, or -1 if there are none.
//
// Each server gets its share of the daemon's calls in turn, and daemons begin at different
// servers. So two daemons with the same figures choose different servers, and the calls of
// many daemons vary less than random choices would.
func (t *Table) Choose(list []Candidate, now time.Time) (int, []Estimate) {
	estimates := t.estimate(list, now)
	t.setShares(list, estimates)
	best, most := -1, math.Inf(-1)
	for i, c := range list {
		if estimates[i].Share == 0 {
			continue
		}
		credit, ok := t.credits[c.ID]
		if !ok {
			phase := float64(xxhash.Sum64String(string(t.self.Daemon)+"/"+string(c.ID))) / math.MaxUint64
			credit = estimates[i].Share * (phase - 1)
		}
		credit = min(credit+estimates[i].Share, maxCredit)
		t.credits[c.ID] = credit
		// Own calls are the only figure that is never old.
		if credit -= float64(c.Own) / float64(max(c.Slots, 1)); credit > most {
			best, most = i, credit
		}
	}
	if best >= 0 {
		t.credits[list[best].ID]--
	}
	return best, estimates
}

// estimate returns the load and the speed of each candidate.
func (t *Table) estimate(list []Candidate, now time.Time) []Estimate {
	records := make([]Record, len(list))
	var all Record
	slots := 0.0
	for i, c := range list {
		records[i] = t.own[c.ID].now(now).add(t.shared[c.ID].now(now))
		n := float64(max(c.Slots, 1))
		slots += n
		all = all.add(records[i])
	}
	estimates := make([]Estimate, len(list))
	meanLoad := all.Load / (all.Loads + minWeight) * float64(len(list)) / max(slots, 1)
	meanTook := (all.Seconds + minWeight*unknownTook.Seconds()) / (all.Calls + minWeight)
	for i, c := range list {
		r, n := records[i], float64(max(c.Slots, 1))
		load := (r.Load/n + priorWeight*meanLoad) / (r.Loads + priorWeight)
		took := (r.Seconds + priorWeight*meanTook) / (r.Calls + priorWeight)
		// A call that takes longer than usual shows that the server has become slow before
		// its end does.
		took = max(took, overdue*c.Oldest.Seconds())
		estimates[i] = Estimate{Load: max(load, float64(c.Own)/n), Took: time.Duration(took * float64(time.Second)), Age: t.age(c.ID, now)}
	}
	return estimates
}

// age returns the time since the last figure of a server was received; zero if there is none.
func (t *Table) age(id mangomodel.ServerID, now time.Time) time.Duration {
	at := t.own[id].at
	if shared := t.shared[id].at; shared.After(at) {
		at = shared
	}
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// setShares sets the shares of the candidates, nearer ones first.
func (t *Table) setShares(list []Candidate, estimates []Estimate) {
	mean := 0.0
	for _, e := range estimates {
		mean += e.Took.Seconds() / float64(len(estimates))
	}
	left := 1.0
	for distance, next := nextDistance(list, -1), 0; distance >= 0 && left > 0; distance = next {
		next = nextDistance(list, distance)
		sum, load, slots := 0.0, 0.0, 0.0
		for i, c := range list {
			if c.Distance == distance {
				n := float64(max(c.Slots, 1))
				estimates[i].Share = n * weight(estimates[i].Took.Seconds(), mean)
				sum += estimates[i].Share
				load, slots = load+n*estimates[i].Load, slots+n
			}
		}
		kept := 1.0
		if next >= 0 {
			kept = 1 - (load/slots-leaveLoad-t.distanceCost*float64(next-distance))/leaveRange
		}
		kept = left * min(max(kept, minShare), 1)
		left -= kept
		for i, c := range list {
			if c.Distance == distance {
				estimates[i].Share *= kept / sum
			}
		}
	}
}

// nextDistance returns the smallest distance of the candidates above a given one, or -1.
func nextDistance(list []Candidate, above int) int {
	next := -1
	for _, c := range list {
		if c.Distance > above && (next < 0 || c.Distance < next) {
			next = c.Distance
		}
	}
	return next
}

// weight returns the share of a slot of a server that takes some time for a call, where all
// take mean, up to a factor.
func weight(took, mean float64) float64 {
	w := 1 / took
	if x := took / (slowRatio * mean); x > 1 {
		w /= math.Pow(x, slowExponent)
	}
	return w
}
