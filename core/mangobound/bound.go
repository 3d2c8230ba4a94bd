// Package mangobound divides the time within which a change of the platform's records has
// to be in force at every daemon that can read them.
//
// One daemon reads a record for others. If it is cut off, the others go by the age of what
// they received from it, and read the record themselves. [Times.Worst] adds up the order
// of events in which that takes longest:
//
//   - the last response that the reader got was under way, or lay in its host, for Data
//   - the others receive what it read until that is Age old, for up to Renewal more
//   - they look for that every Check
//   - they connect to the store and get a response, for Read
//
// [Within] chooses these times so that their sum is within a bound. A server whose entry
// vanished in an outage of the store is used for longer; [Times.Outage] is the time without
// a read after which an outage is assumed. It is longer than a daemon that can read takes
// to begin, read and say so, so that the absence of one reader is not taken for one.
//
// # Usage
//
//	times := mangobound.Within(2500 * time.Millisecond)
//	if age > times.Received() {
//		// Nobody reads the record for this daemon.
//	}
package mangobound

import (
	"time"

	"mangolane/core/mangopool"
)

const (
	// Standard is the bound in the users' deployment specifications. A longer one does
	// not make the times longer.
	Standard = 2500 * time.Millisecond
	// Min is the shortest bound that can be held: below it, a daemon whose reads succeed
	// would be too old for others to follow it.
	Min = 1200 * time.Millisecond

	// renewal is how often daemons receive messages from the reader, check how often
	// they look for their age, and read the time for a connection and a response between
	// regions from a store that is not slow.
	renewal = mangopool.RenewInterval
	check   = 100 * time.Millisecond
	read    = 200 * time.Millisecond
	// message is the time for a message between regions, with a stall of the host.
	message = 100 * time.Millisecond

	// standardPoll, standardData and standardAge are the times under the standard bound.
	standardPoll = 500 * time.Millisecond
	standardData = 500 * time.Millisecond
	standardAge  = 1200 * time.Millisecond
)

// Times are the parts of a bound.
type Times struct {
	// Poll is how long a read waits for changes.
	Poll time.Duration
	// Data is the longest time without data in a read, in addition to Poll before the
	// first data.
	Data time.Duration
	// Age is how old the state of a daemon may be that others receive it from: the
	// duration of a read without changes plus some of that of a failed one.
	Age time.Duration
	// Check is how often a daemon checks whether others read for it.
	Check time.Duration
}

// Within returns times whose sum is within a bound. Bounds below [Min] count as Min.
func Within(bound time.Duration) Times {
	const fixed = renewal + check + read
	share := float64(min(max(bound, Min), Standard)-fixed) / float64(Standard-fixed)
	part := func(d time.Duration) time.Duration { return time.Duration(share * float64(d)).Round(time.Millisecond) }
	return Times{Poll: part(standardPoll), Data: part(standardData), Age: part(standardAge), Check: check}
}

// Received is how old state that was received from a reader may be.
func (t Times) Received() time.Duration { return t.Age + renewal }

// Follow is how long a read for changes takes at most.
func (t Times) Follow() time.Duration { return t.Poll + t.Data }

// Worst returns the longest time from a change to its effect at a daemon that can read the
// records, while the store serves it and any other daemon cannot read them.
func (t Times) Worst() time.Duration { return t.Data + t.Received() + t.Check + read }

// Outage is the time without a read by any daemon after which the store may have been
// away.
func (t Times) Outage() time.Duration { return t.Received() + t.Check + t.Poll + renewal + message }
