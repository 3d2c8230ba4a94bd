package mangostall

import "time"

const (
	// minStartTimeout is the shortest timeout of the start of an exchange. It
	// covers pauses of the host and round trips between regions.
	minStartTimeout = 400 * time.Millisecond
	// maxStartTimeout is used while nothing was measured. Engines do not start a
	// transfer of a KV cache that would take longer.
	maxStartTimeout = 2 * time.Second
	// minSamples is how many measurements are needed.
	minSamples = 8
)

// PrefillTimeout returns the timeout of a prefill that is predicted to take some
// time.
func PrefillTimeout(predicted time.Duration) time.Duration {
	const slowdown = 3
	return minStartTimeout + slowdown*predicted
}

// Pace estimates how long exchanges take to begin, by the moving averages of the
// time and of its deviation. The zero Pace has no measurements.
type Pace struct {
	samples         int
	mean, deviation time.Duration
}

// Add adds a measurement.
func (p *Pace) Add(took time.Duration) {
	const gain, deviationGain = 8, 4
	p.samples++
	if p.samples == 1 {
		p.mean, p.deviation = took, took/2
		return
	}
	p.deviation += ((took - p.mean).Abs() - p.deviation) / deviationGain
	p.mean += (took - p.mean) / gain
}

// Timeout returns the time after which an exchange that has not begun is overdue.
func (p *Pace) Timeout() time.Duration {
	const deviations = 4
	if p.samples < minSamples {
		return maxStartTimeout
	}
	return min(minStartTimeout+p.mean+deviations*p.deviation, maxStartTimeout)
}
