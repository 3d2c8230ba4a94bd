package mangoshutdown

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// minSamples is how many durations have to be measured before they bound others.
	minSamples = 8
	// meanGain and deviationGain are the weights of a new duration in the averages.
	meanGain, deviationGain = 1. / 8, 1. / 4
	// deviations is how far above the mean the longest durations are. The rest of some
	// in a hundred calls is cut off, and all others are served.
	deviations = 3
)

// Durations estimates how long calls take in proportion to their size, by the moving
// averages of the ratio and of its deviation. The zero Durations has measured nothing.
type Durations struct {
	samples         int
	mean, deviation float64
}

// Add adds the duration of a call that ended well. A call without a size says nothing.
func (d *Durations) Add(took time.Duration, size mangomodel.Tokens) {
	if size <= 0 {
		return
	}
	ratio := took.Seconds() / float64(size)
	d.samples++
	if d.samples == 1 {
		d.mean, d.deviation = ratio, ratio/2
		return
	}
	d.deviation += (max(ratio-d.mean, d.mean-ratio) - d.deviation) * deviationGain
	d.mean += (ratio - d.mean) * meanGain
}

// Longest returns the most that a call of a size is expected to take, or zero if too
// little was measured or the call has no size.
func (d *Durations) Longest(size mangomodel.Tokens) time.Duration {
	if d.samples < minSamples || size <= 0 {
		return 0
	}
	seconds := (d.mean + deviations*d.deviation) * float64(size)
	return time.Duration(seconds * float64(time.Second))
}
