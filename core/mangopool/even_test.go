package mangopool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// The bounds of the load of point 6 of docs/design/overview.md, part 4.
const (
	// maxUneven bounds the calls in progress at the busiest server against the mean, on
	// average over the windows of 1 s.
	maxUneven = 1.3
	// maxSlower bounds the 99th percentile of the time from a call's arrival to its answer
	// against that of a choice with full knowledge. The time in the queue alone has no
	// ratio: with full knowledge it is zero at the 99th percentile below saturation.
	maxSlower = 1.5
	// maxSwing bounds how much the share of calls that leave an overloaded data centre
	// varies between windows of 1 s: more is an oscillation.
	maxSwing = 0.3
	// maxEarly bounds the share of calls that leave data centres with free slots.
	maxEarly = 0.01
)

const (
	evenSlots, evenQueue = 6, 24
	// evenWork is the mean work of a call, which is exponentially distributed.
	evenWork    = 15 * time.Millisecond
	evenTimeout = 800 * time.Millisecond
	// slowFactor is how much longer work takes on a slow host; the hosts that are slow
	// change every slowPeriod.
	slowFactor, slowShare = 2.5, 0.15
	slowPeriod            = 600 * time.Millisecond
	// oneWay is the transit time between data centres.
	oneWay = 5400 * time.Microsecond
	// The figures cover the time from evenBegin on, a second after the event.
	evenLength, eventAt, evenBegin = 10 * time.Second, 2 * time.Second, 3 * time.Second
)

// evenLoad is one simulated load. Each of the data centres has six servers and an equal
// part of the daemons.
type evenLoad struct {
	name        string
	seed        uint64
	daemons     int
	dataCentres int
	// rate is the number of calls per second and data centre. It varies with a relative
	// amplitude and a period of 17 s, with a different phase in each data centre.
	rate, amplitude float64
	// length is longer where few calls come; the default is evenLength. At 202 calls a
	// second their random times alone make the busiest server 1.29 times as busy as the
	// mean in windows of 1 s (trial with equal servers and shares), so that the mean over
	// 10 s differs by more than what is left to the bound.
	length time.Duration
	// hot multiplies the rate of the first data centre, if it is not zero.
	hot float64
	// changing is set if each host is slow at times. No daemon can learn within a window
	// of 1 s which one is, so that maxUneven does not apply.
	changing bool
	// renewal is the interval of the messages between daemons.
	renewal time.Duration
	// cut is set if half of the daemons exchange no messages, and blind if the servers
	// report no load.
	cut, blind bool
	// event changes the servers after eventAt.
	event func(*evenSim)
	// estimated is set for the choice by estimated loads.
	estimated bool
	// full is set for a choice that knows the state of all servers.
	full bool
}

// evenServer serves up to evenSlots calls at a time, in order of arrival.
type evenServer struct {
	mangotraffic.Server
	factor, slowdown float64
	hung             bool
	running          int
	queue            []func()
	// held is the time integral of the calls in progress in the current window.
	held  float64
	since time.Time
}

func (x *evenServer) inProgress() int { return x.running + len(x.queue) }

func (x *evenServer) account(now time.Time) {
	x.held += float64(x.inProgress()) * now.Sub(x.since).Seconds()
	x.since = now
}

// evenSim is a simulation of daemons, each with a pool of its own.
type evenSim struct {
	evenLoad
	rng *rand.Rand
	// slow draws the slow hosts, which are then the same for each choice of servers.
	slow    *rand.Rand
	began   time.Time
	now     time.Time
	events  eventHeap
	servers []*evenServer
	pools   []*Pool
	calls   uint64
	// took holds the times to the answer, in seconds. Each window of 1 s adds to uneven the
	// busiest server against the mean, and to left the share of the calls of the first
	// data centre that left it: away of sent.
	took, uneven, left []float64
	away, sent         int
	failed             int
}

type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *evenSim) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.now.Add(d), run}) }

// repeat runs f periodically, from a random phase on.
func (s *evenSim) repeat(d time.Duration, f func()) {
	var next func()
	next = func() { f(); s.after(d, next) }
	s.after(time.Duration(s.rng.Float64()*float64(d)), next)
}

func dataCentre(i int) mangomodel.DataCentreID { return mangomodel.DataCentreID(rune('a' + i)) }

