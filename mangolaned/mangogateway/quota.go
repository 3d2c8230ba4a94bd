package mangogateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"mangolane/core/mangoquota"
)

// QuotaRefused counts a call beyond the quota of its workspace. The line of the call's end
// has the figures.
func (o observer) QuotaRefused(*mangoquota.Refusal) { o.metrics.count("Quota.Refused", 1) }

// QuotaAsked counts the calls for which the accountant is asked.
func (o observer) QuotaAsked(calls int) { o.metrics.count("Quota.Asked", int64(calls)) }

// QuotaWaited counts the calls that waited for the accountant, and samples for how long.
func (o observer) QuotaWaited(took time.Duration) {
	o.metrics.count("Quota.Waited", 1)
	o.metrics.sample("Quota.WaitedMicroseconds", took.Microseconds())
}

// quotaFields returns the figures with which a call was refused, if its quota was the cause.
func quotaFields(err error) []zap.Field {
	var r *mangoquota.Refusal
	if !errors.As(err, &r) {
		return nil
	}
	return []zap.Field{
		zap.String("Workspace", string(r.Workspace)), zap.Stringer("Unit", r.Limit.Unit), zap.Float64("Rate", float64(r.Limit.Rate)),
		zap.Float64("Burst", float64(r.Limit.Burst)), zap.Float64("Cost", float64(r.Cost)), zap.Float64("Used", float64(r.Used)),
		zap.Duration("UsedAge", r.Age), zap.Bool("Alone", r.Alone), zap.Duration("ReturnAfter", r.After),
	}
}
