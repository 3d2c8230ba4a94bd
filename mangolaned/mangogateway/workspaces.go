package mangogateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"mangolane/core/mangomodel"
)

const (
	// maxNamedWorkspaces is the number of workspaces whose counts are exported by name.
	maxNamedWorkspaces = 64
	// maxCountedWorkspaces bounds the workspaces that are counted by name. Configurations
	// have a few hundred; names of many revisions must not fill the memory.
	maxCountedWorkspaces = 1024
	// otherWorkspaces is the name under which the rest is exported.
	otherWorkspaces = "Other"
)

// workspaceCounts counts calls by workspace and outcome. Calls on all traffic goroutines
// share it, so a lock guards it.
type workspaceCounts struct {
	mu     sync.Mutex
	counts map[mangomodel.WorkspaceID]map[string]int64
	other  map[string]int64
}

func newWorkspaceCounts() *workspaceCounts {
	return &workspaceCounts{counts: make(map[mangomodel.WorkspaceID]map[string]int64), other: make(map[string]int64)}
}

// add counts a call. One without a workspace is not counted.
func (w *workspaceCounts) add(id mangomodel.WorkspaceID, outcome string) {
	if id == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list, ok := w.counts[id]
	if !ok {
		if len(w.counts) >= maxCountedWorkspaces {
			w.other[outcome]++
			return
		}
		list = make(map[string]int64)
		w.counts[id] = list
	}
	list[outcome]++
}

// registry returns counters of the workspaces with the most calls, and of all others
// together.
func (w *workspaceCounts) registry() gometrics.Registry {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := gometrics.NewRegistry()
	ids := slices.SortedFunc(maps.Keys(w.counts), func(a, b mangomodel.WorkspaceID) int {
		return cmp.Or(cmp.Compare(sum(w.counts[b]), sum(w.counts[a])), cmp.Compare(a, b))
	})
	export := func(name string, list map[string]int64) {
		for outcome, n := range list {
			gometrics.GetOrRegisterCounter("Workspaces."+name+"."+outcome, r).Inc(n)
		}
	}
	for i, id := range ids {
		if i < maxNamedWorkspaces {
			export(string(id), w.counts[id])
			continue
		}
		export(otherWorkspaces, w.counts[id])
	}
	export(otherWorkspaces, w.other)
	return r
}

func sum(counts map[string]int64) int64 {
	var n int64
	for _, c := range counts {
		n += c
	}
	return n
}