// runEven simulates a load.
func runEven(l evenLoad) *evenSim {
	began := time.Unix(1_000_000, 0)
	s := &evenSim{evenLoad: l, rng: rand.New(rand.NewPCG(l.seed, 11)), slow: rand.New(rand.NewPCG(l.seed, 12)), began: began, now: began}
	for i := range l.daemons {
		s.pools = append(s.pools, New(mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint("d", i))},
			map[mangomodel.DataCentreID]mangomodel.RegionID{"a": "r", "b": "r", "c": "r"}))
	}
	for i := range 6 * l.dataCentres {
		s.add(dataCentre(i%l.dataCentres), []float64{1, 1, 1 / 1.3}[i/l.dataCentres%3])
	}
	if l.estimated {
		s.estimate()
	}
	if l.changing {
		s.repeat(slowPeriod, s.changeSlow)
	}
	s.repeat(time.Second, s.endWindow)
	for i := range l.dataCentres {
		s.after(0, func() { s.arrive(i) })
	}
	if l.event != nil {
		s.after(eventAt, func() { l.event(s) })
	}
	for end := began.Add(max(l.length, evenLength)); ; {
		e := heap.Pop(&s.events).(event)
		if s.now = e.at; s.now.After(end) {
			return s
		}
		e.run()
	}
}

// estimate makes the daemons estimate the loads, and pass on what their calls showed in
// their renewals.
func (s *evenSim) estimate() {
	board := mangoload.NewBoard()
	for i, p := range s.pools {
		p.EstimateLoads(dataCentre(i%s.dataCentres), mangoload.DefaultDistanceCost)
		if s.cut && i%2 == 1 {
			continue
		}
		s.repeat(s.renewal, func() {
			list := p.LoadRecords(s.now)
			s.after(oneWay, func() {
				board.Record(p.self.Daemon, list, s.now)
				response := board.Records(s.now)
				s.after(oneWay, func() { p.SetSharedLoads(response, s.now) })
			})
		})
	}
}

// add adds a server on which work takes the given part of the usual time.
func (s *evenSim) add(dc mangomodel.DataCentreID, factor float64) *evenServer {
	x := &evenServer{Server: mangotraffic.Server{
		ID: mangomodel.ServerID(fmt.Sprintf("i-%08x", s.rng.Uint32())), Service: "plain", DataCentre: dc, Slots: evenSlots,
	}, factor: factor, slowdown: 1, since: s.now}
	s.servers = append(s.servers, x)
	for _, p := range s.pools {
		p.PutServer(x.Server)
	}
	return x
}

func (s *evenSim) changeSlow() {
	for _, x := range s.servers {
		x.slowdown = 1
		if s.slow.Float64() < slowShare {
			x.slowdown = slowFactor
		}
	}
}

func (s *evenSim) endWindow() {
	most, sum, n := 0.0, 0.0, 0.0
	for _, x := range s.servers {
		x.account(s.now)
		if !x.hung {
			most, sum, n = max(most, x.held), sum+x.held, n+1
		}
		x.held = 0
	}
	if s.now.Sub(s.began) >= evenBegin+time.Second {
		s.uneven, s.left = append(s.uneven, most/sum*n), append(s.left, float64(s.away)/float64(s.sent))
	}
	s.away, s.sent = 0, 0
}

// arrive starts a call at a random daemon of a data centre, and the next arrival.
func (s *evenSim) arrive(dc int) {
	phase := float64(dc)/float64(s.dataCentres) + s.now.Sub(s.began).Seconds()/17
	rate := s.rate * (1 + s.amplitude*math.Sin(2*math.Pi*phase))
	if dc == 0 && s.hot > 0 {
		rate *= s.hot
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(dc) })
	daemon := dc + s.dataCentres*s.rng.IntN(s.daemons/s.dataCentres)
	s.send(daemon, mangolease.Demand{Service: "plain", Origin: dataCentre(dc)}, s.now)
}

