package mangoshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoqueue"
	"mangolane/core/mangotraffic"
)

// Waiter is an element of a queue.
type Waiter interface {
	Pending() *mangolease.PendingDemand
}

// Sort sorts the queued demands of all services into the order in which they are to be
// granted, and records their places. The order of a queue without shared demands is that
// of package mangoqueue.
func Sort[W Waiter](s *Shares, queue []W, now time.Time) {
	if !slices.ContainsFunc(queue, func(w W) bool { return w.Pending().Demand.Shared() }) {
		slices.SortStableFunc(queue, func(a, b W) int { return mangoqueue.Compare(a.Pending(), b.Pending(), now) })
		s.resetWaits(nil)
		return
	}
	items := make([]item, len(queue))
	for i, w := range queue {
		items[i] = newItem(w.Pending(), i, now)
	}
	slices.SortFunc(items, item.compareWithin)
	tags := newTags(s, now)
	for i := range items {
		items[i].lead = tags.place(queue[items[i].index].Pending(), items[i].cost)
	}
	slices.SortFunc(items, item.compare)
	last := slices.Clone(queue)
	for i := range items {
		queue[i] = last[items[i].index]
	}
	reserve(s, queue, now)
}

// item is what decides the order of an element of a queue. It is computed once for an
// element, and has no pointers, since most of the time of a sort goes into copies of items.
type item struct {
	// urgency is smaller for demands with a computed KV cache, then for those on time, then
	// for those of a more urgent rank.
	urgency int64
	// lead is the demand's lead once it has its place.
	lead     float64
	cost     float64
	age      time.Duration
	returned bool
	// index keeps equal demands in their order.
	index int
}

func newItem(p *mangolease.PendingDemand, index int, now time.Time) item {
	urgency := int64(min(max(p.Demand.Priority, 0), math.MaxInt32))
	const late, withoutCache = 1 << 33, 1 << 34
	if p.Late(now) {
		urgency |= late
	}
	if !p.Demand.Prefilled {
		urgency |= withoutCache
	}
	return item{urgency: urgency, cost: mangoqueue.Cost(p.Demand.Generation), age: now.Sub(p.ArrivedAt), returned: p.Place.Returned, index: index}
}

// compareRest orders equally urgent demands of workspaces that are equally due.
func (a item) compareRest(b item) int {
	switch {
	case a.returned != b.returned:
		return mangomodel.TrueFirst(a.returned, b.returned)
	case a.cost != b.cost:
		return cmp.Compare(a.cost, b.cost)
	case a.age != b.age:
		return cmp.Compare(b.age, a.age)
	}
	return cmp.Compare(a.index, b.index)
}

// compareWithin orders the demands of one workspace.
func (a item) compareWithin(b item) int {
	if a.urgency != b.urgency {
		return cmp.Compare(a.urgency, b.urgency)
	}
	return a.compareRest(b)
}

// compare orders the demands of all workspaces once they have their places. Clients that
// return go after the workspaces' shares: otherwise a workspace whose burst was refused
// would go before the others with all that returns. Demands of different services do not
// compete, so that it does not matter how they are ordered.
func (a item) compare(b item) int {
	if a.urgency == b.urgency && a.lead != b.lead {
		return cmp.Compare(a.lead, b.lead)
	}
	return a.compareWithin(b)
}

// flowKey identifies what a workspace gets of a service in one rank.
type flowKey struct {
	service   mangotraffic.ServiceName
	priority  mangotraffic.Priority
	workspace mangomodel.WorkspaceID
}

// tags gives each demand of a queue the start tag that it will have if all demands of its
// workspace before it are granted.
type tags struct {
	shares *Shares
	now    time.Time
	next   map[flowKey]float64
}

func newTags(s *Shares, now time.Time) *tags {
	return &tags{shares: s, now: now, next: make(map[flowKey]float64)}
}

// place records the place of a demand and returns its lead. The demands before it in its
// workspace have their places. One with a computed KV cache is not charged again.
func (t *tags) place(p *mangolease.PendingDemand, cost float64) float64 {
	d := &p.Demand
	p.Place = mangolease.Place{Priority: d.Priority, Returned: p.Place.Returned}
	if !d.Shared() || d.Prefilled {
		return 0
	}
	r := t.shares.service(d.Service).rank(d.Priority, t.now)
	key := flowKey{d.Service, d.Priority, d.Workspace}
	start, ok := t.next[key]
	if !ok {
		start = r.clock.Start(d.Workspace)
	}
	t.next[key] = start + charge(cost)
	p.Place.Lead = start - r.clock.Now()
	return p.Place.Lead
}

