package mangogateway

import (
	"time"

	"go.uber.org/zap"

	"mangolane/core/mangobuilds"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoorigin"
	"mangolane/core/mangotraffic"
	"mangolane/mangolaned/mangolog"
)

// ServiceMixed logs and counts that streams of a service began at several builds.
func (o observer) ServiceMixed(service mangotraffic.ServiceName, builds []mangobuilds.Span) {
	o.metrics.count("Builds.Mixed", 1)
	names := make([]string, 0, len(builds))
	for _, b := range builds {
		names = append(names, string(b.Build))
	}
	o.logger.Info("service has several builds", zap.String("Service", string(service)), zap.Strings("Builds", names))
}

// ServiceSole logs that all streams of a service began at one build.
func (o observer) ServiceSole(service mangotraffic.ServiceName, build mangomodel.Build) {
	o.logger.Info("service has one build", zap.String("Service", string(service)), zap.String("Build", string(build)))
}

// OriginsLost logs and counts that the origins of streams can no longer be saved.
func (o observer) OriginsLost(err error) {
	o.metrics.count("Origins.Lost", 1)
	o.logger.Warn("origins lost", mangolog.FaultFields(err)...)
}

// OriginsRegained logs that they can be saved again.
func (o observer) OriginsRegained(after time.Duration) {
	o.logger.Info("origins regained", zap.Duration("After", after))
}

// OriginResolved counts the streams that clients resume, and logs those whose build is not
// known.
func (o observer) OriginResolved(stream mangotraffic.StreamID, e mangoorigin.Evidence, err error) {
	o.metrics.count("Origins.Resolved."+e.String(), 1)
	fields := []zap.Field{zap.String("Service", string(stream.Service)), zap.String("Stream", string(stream.Request)), zap.Stringer("Evidence", e)}
	if err != nil {
		o.logger.Info("origin not known", append(fields, mangolog.FaultFields(err)...)...)
		return
	}
	o.logger.Debug("origin resolved", fields...)
}

// StreamsSaved counts the rows of streams that were written and removed.
func (o observer) StreamsSaved(written, removed int) {
	o.metrics.count("Origins.Written", int64(written))
	o.metrics.count("Origins.Removed", int64(removed))
}
