package mangoload

import "time"

// minInProgress is the mean number of calls in progress at all servers together below which
// a window is not measured: a single call is always at one server.
const minInProgress = 1.0

// Meter measures how unevenly the calls in progress at the servers of a service are spread,
// over windows of one length.
type Meter struct {
	length       time.Duration
	began, since time.Time
	// held holds the time integral of the calls in progress at each server, in seconds.
	held []float64
}

// NewMeter returns a Meter of a number of servers with windows of a length, the first of
// which begins now.
func NewMeter(servers int, length time.Duration, now time.Time) *Meter {
	return &Meter{length: length, began: now, since: now, held: make([]float64, servers)}
}

// Advance adds the numbers of calls in progress at the servers since the last call of
// Advance. If the window has ended, it returns the busiest server against the mean, and
// begins another one.
func (m *Meter) Advance(list []int, now time.Time) (float64, bool) {
	end := m.began.Add(m.length)
	d := min(now.Sub(m.since), end.Sub(m.since)).Seconds()
	for i, n := range list {
		m.held[i] += float64(n) * d
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