// reserve moves less urgent demands that are on time forward so that of basicShare grants of a service one
// goes to them.
func reserve[W Waiter](s *Shares, queue []W, now time.Time) {
	byService := make(map[mangotraffic.ServiceName][]int)
	for i, w := range queue {
		if d := &w.Pending().Demand; d.Shared() && !d.Prefilled {
			byService[d.Service] = append(byService[d.Service], i)
		}
	}
	s.resetWaits(byService)
	for name, indexes := range byService {
		list := make([]W, len(indexes))
		for k, i := range indexes {
			list[k] = queue[i]
		}
		for k, w := range reserveOne(s.service(name), list, s.basicShare, now) {
			queue[indexes[k]] = w
		}
	}
}

// resetWaits records that nothing waits for the services that have no queued demands. Their
// ranks are compared by what happens from the next wait on.
func (s *Shares) resetWaits(queued map[mangotraffic.ServiceName][]int) {
	for name, x := range s.services {
		if len(queued[name]) == 0 {
			x.waits, x.passed = false, 0
			for _, r := range x.ranks {
				r.arrived, r.granted = 0, 0
			}
		}
	}
}

// reserveOne returns the shared demands of one service with the less urgent ones moved
// forward.
func reserveOne[W Waiter](x *service, list []W, basicShare int, now time.Time) []W {
	x.top = slices.MinFunc(list, comparePriority[W]).Pending().Demand.Priority
	basic := make(map[mangotraffic.Priority][]W)
	for _, w := range list {
		// An overdue demand needs more free slots than others, or one build, and would hold up
		// those behind it.
		if p := w.Pending(); p.Demand.Priority > x.top && !p.Overdue(now) {
			basic[p.Demand.Priority] = append(basic[p.Demand.Priority], w)
		}
	}
	if x.waits = len(basic) > 0; !x.waits {
		x.passed = 0
		return list
	}
	turns := x.turns(waitingRanks(basic), now)
	out := make([]W, 0, len(list))
	moved := make(map[*mangolease.PendingDemand]bool)
	passed := x.passed
	for _, w := range list {
		p := w.Pending()
		if moved[p] {
			continue
		}
		if rank := p.Demand.Priority; rank > x.top {
			if !p.Overdue(now) {
				basic[rank] = basic[rank][1:]
			}
			passed = 0
			out = append(out, w)
			continue
		}
		if passed >= basicShare-1 {
			if rank, ok := turns.next(func(r mangotraffic.Priority) bool { return len(basic[r]) > 0 }); ok {
				first := basic[rank][0]
				basic[rank] = basic[rank][1:]
				first.Pending().Place.Reserved = true
				moved[first.Pending()] = true
				out = append(out, first)
				passed = 0
			}
		}
		out = append(out, w)
		passed++
	}
	return out
}

func comparePriority[W Waiter](a, b W) int {
	return cmp.Compare(a.Pending().Demand.Priority, b.Pending().Demand.Priority)
}

// waitingRanks returns the ranks of demands.
func waitingRanks[W any](basic map[mangotraffic.Priority][]W) []mangotraffic.Priority {
	list := make([]mangotraffic.Priority, 0, len(basic))
	for p := range basic {
		list = append(list, p)
	}
	slices.Sort(list)
	return list
}

// turns decides which of the less urgent ranks gets the next reserved grant: the one whose
// last grant is the longest ago.
type turns struct {
	ranks []mangotraffic.Priority
	last  map[mangotraffic.Priority]uint64
	// due is how many grants a rank may still get.
	due map[mangotraffic.Priority]int
	end uint64
}

// turns returns the turns of the ranks that are served less often than the most urgent
// one. The others need no reserved grants, and urgent calls must not be served less often
// than they are.
func (x *service) turns(ranks []mangotraffic.Priority, now time.Time) *turns {
	t := &turns{last: make(map[mangotraffic.Priority]uint64), due: make(map[mangotraffic.Priority]int), end: x.grants}
	urgent := x.rank(x.top, now).served(now)
	for _, p := range ranks {
		r := x.rank(p, now)
		if due := r.due(urgent, now); due > 0 {
			t.ranks = append(t.ranks, p)
			t.last[p], t.due[p] = r.turn, due
		}
	}
	return t
}

// next returns the rank that has the next turn among those with waiting demands.
func (t *turns) next(waits func(mangotraffic.Priority) bool) (mangotraffic.Priority, bool) {
	best, found := mangotraffic.Priority(0), false
	for _, p := range t.ranks {
		if t.due[p] > 0 && waits(p) && (!found || t.last[p] < t.last[best]) {
			best, found = p, true
		}
	}
	if found {
		t.end++
		t.last[best] = t.end
		t.due[best]--
	}
	return best, found
}

// decay returns the weight of counts of an age.
func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / servedWindow.Seconds()) }