// send sends a call to a server. One without room refuses it, and it goes to another.
func (s *evenSim) send(daemon int, d mangolease.Demand, arrived time.Time) {
	s.calls++
	p, id := s.pools[daemon], mangolease.ID{Holder: s.pools[daemon].self, Number: s.calls}
	x := s.choose(p, id, d)
	if x == nil {
		s.answered(arrived, evenTimeout)
		return
	}
	transit := time.Duration(0)
	if x.DataCentre != d.Origin {
		transit = oneWay
	}
	if d.Origin == dataCentre(0) {
		s.sent++
		s.away += min(int(transit), 1)
	}
	granted := s.now
	finish := func(o mangolease.Observation) {
		o.Took = s.now.Sub(granted)
		p.Observe(o, s.now)
		p.Release(id, s.now)
		if o.Saw == mangolease.OutcomeFull {
			d.Avoid = append(d.Avoid, x.ID)
			s.send(daemon, d, arrived)
		} else {
			s.answered(arrived, s.now.Sub(arrived))
		}
	}
	answer := func(saw mangolease.Outcome) {
		load := &mangotraffic.LoadReport{Running: x.running, Waiting: len(x.queue), Slots: evenSlots}
		if s.blind {
			load = nil
		}
		s.after(transit, func() { finish(mangolease.Observation{Server: x.ID, Saw: saw, Load: load}) })
	}
	s.after(transit, func() {
		switch {
		case x.hung:
			s.after(evenTimeout-s.now.Sub(granted), func() { finish(mangolease.Observation{Server: x.ID, Saw: mangolease.OutcomeFailure}) })
		case len(x.queue) >= evenQueue:
			answer(mangolease.OutcomeFull)
		default:
			s.enqueue(x, func() { answer(mangolease.OutcomeSuccess) })
		}
	})
}

// choose returns the server of a call: that of the daemon's pool, or with full knowledge
// the one where it is expected to end first.
func (s *evenSim) choose(p *Pool, id mangolease.ID, d mangolease.Demand) *evenServer {
	if s.full {
		return slices.MinFunc(s.servers, func(a, b *evenServer) int { return int(s.expected(a, d) - s.expected(b, d)) })
	}
	if !p.Grant(mangolease.NewPendingDemand(id, d, s.now), s.now) {
		return nil
	}
	i := slices.IndexFunc(s.servers, func(x *evenServer) bool { return x.ID == p.leases[id].server })
	return s.servers[i]
}

func (s *evenSim) expected(x *evenServer, d mangolease.Demand) time.Duration {
	work := float64(evenWork) * x.factor * x.slowdown
	// The least loaded one of several free servers comes first.
	t := work*(1+max(0, float64(x.inProgress()+1-evenSlots))/evenSlots) + float64(x.inProgress())
	if x.DataCentre != d.Origin {
		t += float64(2 * oneWay)
	}
	if x.hung {
		t += float64(evenTimeout)
	}
	return time.Duration(t)
}

// enqueue runs a call at a server, at the speed that the host has when it begins.
func (s *evenSim) enqueue(x *evenServer, done func()) {
	x.account(s.now)
	if x.running == evenSlots {
		x.queue = append(x.queue, done)
		return
	}
	x.running++
	s.after(time.Duration(s.rng.ExpFloat64()*float64(evenWork)*x.factor*x.slowdown), func() {
		done()
		x.account(s.now)
		x.running--
		if len(x.queue) > 0 {
			next := x.queue[0]
			x.queue = x.queue[1:]
			s.enqueue(x, next)
		}
	})
}

func (s *evenSim) answered(arrived time.Time, took time.Duration) {
	if arrived.Sub(s.began) < evenBegin {
		return
	}
	if took >= evenTimeout {
		s.failed++
	}
	s.took = append(s.took, took.Seconds())
}

// evenResult holds the figures of a simulated load.
type evenResult struct {
	uneven, left, swing float64
	median, p99         time.Duration
	failed              int
}

func (r evenResult) String() string {
	return fmt.Sprintf("busiest/mean %.2f, median %.1f ms, p99 %.1f ms, left %.2f, swing %.2f, failed %d", r.uneven,
		r.median.Seconds()*1000, r.p99.Seconds()*1000, r.left, r.swing, r.failed)
}

func (s *evenSim) result() evenResult {
	slices.Sort(s.took)
	at := func(q float64) time.Duration {
		return time.Duration(s.took[int(q*float64(len(s.took)-1))] * float64(time.Second))
	}
	mean := func(list []float64) (sum float64) {
		for _, x := range list {
			sum += x / float64(len(list))
		}
		return sum
	}
	return evenResult{
		uneven: mean(s.uneven), left: mean(s.left), swing: slices.Max(s.left) - slices.Min(s.left),
		median: at(0.5), p99: at(0.99), failed: s.failed,
	}
}

