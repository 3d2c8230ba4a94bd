package mangorelay

import (
	"time"

	"mangolane/core/mangolease"
)

// shareDemand sets the fields of a demand by which it shares servers with the demands of
// other workspaces, and the rank that the servers receive with the call. It has no effect
// unless the configuration has workspaces.
func (j *job) shareDemand(d *mangolease.Demand) {
	if !j.call.Restricted {
		return
	}
	routing := j.relay.fleet.View().Routing
	j.call.Priority = routing.CallPriority(j.route, j.call)
	d.Priority, d.Workspace = j.call.Priority, j.call.Workspace
	d.Route, d.Revision, d.ClientLeft = j.route.Name, routing.Revision, time.Until(j.clientDeadline)
}
