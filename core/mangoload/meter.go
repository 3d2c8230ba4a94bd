package mangoload

import (
	"time"

	"mangolane/core/mangomodel"
)

// minInProgress is the mean number of calls in progress at all servers together below which
// a window is not measured: a single call is always at one server.
const minInProgress = 1.0

// Meter measures how unevenly the calls in progress at the servers of a service are spread,
// over windows of one length. The zero time begins a window at the first call of Advance.
type Meter struct {
	length       time.Duration
	began, since time.Time
	// held holds the time integral of the calls in progress, in seconds.
	held map[mangomodel.ServerID]float64
}

// NewMeter returns a Meter with windows of a length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{length: length, held: make(map[mangomodel.ServerID]float64)}
}

// Advance adds the numbers of calls in progress since the last call of Advance. If the window
// has ended, it returns the busiest server against the mean, and begins another one.
func (m *Meter) Advance(list map[mangomodel.ServerID]int, now time.Time) (float64, bool) {
	end := m.began.Add(m.length)
	for id, n := range list {
		m.held[id] += float64(n) * min(now.Sub(m.since), end.Sub(m.since)).Seconds()
	}
	m.since = now
	if now.Before(end) {
		return 0, false
	}
	uneven, ok := m.uneven()
	clear(m.held)
	m.began = now
	return uneven, ok
}

func (m *Meter) uneven() (float64, bool) {
	most, sum := 0.0, 0.0
	for _, x := range m.held {
		most, sum = max(most, x), sum+x
	}
	if sum < minInProgress*m.length.Seconds() {
		return 0, false
	}
	return most / sum * float64(len(m.held)), true
}
