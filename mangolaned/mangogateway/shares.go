package mangogateway

import (
	"go.uber.org/zap"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangolease"
	"mangolane/core/mangotraffic"
)

// PrefillWasted logs a prefill that was wasted, and counts the tokens of its prompt by cause.
func (o observer) PrefillWasted(w mangoexchange.Waste) {
	o.metrics.count("Prompts.Wasted."+w.Cause.String(), int64(w.Tokens))
	fields := []zap.Field{
		zap.String("Request", string(w.Call.ID)), zap.Stringer("Reason", w.Cause), zap.Int64("Tokens", int64(w.Tokens)),
		zap.String("Server", string(w.Server)), zap.Uint32("Attempt", uint32(w.Attempt)),
	}
	o.logger.Info("prefill wasted", append(fields, callFields(w.Call)...)...)
}

// countPlace counts leases, at the first exchange that they are used for, by what put them
// before others in the queue.
func (m *metrics) countPlace(e mangoexchange.Exchange) {
	p := e.Lease.Place
	if e.Lease.Prefill != nil && e.Phase != mangoexchange.PhasePrefill {
		return
	}
	if p.Returned {
		m.count("Grants.Returned", 1)
	}
	if p.Reserved {
		m.count("Grants.Reserved", 1)
	}
}

// callFields returns the log fields of what orders a call among those of other workspaces;
// none without workspaces.
func callFields(c *mangotraffic.Call) []zap.Field {
	if !c.Restricted {
		return nil
	}
	return []zap.Field{zap.String("Workspace", string(c.Workspace)), zap.Int("Priority", int(c.Priority))}
}

// placeFields returns the log fields of a lease's place in the queue; none without
// workspaces.
func placeFields(c *mangotraffic.Call, p mangolease.Place) []zap.Field {
	if !c.Restricted {
		return nil
	}
	return append(callFields(c), zap.Float64("Lead", p.Lead), zap.Bool("Returned", p.Returned), zap.Bool("Reserved", p.Reserved))
}
