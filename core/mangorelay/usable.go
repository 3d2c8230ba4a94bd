package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// checkUsable returns a fault if the server list of this daemon does not allow the use
// of a server, or the server has asked this daemon for time.
func (j *job) checkUsable(id mangomodel.ServerID) error {
	err := j.relay.usable(id)
	if err != nil {
		j.avoid = append(j.avoid, id)
		j.relay.observer.ServerSkipped(j.call.ID, id, err)
	}
	return err
}

// checkServer returns a fault if the call may not be sent to a leased server, which is then
// avoided.
func (j *job) checkServer(server mangotraffic.Server) error {
	if err := j.checkUsable(server.ID); err != nil {
		return err
	}
	err := j.checkBuild(server)
	if err != nil {
		j.avoid = append(j.avoid, server.ID)
	}
	return err
}

// usable returns a fault if this daemon may not send a call to a server.
func (r *Relay) usable(id mangomodel.ServerID) error {
	view := r.fleet.View()
	if !view.MayUse(id) {
		return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(id), mangomodel.CodeUnavailable, mangomodel.RunNot,
			"server is leaving or no longer listed")
	}
	if left := view.Backoff(id, time.Now()); left > 0 {
		return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(id), mangomodel.CodeOverloaded, mangomodel.RunNot,
			"server has asked for time, of which %v is left", left)
	}
	return nil
}

// responders queries the load of engines for a stall watchdog. An engine that asked for
// time a moment ago responds, and is not queried.
type responders struct{ *Relay }

// Report returns an empty report for an engine that has asked for time.
func (r responders) Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error) {
	if r.fleet.View().Backoff(server.ID, time.Now()) > 0 {
		return mangotraffic.LoadReport{}, nil
	}
	return r.servers.Report(ctx, server)
}

// checkLease returns a fault if the lease in use has run out.
func (j *job) checkLease() error {
	if j.grant.Valid() {
		return nil
	}
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(j.grant.Lease.Server.ID), mangomodel.CodeUnavailable, mangomodel.RunNot,
		"the lease was not renewed in time")
}
