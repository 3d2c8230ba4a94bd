package mangofollow

import (
	"errors"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// minPatience is the longest time without data from a store that is not slow. A read
	// that fails has to be repeated within the time in which a change must be in force.
	minPatience = 500 * time.Millisecond
	// maxPatience bounds the time without data from a slow store. After an outage, a read
	// that still waits for a response delays the next one by that time.
	maxPatience = 1500 * time.Millisecond
)

// Wait bounds a read.
type Wait struct {
	// Changes is how long the source waits for changes.
	Changes time.Duration
	// Data is the longest time without data, in addition to Changes before the first data.
	Data time.Duration
}

// patience decides how long a read may go without data: longer once the store has
// accepted a connection and not responded in time, and as long as it is slow.
type patience struct{ limit time.Duration }

func newPatience() *patience { return &patience{limit: minPatience} }

// wait returns the limits of the next read.
func (p *patience) wait(changes time.Duration) Wait { return Wait{Changes: changes, Data: p.limit} }

// unchanged records how long a read without changes took.
func (p *patience) unchanged(w Wait, took time.Duration) {
	p.limit = min(max(2*(took-w.Changes), minPatience), maxPatience)
}

// failed records a failed read.
func (p *patience) failed(w Wait, took time.Duration, err error) {
	var f *mangomodel.Fault
	if unconnected := errors.As(err, &f) && f.Run == mangomodel.RunNot; !unconnected && took >= w.Data {
		p.limit = min(2*p.limit, maxPatience)
	}
}
