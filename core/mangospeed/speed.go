// Package mangospeed estimates the speeds that the scheduler decides by.
//
// All estimators are values without a clock; zero values of Average and
// Arrivals with their exported fields set are ready to use.
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
	// stepMemory is the weight that older samples keep at each new one.
	stepMemory = 0.97
	// priorWeight is the weight of the assumed samples of a new server.
	priorWeight = 0.5
	// decayPart is the part by which a StepModel decays at a time.
	decayPart = 0.005
	// leastSpread is the spread of samples below which they say nothing of a
	// slope.
	leastSpread = 1e-9
)

// Average is an exponentially weighted moving average.
type Average struct{ Value float64 }

// Add takes in a sample.
func (a *Average) Add(sample float64) { a.Value += averageGain * (sample - a.Value) }

// Arrivals estimates the rate of a Poisson process by exponential decay.
type Arrivals struct {
	// TimeConstant is the time over which the rate is averaged.
	TimeConstant time.Duration
	perSecond    float64
	last         time.Time
}

// Add takes in an arrival.
func (a *Arrivals) Add(now time.Time) {
	a.perSecond = a.Rate(now) + 1/a.TimeConstant.Seconds()
	a.last = now
}

// Rate returns the rate in arrivals a second.
func (a *Arrivals) Rate(now time.Time) float64 {
	if a.last.IsZero() {
		return 0
	}
	return a.perSecond * math.Exp(-now.Sub(a.last).Seconds()/a.TimeConstant.Seconds())
}

// StepModel predicts the time of a decode step from the number of sequences in the
// batch, by a line fitted to measured steps.
type StepModel struct{ w, x, y, xx, xy float64 }

// NewStepModel returns a StepModel that assumes an ordinary server.
func NewStepModel() StepModel {
	var s StepModel
	s.assume(1)
	return s
}

// Add takes in a mean step at a mean number of sequences.
func (s *StepModel) Add(n float64, step time.Duration) {
	s.scale(stepMemory)
	s.weigh(n, step, 1)
}

// Decay moves the prediction a little towards an ordinary server. A server that
// gets no work for its past slowness would otherwise never show that it is
// over.
func (s *StepModel) Decay() {
	s.scale(1 - decayPart)
	s.assume(decayPart)
}

// Predict predicts the step with n sequences. It never falls as n grows.
func (s *StepModel) Predict(n int) time.Duration {
	slope := 0.0
	if spread := s.w*s.xx - s.x*s.x; spread > leastSpread {
		slope = max(0, (s.w*s.xy-s.x*s.y)/spread)
	}
	base := (s.y - slope*s.x) / s.w
	return time.Duration(max(base+slope*float64(n), 0) * float64(time.Second))
}

// assume adds a part of the assumed samples of an ordinary server.
func (s *StepModel) assume(part float64) {
	s.weigh(1, 11*time.Millisecond, part*priorWeight)
	s.weigh(20, 25*time.Millisecond, part*priorWeight)
}

func (s *StepModel) scale(factor float64) {
	for _, sum := range []*float64{&s.w, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= factor
	}
}

func (s *StepModel) weigh(n float64, step time.Duration, weight float64) {
	seconds := step.Seconds()
	s.w += weight
	s.x += weight * n
	s.y += weight * seconds
	s.xx += weight * n * n
	s.xy += weight * n * seconds
}
