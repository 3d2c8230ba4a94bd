package mangoquota

import (
	"time"

	"mangolane/core/mangoworkspace"
)

const (
	// aheadShare is the part of the capacity that may be lent ahead of calls. The rest
	// serves asks, since the demand may arrive at other daemons than it did before.
	aheadShare = 0.125
	// credit is the time whose yield a call may take in advance. Asks arrive some round
	// trips late and loans are settled at the next renewal, so that the bucket is below
	// what a bucket without messages would hold. It adds 1% to the users' window of 8 s.
	credit = 100 * time.Millisecond
	// minWait and maxWait bound the time after which a refused call should return.
	minWait = 20 * time.Millisecond
	maxWait = 30 * time.Second
	// rounding is the error that sums of amounts may have.
	rounding = 1e-6
)

// bucket is the token bucket of one workspace.
type bucket struct {
	level, lent mangoworkspace.Amount
	at          time.Time
	// share is the part of the limit that was in force at that time.
	share mangoworkspace.Amount
	// promised is when the calls that were told to return will have been served.
	promised time.Time
}

// fill adds what the rate has yielded. If the share has changed meanwhile, the smaller one
// counts.
func (b *bucket) fill(l mangoworkspace.Limit, share mangoworkspace.Amount, now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level += l.Rate * min(share, b.share) * mangoworkspace.Amount(d.Seconds())
		b.at = now
	}
	b.share = share
	b.add(0, l)
}

// add adds an amount up to the capacity, which what is lent takes up too.
func (b *bucket) add(n mangoworkspace.Amount, l mangoworkspace.Limit) {
	b.level = min(b.level+n, max(l.Burst*b.share-b.lent, 0))
}

// take takes an amount if there is as much, or will be within the time of the credit.
func (b *bucket) take(n mangoworkspace.Amount, l mangoworkspace.Limit) bool {
	if n > b.level+l.Rate*b.share*mangoworkspace.Amount(credit.Seconds())+rounding {
		return false
	}
	b.level -= n
	return true
}

// ahead lends up to an amount ahead of calls, and returns how much.
func (b *bucket) ahead(want mangoworkspace.Amount, l mangoworkspace.Limit) mangoworkspace.Amount {
	n := max(min(want, aheadShare*l.Burst*b.share-b.lent, b.level/2), 0)
	b.level -= n
	b.lent += n
	return n
}

// wait returns when a call should return, after those that were told to return before.
func (b *bucket) wait(cost mangoworkspace.Amount, l mangoworkspace.Limit, now time.Time) time.Duration {
	rate := l.Rate * b.share
	if rate <= 0 {
		return TTL
	}
	at := now.Add(min(seconds(cost-b.level, rate), maxWait))
	if next := b.promised.Add(min(seconds(cost, rate), maxWait)); next.After(at) {
		at = next
	}
	d := min(max(at.Sub(now), minWait), maxWait)
	b.promised = now.Add(d)
	return d
}
