package mangotraffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

// Routing is one immutable revision of the routes and services.
type Routing struct {
	Revision mangomodel.Revision
	Limits   Limits
	// Workspaces is nil if the configuration has no workspaces; calls then need no key.
	Workspaces *mangoworkspace.Directory
	// Problems are the entries that are not used. Only the daemon that has read the
	// configuration knows them.
	Problems []mangoworkspace.Problem

	routes []Route
	// byHost holds each host's routes, longest prefix first.
	byHost   map[HostName][]*Route
	services map[ServiceName]*Service
}

// NewRouting returns a validated Routing. A route that has an invalid prefix, an
// unknown service or no target invalidates the whole revision.
func NewRouting(rev mangomodel.Revision, routes []Route, services []Service, limits Limits, opts ...RoutingOption) (*Routing, error) {
	r := &Routing{
		Revision: rev, Limits: limits, routes: routes,
		byHost:   make(map[HostName][]*Route),
		services: make(map[ServiceName]*Service, len(services)),
	}
	for i := range services {
		r.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		if err := r.addRoute(&routes[i]); err != nil {
			return nil, err
		}
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, opt := range opts {
		opt(r)
	}
	return r, nil
}

// RoutingOption configures a Routing.
type RoutingOption func(*Routing)

// WithWorkspaces sets the workspaces. Every route that is not public then needs a key.
func WithWorkspaces(d *mangoworkspace.Directory) RoutingOption {
	return func(r *Routing) { r.Workspaces = d }
}

// WithProblems sets the entries of the configuration that are not used.
func WithProblems(problems []mangoworkspace.Problem) RoutingOption {
	return func(r *Routing) { r.Problems = problems }
}

func (r *Routing) addRoute(route *Route) error {
	if !strings.HasPrefix(string(route.Prefix), "/") || !strings.HasSuffix(string(route.Prefix), "/") {
		return invalidFault("route %s: prefix %q must begin and end with a slash", route.Name, route.Prefix)
	}
	if len(route.Targets) == 0 {
		return invalidFault("route %s: no target service", route.Name)
	}
	for _, t := range route.Targets {
		if _, ok := r.services[t.Service]; !ok {
			return invalidFault("route %s: unknown service %q", route.Name, t.Service)
		}
	}
	r.byHost[route.Host] = append(r.byHost[route.Host], route)
	return nil
}

// Match returns the route of a host that has the longest matching path prefix.
func (r *Routing) Match(host HostName, path string) (*Route, bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, string(route.Prefix)) {
			return route, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (r *Routing) Service(name ServiceName) (*Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Timeouts returns the longest timeout of the routes to each service; none is that of routes
// without one.
func (r *Routing) Timeouts(none time.Duration) map[ServiceName]time.Duration {
	longest := make(map[ServiceName]time.Duration)
	for i := range r.routes {
		for _, t := range r.routes[i].Targets {
			longest[t.Service] = max(longest[t.Service], cmp.Or(r.routes[i].Timeout, none))
		}
	}
	return longest
}

// Pick returns the target that a call's hash selects by weight. The same hash
// always selects the same target of a route.
func (r *Route) Pick(hash uint64) ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	left := int(hash % uint64(total))
	for _, t := range r.Targets {
		left -= max(t.Weight, 0)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

func invalidFault(format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeInvalid, mangomodel.RunNot, format, args...)
}

// Document is a revision in the form in which daemons exchange it.
type Document struct {
	Revision mangomodel.Revision
	Routes   []Route
	Services []Service
	Limits   Limits
	// Restricted is set if the configuration has workspaces, of which none may be left.
	Restricted bool
	Workspaces []mangoworkspace.Workspace
}

// Document returns the revision as a Document.
func (r *Routing) Document() *Document {
	d := &Document{Revision: r.Revision, Routes: r.routes, Limits: r.Limits}
	for _, s := range r.services {
		d.Services = append(d.Services, *s)
	}
	if r.Workspaces != nil {
		d.Restricted, d.Workspaces = true, r.Workspaces.All()
	}
	return d
}

// Routing validates the document and returns its Routing.
func (d *Document) Routing(opts ...RoutingOption) (*Routing, error) {
	if d.Restricted {
		// The daemon that read the configuration has reported its problems.
		directory, _ := mangoworkspace.NewDirectory(d.Workspaces)
		opts = append(opts, WithWorkspaces(directory))
	}
	return NewRouting(d.Revision, d.Routes, d.Services, d.Limits, opts...)
}
