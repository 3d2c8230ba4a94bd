// Package mangoreturn decides which clients have returned as they were told.
//
// The load it answers is an overload in which clients are refused, told when to retry,
// and retry. One that retries when it was told to must find its place before new
// arrivals, so that waiting as told is worth it. A [Board] holds the clients that were
// told, by the fingerprint of their call; it is bounded, and each record is used once.
//
// # Usage
//
//	board := mangoreturn.New()
//	board.Told(call, after, now)
//	if board.Returned(call, now) { ... }
package mangoreturn

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// grace is how much later than told a client may return. It covers the way of the
	// refusal and of the retry, and the time in which the retry's body is read.
	grace = time.Second
	// early is how much sooner than told a client may return: the daemon that refuses it
	// states a time that is a part of what its client has left, which becomes less on the
	// way from the scheduler.
	early = 50 * time.Millisecond
	// maxRecords bounds the records. Some hundred refusals a second with delays of some
	// seconds need a few thousand, which take a few hundred KB.
	maxRecords = 8192
)

// LimitShare bounds the time after which a client is told to return, as a share of the
// time that it has left: clients wait for up to a third of that.
const LimitShare = 0.3

// After returns the time after which a client is told to return that has some time left:
// the predicted time, but at most the share that clients wait for, which is also told if
// nothing is predicted.
func After(predicted, left time.Duration) time.Duration {
	limit := time.Duration(LimitShare * float64(left))
	if predicted > 0 {
		return min(predicted, limit)
	}
	return limit
}

// Board holds the clients that were told to return.
type Board struct {
	records map[mangomodel.Fingerprint]span
	// expireAt is when records are next removed: at most once in grace, so that refusals
	// stay cheap while the board is full.
	expireAt time.Time
}

// span is the time within which a client returns as told.
type span struct{ from, until time.Time }

// New returns an empty Board.
func New() *Board { return &Board{records: make(map[mangomodel.Fingerprint]span)} }

// Told records that the client of a refused call was told to return after some time. It
// has no effect if the board is full.
func (b *Board) Told(call mangomodel.Fingerprint, after time.Duration, now time.Time) {
	if call == 0 || after <= 0 {
		return
	}
	if !now.Before(b.expireAt) {
		b.expire(now)
	}
	if _, ok := b.records[call]; !ok && len(b.records) >= maxRecords {
		return
	}
	b.records[call] = span{from: now.Add(after - early), until: now.Add(after + grace)}
}

// Returned reports whether a call that arrives now is that of a client that was told to
// return about now, and removes the record of the client.
func (b *Board) Returned(call mangomodel.Fingerprint, now time.Time) bool {
	s, ok := b.records[call]
	if !ok {
		return false
	}
	delete(b.records, call)
	return !now.Before(s.from) && !now.After(s.until)
}

// Len returns the number of records.
func (b *Board) Len() int { return len(b.records) }

func (b *Board) expire(now time.Time) {
	for call, s := range b.records {
		if now.After(s.until) {
			delete(b.records, call)
		}
	}
	b.expireAt = now.Add(grace)
}
