package mangofollow

import (
	"errors"
	"time"

	"mangolane/core/mangobound"
	"mangolane/core/mangomodel"
)

// maxPatience bounds the time without data from a slow store. After an outage, a read that
// still waits for a response delays the next one by that time.
const maxPatience = 1500 * time.Millisecond

// Wait bounds a read.
type Wait struct {
	// Changes is how long the source waits for changes.
	Changes time.Duration
	// Data is the longest time without data, in addition to Changes before the first data.
	Data time.Duration
}

// patience decides how long a read may go without data: longer once the store has
// accepted a connection and not responded in time, and as long as it is slow.
type patience struct {
	times mangobound.Times
	limit time.Duration
}

func newPatience(t mangobound.Times) *patience { return &patience{times: t, limit: t.Data} }

// wait returns the limits of the next read.
func (p *patience) wait() Wait { return Wait{Changes: p.times.Poll, Data: p.limit} }

// unchanged records how long a read without changes took.
func (p *patience) unchanged(w Wait, took time.Duration) {
	p.limit = min(max(2*(took-w.Changes), p.times.Data), maxPatience)
}

// failed records a failed read.
func (p *patience) failed(w Wait, took time.Duration, err error) {
	var f *mangomodel.Fault
	if unconnected := errors.As(err, &f) && f.Run == mangomodel.RunNot; !unconnected && took >= w.Data {
		p.limit = min(2*p.limit, maxPatience)
	}
}
