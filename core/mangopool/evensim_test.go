package mangopool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

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
