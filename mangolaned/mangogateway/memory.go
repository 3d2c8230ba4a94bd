package mangogateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"mangolane/core/mangomemory"
	"mangolane/mangolaned/mangolog"
)

// watch adds the memory for bodies to the metrics.
func (m *metrics) watch(memory *mangomemory.Budget) {
	gauge := gometrics.NewFunctionalGauge(func() int64 { return int64(memory.Used()) })
	// A name is registered once in a new registry.
	_ = m.registry.Register("Bodies.Bytes", gauge)
}

// BodyWaited logs and counts a body that found memory after some time.
func (o observer) BodyWaited(d mangomemory.Demand, took time.Duration) {
	o.metrics.count("Bodies.Waited", 1)
	o.logger.Debug("body waited", append(bodyFields(d), zap.Duration("Took", took))...)
}

// BodyRefused logs and counts a call that was refused since there was no memory for its
// body.
func (o observer) BodyRefused(d mangomemory.Demand, took time.Duration, err error) {
	o.metrics.count("Bodies.Refused", 1)
	o.logger.Info("body refused", append(append(bodyFields(d), zap.Duration("Took", took)), mangolog.FaultFields(err)...)...)
}

func bodyFields(d mangomemory.Demand) []zap.Field {
	return []zap.Field{
		zap.String("Request", string(d.Request)), zap.Int64("Bytes", int64(d.Size)), zap.Int("Priority", int(d.Priority)),
		zap.Duration("Limit", d.Patience),
	}
}
