// Package mangofair queues demands so that workspaces share a service fairly.
//
// A [Queue] is a start-time fair queue: demands of one workspace are served in
// order, and workspaces share the service in proportion to their weights.
// Demands that go first among all, such as resumed ones, go before that order.
//
// # Usage
//
//	q := mangofair.New[*waiter]()
//	q.Push(w)
//	for _, w := range q.Ordered() { ... }
//	q.Served(w)
//
// The start-time tags follow Goyal, Vin and Cheng, "Start-time Fair Queueing"
// (1996).
package mangofair

import (
	"cmp"
	"slices"

	"mangolane/core/mangomodel"
)

// Demand is what a Queue holds.
type Demand interface {
	comparable
	// Workspace is whose demand it is.
	Workspace() mangomodel.WorkspaceID
	// Cost is the service that it takes, in any unit, and Weight the share of
	// its workspace.
	Cost() float64
	Weight() int
	// Prioritized is set for demands that go before all others.
	Prioritized() bool
	// Inactive is set for demands that no longer wait.
	Inactive() bool
	// Arrival orders demands that the queue has no preference between.
	Arrival() Arrival
}

// Arrival orders demands by time and then by id.
type Arrival struct {
	Nanoseconds int64
	Grant       mangomodel.GrantID
}

// Compare orders arrivals.
func (a Arrival) Compare(other Arrival) int {
	return cmp.Or(cmp.Compare(a.Nanoseconds, other.Nanoseconds), a.Grant.Compare(other.Grant))
}

// Queue is a start-time fair queue.
type Queue[D Demand] struct {
	flows map[mangomodel.WorkspaceID]*flow[D]
	// virtual is the start tag of the demand served last.
	virtual float64
}

// flow is one workspace's demands.
type flow[D Demand] struct {
	demands []D
	// finish is the tag at which the flow's last served demand ends.
	finish float64
}

// New returns an empty queue.
func New[D Demand]() Queue[D] {
	return Queue[D]{flows: make(map[mangomodel.WorkspaceID]*flow[D])}
}

// Push adds a demand.
func (q *Queue[D]) Push(d D) {
	f, ok := q.flows[d.Workspace()]
	if !ok {
		f = &flow[D]{finish: q.virtual}
		q.flows[d.Workspace()] = f
	}
	f.demands = append(f.demands, d)
	slices.SortStableFunc(f.demands, compareFirst[D])
}

// Served removes a demand and charges its workspace.
func (q *Queue[D]) Served(d D) {
	f := q.flows[d.Workspace()]
	f.demands = slices.DeleteFunc(f.demands, func(other D) bool { return other == d })
	q.virtual = max(q.virtual, f.finish)
	f.finish = q.virtual + d.Cost()/float64(max(d.Weight(), 1))
}

// Len counts the demands that still wait.
func (q *Queue[D]) Len() int {
	n := 0
	for _, f := range q.flows {
		for _, d := range f.demands {
			if !d.Inactive() {
				n++
			}
		}
	}
	return n
}

// Ordered returns the demands that may be served next, best first: those of
// each workspace in order, workspaces in order of their tags. It forgets
// demands that no longer wait.
func (q *Queue[D]) Ordered() []D {
	flows := make([]*flow[D], 0, len(q.flows))
	for id, f := range q.flows {
		f.demands = slices.DeleteFunc(f.demands, D.Inactive)
		if len(f.demands) > 0 {
			flows = append(flows, f)
			continue
		}
		if f.finish <= q.virtual {
			delete(q.flows, id)
		}
	}
	slices.SortFunc(flows, (*flow[D]).compare)
	var demands []D
	for _, f := range flows {
		demands = append(demands, f.demands...)
	}
	return demands
}

// compare orders flows whose first demand goes first, then by tag and then by
// arrival, so that the order of the map does not matter.
func (f *flow[D]) compare(other *flow[D]) int {
	a, b := f.demands[0], other.demands[0]
	return cmp.Or(compareFirst(a, b), cmp.Compare(f.finish, other.finish), a.Arrival().Compare(b.Arrival()))
}

// compareFirst orders demands that go first before others.
func compareFirst[D Demand](a, b D) int {
	switch {
	case a.Prioritized() == b.Prioritized():
		return 0
	case a.Prioritized():
		return -1
	default:
		return 1
	}
}
