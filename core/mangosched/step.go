package mangosched

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// stepMemory is the weight that older samples keep at each new one.
	stepMemory = 0.97
	// priorWeight is the weight of the assumed samples of a new server.
	priorWeight = 0.5
	// fadePart is the part by which a model fades at each load report.
	fadePart = 0.005
	// tpotSlack is the part of a TPOT target that a predicted step may take.
	tpotSlack = 0.95
	// slowerFactor is the ratio from which a server counts as slower.
	slowerFactor = 1.25
)

// stepModel predicts the time of a decode step from the number of sequences
// in the batch, by a line fitted to the steps that holders measured.
type stepModel struct{ w, x, y, xx, xy float64 }

// newStepModel returns a model that assumes an ordinary server.
func newStepModel() stepModel {
	var m stepModel
	m.assume(1)
	return m
}

// assume adds a part of the assumed samples of an ordinary server.
func (m *stepModel) assume(part float64) {
	m.addWeighted(1, 0.011, part*priorWeight)
	m.addWeighted(20, 0.025, part*priorWeight)
}

// fade moves the model a little towards an ordinary server. A server that gets
// no work for its past slowness would otherwise never show that it is over.
func (m *stepModel) fade() {
	m.scale(1 - fadePart)
	m.assume(fadePart)
}

func (m *stepModel) scale(factor float64) {
	for _, sum := range []*float64{&m.w, &m.x, &m.y, &m.xx, &m.xy} {
		*sum *= factor
	}
}

// add takes in a mean step at a mean number of sequences.
func (m *stepModel) add(n float64, step time.Duration) {
	m.scale(stepMemory)
	m.addWeighted(n, step.Seconds(), 1)
}

func (m *stepModel) addWeighted(n, seconds, weight float64) {
	m.w += weight
	m.x += weight * n
	m.y += weight * seconds
	m.xx += weight * n * n
	m.xy += weight * n * seconds
}

// at predicts the step with n sequences. It never falls as n grows.
func (m *stepModel) at(n int) time.Duration {
	spread := m.w*m.xx - m.x*m.x
	slope := 0.0
	if spread > 1e-9 {
		slope = max(0, (m.w*m.xy-m.x*m.y)/spread)
	}
	base := (m.y - slope*m.x) / m.w
	return time.Duration(max(base+slope*float64(n), 0) * float64(time.Second))
}

// meets reports whether one more sequence would keep the server's predicted
// step within the TPOT target of a demand and of every grant aboard.
func (sv *server) meets(d mangomodel.Demand) bool {
	step := sv.step.at(sv.occupied() + 1)
	if !within(step, d.TPOT) {
		return false
	}
	for tpot := range sv.tpots {
		if !within(step, tpot) {
			return false
		}
	}
	return true
}

// within reports whether a step is inside a target; zero means no target.
func within(step, tpot time.Duration) bool {
	return tpot == 0 || step <= time.Duration(tpotSlack*float64(tpot))
}

// slowerThan reports whether an empty batch steps clearly slower than
// another server's.
func (sv *server) slowerThan(other *server) bool {
	return float64(sv.step.at(1)) > slowerFactor*float64(other.step.at(1))
}
