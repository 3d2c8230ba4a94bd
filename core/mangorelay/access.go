package mangorelay

import (
	"math/rand/v2"
	"strings"
	"time"

	"mangolane/core/mangoaccess"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// otherDaemonDelay is after how long at least a client may return that is refused for a
// configuration that is not confirmed. Its retry reaches another daemon, so that it need
// not wait for this one. A random part of up to the same length keeps clients that were
// refused together from returning together.
const otherDaemonDelay = 100 * time.Millisecond

// CheckAccess refuses a call whose key the configuration in force does not know, as Serve
// does. A front end that calls it first need not read the body of such a call.
func (r *Relay) CheckAccess(call *mangotraffic.Call) error {
	view := r.fleet.View()
	if view.Routing == nil || view.Routing.Workspaces == nil {
		return nil
	}
	route, ok := matchRoute(view, call)
	if !ok {
		return nil
	}
	_, err := decideAccess(view, route, call)
	if err != nil {
		r.observer.CallFinished(mangoexchange.Result{
			Call: call, Route: route, Revision: view.Routing.Revision, Took: time.Since(call.Arrived),
			EndedBy: mangoexchange.EndAdmission, Err: err,
		})
	}
	return err
}

// authorise determines the workspace of the call, and with it the fingerprint, with the
// configuration in force, or refuses the call.
func (j *job) authorise(view *mangofleet.View, route *mangotraffic.Route) error {
	d, err := decideAccess(view, route, j.call)
	if err != nil {
		j.result.EndedBy = mangoexchange.EndAdmission
		return err
	}
	if d.Restricted {
		j.call.Restricted, j.call.Workspace = true, d.Workspace
		j.call.Priority = view.Routing.CallPriority(route, j.call)
	}
	// Otherwise a call that was restricted before stays so: its key must not be forwarded
	// because the workspaces were removed while it waited.
	j.call.Identify()
	return nil
}

func decideAccess(view *mangofleet.View, route *mangotraffic.Route, call *mangotraffic.Call) (mangoaccess.Decision, error) {
	age, maxAge := view.RoutingAge(time.Now())
	d, err := mangoaccess.Decide(mangoaccess.Request{
		Routing: view.Routing, Route: route, Key: call.Key, HasKey: call.HasKey, Age: age, MaxAge: maxAge,
	})
	if !mangomodel.HasCode(err, mangomodel.CodeUnavailable) {
		return d, err
	}
	f := *mangomodel.AsFault(err, mangomodel.StepAuthorise)
	f.RetryAfter = otherDaemonDelay + rand.N(otherDaemonDelay)
	if !call.Deadline.IsZero() {
		f.RetryAfter = min(f.RetryAfter, time.Duration(maxRetryAfterShare*float64(time.Until(call.Deadline))))
	}
	return d, &f
}

// checkAccess determines the workspace anew before the call is sent. A stream that the
// client receives already continues whatever becomes of its key.
func (j *job) checkAccess() error {
	if j.headSent {
		return nil
	}
	view, route := j.relay.fleet.View(), j.route
	if current, ok := matchRoute(view, j.call); ok {
		route = current
	}
	return j.authorise(view, route)
}

// matchRoute returns the route of a call in the configuration in force.
func matchRoute(view *mangofleet.View, call *mangotraffic.Call) (*mangotraffic.Route, bool) {
	path, _, _ := strings.Cut(call.Target, "?")
	return view.Routing.Match(call.Host, path)
}
