// Package mangofair implements a queue in which workspaces share a service
// fairly.
//
// A [Clock] holds the decision: which flow has received how much of the service. A
// [Queue] is a start-time fair queue: demands of one workspace are served in
// order, and workspaces share the service in proportion to their weights.
// Prioritized demands, such as resumed ones, are served before the other demands
// of their workspace, and a workspace whose first demand is prioritized is served
// before the workspaces without one.
//
// # Usage
//
//	q := mangofair.New[*waiter]()
//	q.Push(w)
//	for _, w := range q.Ordered() { ... }
//	q.MarkServed(w)
//
// The start-time tags follow Goyal, Vin and Cheng, "Start-time Fair Queueing"
// (1996).
package mangofair

import (
	"cmp"
	"slices"

	"mangolane/core/mangomodel"
)

// Demand is an element of a Queue.
type Demand interface {
	comparable
	// Workspace returns the workspace that the demand belongs to.
	Workspace() mangomodel.WorkspaceID
	// Cost returns the service that the demand takes, in a unit common to all
	// demands of the queue, and Weight the share of its workspace.
	Cost() float64
	Weight() int
	// Prioritized reports whether the demand is served before the demands of its
	// workspace that are not prioritized, and its workspace before others.
	Prioritized() bool
	// Inactive reports whether the demand no longer waits.
	Inactive() bool
	// Arrival returns the tie-breaker between demands of equal priority and tag.
	Arrival() Arrival
}

// Arrival orders demands by time and then by id.
type Arrival struct {
	Nanoseconds int64
	Grant       mangomodel.GrantID
}

// Compare orders arrivals by time and then by grant id, as [cmp.Compare] does.
func (a Arrival) Compare(other Arrival) int {
	return cmp.Or(cmp.Compare(a.Nanoseconds, other.Nanoseconds), a.Grant.Compare(other.Grant))
}

// Queue is a start-time fair queue.
type Queue[D Demand] struct {
	flows map[mangomodel.WorkspaceID]*flow[D]
	clock Clock[mangomodel.WorkspaceID]
}

// flow holds the demands of one workspace.
type flow[D Demand] struct {
	demands []D
	// finishTag is the flow's finish tag at the last call of Ordered.
	finishTag float64
}

// New returns an empty queue.
func New[D Demand]() Queue[D] {
	return Queue[D]{flows: make(map[mangomodel.WorkspaceID]*flow[D]), clock: NewClock[mangomodel.WorkspaceID]()}
}

// Push adds a demand behind the demands of its workspace that have the same
// priority.
func (q *Queue[D]) Push(d D) {
	f, ok := q.flows[d.Workspace()]
	if !ok {
		f = &flow[D]{}
		q.flows[d.Workspace()] = f
	}
	q.clock.Join(d.Workspace())
	f.demands = append(f.demands, d)
	slices.SortStableFunc(f.demands, comparePriority[D])
}

// MarkServed removes a demand and charges its cost to its workspace.
func (q *Queue[D]) MarkServed(d D) {
	f := q.flows[d.Workspace()]
	f.demands = slices.DeleteFunc(f.demands, func(other D) bool { return other == d })
	q.clock.Serve(d.Workspace(), d.Cost(), d.Weight())
}

// Len returns the number of demands that are not inactive.
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

// Ordered returns the waiting demands in the order in which they are to be
// served: workspaces whose first demand is prioritized, then the others, both in
// order of their tags. The demands of each workspace follow each other as one
// block, in their order. It removes inactive demands.
func (q *Queue[D]) Ordered() []D {
	flows := make([]*flow[D], 0, len(q.flows))
	for id, f := range q.flows {
		f.demands = slices.DeleteFunc(f.demands, D.Inactive)
		if len(f.demands) > 0 {
			f.finishTag = q.clock.Finish(id)
			flows = append(flows, f)
			continue
		}
		if q.clock.Leave(id) {
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

// compare orders flows by the priority of their first demand, then by tag and
// then by arrival. The order does not depend on map iteration order.
func (f *flow[D]) compare(other *flow[D]) int {
	a, b := f.demands[0], other.demands[0]
	return cmp.Or(comparePriority(a, b), cmp.Compare(f.finishTag, other.finishTag), a.Arrival().Compare(b.Arrival()))
}

// comparePriority orders prioritized demands before others.
func comparePriority[D Demand](a, b D) int {
	switch {
	case a.Prioritized() == b.Prioritized():
		return 0
	case a.Prioritized():
		return -1
	default:
		return 1
	}
}
