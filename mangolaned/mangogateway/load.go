package mangogateway

import (
	"time"

	"go.uber.org/zap"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangopool"
	"mangolane/mangolaned/mangosettings"
)

// loadOptions returns the options of a fleet for the choice of plain servers.
func loadOptions(s *mangosettings.Gateway, o observer) []mangofleet.Option {
	opts := []mangofleet.Option{mangofleet.WithLoadObserver(o)}
	if s.ServerChoice == mangoload.ChoiceEstimated {
		opts = append(opts, mangofleet.WithEstimatedLoads(s.DistanceCost))
	}
	return opts
}

// LoadsMeasured counts what the daemon has measured of the loads of plain servers.
func (o observer) LoadsMeasured(m mangopool.LoadMeasures) {
	for _, u := range m.Uneven {
		o.metrics.sample("Plain.Uneven."+u.Window.String()+".Percent", int64(100*u.Ratio))
	}
	if m.WaitedBesideFree > 0 {
		o.metrics.count("Plain.WaitedBesideFree", int64(m.WaitedBesideFree))
	}
}

// chosen counts the age of the load figure that decided where a call goes.
func (m *metrics) chosen(l mangolease.Lease) {
	if l.LoadAge > 0 {
		m.sample("Plain.LoadAge.Microseconds", l.LoadAge.Microseconds())
	}
}

// loadFields returns the load figure that decided, if any.
func loadFields(l mangolease.Lease) []zap.Field {
	var fields []zap.Field
	if l.LoadAge > 0 {
		fields = append(fields, zap.Duration("LoadAge", l.LoadAge.Round(time.Millisecond)))
	}
	if l.Share > 0 {
		fields = append(fields, zap.Float64("Load", l.Load), zap.Float64("Share", l.Share))
	}
	return fields
}
