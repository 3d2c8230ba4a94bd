package mangorelay

import (
	"net/http"
	"time"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// observe reports the outcome of an exchange to the fleet and to the scheduler
// that granted the lease in use.
func (j *job) observe(server mangomodel.ServerID, outcome mangolease.Outcome, load *mangotraffic.LoadReport) {
	j.report(mangofleet.Observe{Observation: mangolease.Observation{Server: server, Saw: outcome, Load: load}})
}

// observeCompletion reports that a server has sent its whole response. A server error does
// not show that the server has completed the call.
func (j *job) observeCompletion(server mangomodel.ServerID, resp *mangoexchange.Response) {
	cmd := mangofleet.Observe{Observation: mangolease.Observation{Server: server, Saw: mangolease.OutcomeSuccess, Load: resp.Load}}
	if resp.Head.Status < http.StatusInternalServerError {
		cmd.Completed = j.call.Fingerprint
	}
	j.report(cmd)
}

func (j *job) report(cmd mangofleet.Observe) {
	if j.service.Engine == nil {
		cmd.Observation.Took = time.Since(j.leasedAt)
	}
	j.apply(cmd)
	j.grant.Observe(cmd.Observation)
}