// evenLoads are the loads of point 6. Six servers complete about 2,640 calls a second.
func evenLoads() []evenLoad {
	slow := func(s *evenSim) { s.servers[0].factor = slowFactor }
	hang := func(s *evenSim) { s.servers[0].hung = true }
	add := func(s *evenSim) { s.add("a", 1) }
	const r = 250 * time.Millisecond
	return []evenLoad{
		{name: "measured", daemons: 75, dataCentres: 1, rate: 202, amplitude: 0.55, length: 4 * evenLength, changing: true, renewal: r},
		{name: "measured, steady hosts", daemons: 75, dataCentres: 1, rate: 202, amplitude: 0.55, length: 24 * evenLength, renewal: r},
		{name: "three quarters full", daemons: 75, dataCentres: 1, rate: 1900, renewal: r},
		{name: "three quarters full, renewals of 50 ms", daemons: 75, dataCentres: 1, rate: 1900, renewal: r / 5},
		{name: "three quarters full, renewals of 500 ms", daemons: 75, dataCentres: 1, rate: 1900, renewal: 2 * r},
		{name: "300 daemons", daemons: 300, dataCentres: 1, rate: 1900, renewal: r},
		{name: "300 daemons, changing hosts", daemons: 300, dataCentres: 1, rate: 1300, changing: true, renewal: r},
		{name: "half of the daemons cut off", daemons: 300, dataCentres: 1, rate: 1900, renewal: r, cut: true},
		{name: "no load reports", daemons: 75, dataCentres: 1, rate: 1900, renewal: r, blind: true},
		{name: "server becomes slow", daemons: 75, dataCentres: 1, rate: 1500, renewal: r, event: slow},
		{name: "server added", daemons: 75, dataCentres: 1, rate: 1900, renewal: r, event: add},
		{name: "server stops responding", daemons: 75, dataCentres: 1, rate: 1300, renewal: r, event: hang},
		{name: "data centres in turn busy", daemons: 75, dataCentres: 3, rate: 1150, amplitude: 0.55, renewal: r},
		{name: "one data centre overloaded", daemons: 75, dataCentres: 3, rate: 1200, hot: 2.5, renewal: r},
	}
}

// TestCountedLoad states the figures of the choice by counted calls beside those of a
// choice with full knowledge. It guards against loads that are too light to show the fault:
// half of them must exceed a bound.
func TestCountedLoad(t *testing.T) {
	loads, exceeded := evenLoads(), 0
	for _, l := range loads {
		if l.cut || l.renewal != 250*time.Millisecond {
			// Counted loads are not passed on.
			continue
		}
		counted, full := runEven(l).result(), l.fullKnowledge()
		broken := l.broken(counted, full)
		t.Logf("%s: %v; full knowledge: %v; exceeded %v", l.name, counted, full, broken)
		exceeded += min(len(broken), 1)
	}
	if exceeded < len(loads)/2 {
		t.Errorf("%d of %d loads exceed a bound", exceeded, len(loads))
	}
}

// TestEstimatedLoad guards against servers that are overloaded in turn while others are
// idle.
func TestEstimatedLoad(t *testing.T) { testEstimated(t, false) }

// TestEstimatedLoadOfChangingHosts guards against calls that wait at hosts that are slow
// for 600 ms. It fails: see docs/design/load.md.
func TestEstimatedLoadOfChangingHosts(t *testing.T) { testEstimated(t, true) }

func testEstimated(t *testing.T, changing bool) {
	for _, l := range evenLoads() {
		if l.changing != changing {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			full := l.fullKnowledge()
			l.estimated = true
			estimated := runEven(l).result()
			t.Logf("%v; full knowledge: %v", estimated, full)
			if broken := l.broken(estimated, full); len(broken) > 0 {
				t.Errorf("exceeded %v", broken)
			}
		})
	}
}

// fullKnowledge returns the figures of the load with full knowledge.
func (l evenLoad) fullKnowledge() evenResult {
	l.full = true
	return runEven(l).result()
}

// broken returns the bounds that a result exceeds.
func (l *evenLoad) broken(r, full evenResult) []string {
	var list []string
	check := func(name string, value, bound float64) {
		if value > bound {
			list = append(list, fmt.Sprintf("%s %.2f of %.2f", name, value, bound))
		}
	}
	check("p99 ratio", r.p99.Seconds()/full.p99.Seconds(), maxSlower)
	// The load of several data centres differs.
	if !l.changing && l.dataCentres == 1 {
		check("busiest/mean", r.uneven, maxUneven)
	}
	if l.hot > 0 {
		check("swing", r.swing, maxSwing)
	} else {
		check("left early", r.left, maxEarly)
	}
	return list
}
