package mangotraffic

import "mangolane/core/mangomodel"

// Priority returns the rank of a workspace's calls on a route: the priority of the
// workspace if it has one, else that of the route. It reports false if neither is
// configured.
func (r *Routing) Priority(route RouteName, id mangomodel.WorkspaceID) (Priority, bool) {
	if p, ok := r.workspacePriority(id); ok {
		return p, true
	}
	for i := range r.routes {
		if r.routes[i].Name == route {
			return r.routes[i].Priority, true
		}
	}
	return 0, false
}

// CallPriority returns the rank of a call on a route. The workspace is that of the call's
// key if the call has none yet.
func (r *Routing) CallPriority(route *Route, call *Call) Priority {
	id := call.Workspace
	if id == "" && call.HasKey && r.Workspaces != nil {
		if w, ok := r.Workspaces.ByKey(call.Key); ok {
			id = w.ID
		}
	}
	if p, ok := r.Priority(route.Name, id); ok {
		return p
	}
	return route.Priority
}

func (r *Routing) workspacePriority(id mangomodel.WorkspaceID) (Priority, bool) {
	if r.Workspaces == nil || id == "" {
		return 0, false
	}
	w, ok := r.Workspaces.ByID(id)
	if !ok || !w.HasPriority {
		return 0, false
	}
	return Priority(w.Priority), true
}
