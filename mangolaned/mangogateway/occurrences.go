package mangogateway

import (
	"sync"
	"time"
)

// occurrences counts frequent events by name and says when to log them, so that no name
// has more than one line in connectionLogInterval. The goroutines of connections share it.
type occurrences struct {
	mu     sync.Mutex
	byName map[string]*occurrence
}

// occurrence is the number of events since the last line, and when that was.
type occurrence struct {
	n      int
	logged time.Time
}

// add counts an event. If a line is due, it returns the number of events since the last one.
func (c *occurrences) add(name string, now time.Time) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = make(map[string]*occurrence)
	}
	x := c.byName[name]
	if x == nil {
		x = &occurrence{}
		c.byName[name] = x
	}
	x.n++
	if now.Sub(x.logged) < connectionLogInterval {
		return 0, false
	}
	n := x.n
	*x = occurrence{logged: now}
	return n, true
}
