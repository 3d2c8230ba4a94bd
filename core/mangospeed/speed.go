// Package mangospeed estimates the rates and step times on which the scheduler
// bases its decisions.
//
// All estimators are values without a clock. Average and Arrivals are ready to
// use when their exported fields are set.
//
// # Usage
//
//	hold := mangospeed.Average{Value: 5}
//	hold.Add(7.2)
//	urgent := mangospeed.Arrivals{TimeConstant: time.Minute}
//	urgent.Add(now)
//	step := mangospeed.NewStepModel()
//	step.Add(12, 21*time.Millisecond)
//	next := step.Predict(13)
package mangospeed

import (
	"math"
	"time"
)

const (
	// averageGain is the weight of a new sample in a moving average.
	averageGain = 0.2
	// sampleRetention is the factor by which each new sample scales the weight
	// of the older ones.
	sampleRetention = 0.97
	// priorWeight is the weight of each assumed sample of a new server.
	priorWeight = 0.5
	// decayFraction is the fraction by which each Decay scales down the weight
	// of the samples of a StepModel.
	decayFraction = 0.005
	// minSpread is the spread of samples up to which no slope is fitted.
	minSpread = 1e-9
)

// Average is an exponentially weighted moving average.
type Average struct{ Value float64 }

// Add adds a sample.
func (a *Average) Add(sample float64) { a.Value += averageGain * (sample - a.Value) }

// Arrivals estimates the rate of a Poisson process by exponential decay.
type Arrivals struct {
	// TimeConstant is the time over which the rate is averaged.
	TimeConstant time.Duration
	perSecond    float64
	last         time.Time
}

// Add adds an arrival.
func (a *Arrivals) Add(now time.Time) {
	a.perSecond = a.Rate(now) + 1/a.TimeConstant.Seconds()
	a.last = now
}

// Rate returns the rate in arrivals per second.
func (a *Arrivals) Rate(now time.Time) float64 {
	if a.last.IsZero() {
		return 0
	}
	return a.perSecond * math.Exp(-now.Sub(a.last).Seconds()/a.TimeConstant.Seconds())
}

// StepModel predicts the time of a decode step from the number of sequences in
// the batch, by linear regression on measured steps. Its fields are the total
// weight w and the weighted sums of x, y, xx and xy, where x is the batch size
// and y the step time in seconds.
type StepModel struct{ w, x, y, xx, xy float64 }

// NewStepModel returns a StepModel with the assumed samples of a typical server.
func NewStepModel() StepModel {
	var s StepModel
	s.addPrior(1)
	return s
}

// Add adds a mean step time, measured with a mean of n sequences in the batch.
func (s *StepModel) Add(n float64, step time.Duration) {
	s.scale(sampleRetention)
	s.addSample(n, step, 1)
}

// Decay moves the prediction slightly towards a typical server. Without it, a
// server that gets no requests because it was slow would never be measured
// again.
func (s *StepModel) Decay() {
	s.scale(1 - decayFraction)
	s.addPrior(decayFraction)
}

// Predict returns the predicted step time with n sequences. It never decreases
// as n grows.
func (s *StepModel) Predict(n int) time.Duration {
	slope := 0.0
	if spread := s.w*s.xx - s.x*s.x; spread > minSpread {
		slope = max(0, (s.w*s.xy-s.x*s.y)/spread)
	}
	intercept := (s.y - slope*s.x) / s.w
	return time.Duration(max(intercept+slope*float64(n), 0) * float64(time.Second))
}

// addPrior adds the assumed samples of a typical server, weighted by a fraction
// of priorWeight.
func (s *StepModel) addPrior(fraction float64) {
	s.addSample(1, 11*time.Millisecond, fraction*priorWeight)
	s.addSample(20, 25*time.Millisecond, fraction*priorWeight)
}

func (s *StepModel) scale(factor float64) {
	for _, sum := range []*float64{&s.w, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= factor
	}
}

func (s *StepModel) addSample(n float64, step time.Duration, weight float64) {
	seconds := step.Seconds()
	s.w += weight
	s.x += weight * n
	s.y += weight * seconds
	s.xx += weight * n * n
	s.xy += weight * n * seconds
}
