package mangomemory

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// smallBody is the size up to which a body may use all of the limit, in bytes.
	smallBody mangomodel.Bytes = 64 << 10
	// smallShare is the share of the limit that only small bodies use.
	smallShare = 0.05
	// maxWaiting bounds the demands that wait, since the system holds some tens of
	// kilobytes of each body that is not read.
	maxWaiting = 64
	// paceWindow is how many times the limit must be released for older
	// measurements to have faded.
	paceWindow = 2
)

// claim is a demand with its place in the queue.
type claim struct {
	Demand
	// holding receives the room, and held is what it holds before.
	holding *holding
	held    mangomodel.Bytes
	// granted is closed once the claim is granted; nil unless it is queued.
	granted chan struct{}
}

// compare orders claims that wait: bodies that are being read first, then by priority
// and size.
func (c *claim) compare(d *claim) int {
	return cmp.Or(
		mangomodel.TrueFirst(c.held > 0, d.held > 0),
		cmp.Compare(c.Priority, d.Priority),
		cmp.Compare(c.held+c.Size, d.held+d.Size),
	)
}

// room holds the state of a budget.
type room struct {
	limit, used mangomodel.Bytes
	// charged are the bytes that are held besides those in use for bodies.
	charged  atomic.Int64
	waiting  []*claim
	holdings map[*holding]struct{}
	// held and released sum up the time for which bytes were held, in byte seconds, and
	// these bytes. Older ones fade.
	held, released float64
	returns        []promise
}

// holding is what a reservation holds.
type holding struct {
	size  mangomodel.Bytes
	since time.Time
}

// promise is the time at which a refused client was told to return.
type promise struct {
	at   time.Time
	size mangomodel.Bytes
}

// limitOf returns how much of the limit a body with n bytes in all may use.
func (r *room) limitOf(n mangomodel.Bytes) mangomodel.Bytes {
	if n <= smallBody {
		return r.limit
	}
	return mangomodel.Bytes((1 - smallShare) * float64(r.limit))
}

// fits reports whether a body that holds some bytes can have n more at once.
func (r *room) fits(n, held mangomodel.Bytes) bool {
	return r.limit <= 0 || r.used+mangomodel.Bytes(r.charged.Load())+n <= r.limitOf(held+n)
}

// request grants a claim, queues it, or refuses it with a fault.
func (r *room) request(c *claim, now time.Time) (granted bool, err error) {
	whole := c.held + c.Size
	if r.limit > 0 && whole > r.limitOf(whole) {
		return false, mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeTooLarge, mangomodel.RunNot,
			"a body of %d bytes exceeds the %d bytes that this daemon has for bodies", whole, r.limitOf(whole))
	}
	// A demand does not overtake those that come before it, except with a small body.
	if r.fits(c.Size, c.held) && (whole <= smallBody || r.ahead(c) == 0) {
		r.grant(c, now)
		return true, nil
	}
	if len(r.waiting) >= maxWaiting {
		return false, r.refuse(c, now)
	}
	if wait, ok := r.wait(c, r.ahead(c), now); ok && wait > c.Patience {
		return false, r.refuse(c, now)
	}
	c.granted = make(chan struct{})
	i, _ := slices.BinarySearchFunc(r.waiting, c, func(other, c *claim) int {
		// A new claim comes after equal ones.
		return cmp.Or(other.compare(c), -1)
	})
	r.waiting = slices.Insert(r.waiting, i, c)
	return false, nil
}

// grant gives a claim its room.
func (r *room) grant(c *claim, now time.Time) { r.hold(c.holding, c.Size, now) }

// ahead returns the bytes that the claims before one wait for.
func (r *room) ahead(c *claim) mangomodel.Bytes {
	var n mangomodel.Bytes
	for _, other := range r.waiting {
		if other.compare(c) > 0 {
			break
		}
		n += other.Size
	}
	return n
}

// wait predicts how long a claim waits with some bytes ahead of it. It reports false if
// nothing was measured. Bytes are expected to leave once they were held for the mean time.
func (r *room) wait(c *claim, ahead mangomodel.Bytes, now time.Time) (time.Duration, bool) {
	if r.released == 0 || len(r.holdings) == 0 {
		return 0, false
	}
	missing := r.used + mangomodel.Bytes(r.charged.Load()) + ahead + c.Size - r.limitOf(c.held+c.Size)
	mean := time.Duration(r.held / r.released * float64(time.Second))
	if missing <= 0 {
		return 0, true
	}
	// Those that follow are expected to stay for as long.
	rounds := (missing - 1) / max(r.used, 1)
	missing -= rounds * r.used
	list := slices.SortedFunc(maps.Keys(r.holdings), func(a, b *holding) int { return a.since.Compare(b.since) })
	for _, h := range list {
		if missing -= h.size; missing <= 0 {
			return time.Duration(rounds)*mean + max(h.since.Add(mean).Sub(now), 0), true
		}
	}
	return time.Duration(rounds+1) * mean, true
}

// refuse returns the fault of a claim without room. It tells the client to return once
// the demands before it and the clients that were told to return earlier have room.
func (r *room) refuse(c *claim, now time.Time) error {
	ahead := r.ahead(c)
	r.returns = slices.DeleteFunc(r.returns, func(p promise) bool { return !p.at.After(now) })
	for _, p := range r.returns {
		ahead += p.size
	}
	after, ok := r.wait(c, ahead, now)
	if !ok || after <= 0 {
		after = c.Patience
	}
	r.returns = append(r.returns, promise{now.Add(after), c.held + c.Size})
	f := mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeOverloaded, mangomodel.RunNot,
		"no memory for a body: %d of %d bytes are in use, %d demands wait, predicted wait %v, limit %v",
		r.used, r.limit, len(r.waiting), after, c.Patience)
	f.RetryAfter = after
	return f
}

// withdraw removes a claim from the queue. It reports false if the claim was granted.
func (r *room) withdraw(c *claim, now time.Time) bool {
	i := slices.Index(r.waiting, c)
	if i < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	r.serve(now)
	return true
}

// hold adds n bytes, which have room, to a holding.
func (r *room) hold(h *holding, n mangomodel.Bytes, now time.Time) {
	if h.size == 0 {
		h.since = now
		r.holdings[h] = struct{}{}
	}
	h.size += n
	r.used += n
}

// release returns what a holding holds.
func (r *room) release(h *holding, now time.Time) {
	n := h.size
	r.used -= n
	h.size = 0
	delete(r.holdings, h)
	if r.limit <= 0 {
		return
	}
	keep := 1 - min(float64(n)/float64(paceWindow*r.limit), 1)
	r.held = keep*r.held + float64(n)*now.Sub(h.since).Seconds()
	r.released = keep*r.released + float64(n)
	r.serve(now)
}

// serve grants claims in the order of the queue. Only small ones overtake one that does
// not fit.
func (r *room) serve(now time.Time) {
	blocked := false
	r.waiting = slices.DeleteFunc(r.waiting, func(c *claim) bool {
		small := c.held+c.Size <= smallBody
		if !r.fits(c.Size, c.held) || blocked && !small {
			blocked = true
			return false
		}
		r.grant(c, now)
		close(c.granted)
		return true
	})
}

const (
	// patienceShare is the share of a route's target latency for which the body of a
	// call may wait.
	patienceShare = 0.5
	// maxPatience is less than the second after which clients leave a daemon that has
	// not read their request.
	maxPatience = 800 * time.Millisecond
)

// Patience returns how long the body of a call may wait, on a route or nil if there is
// none.
func Patience(route *mangotraffic.Route) time.Duration {
	if route == nil || route.TargetLatency <= 0 {
		return maxPatience
	}
	return min(time.Duration(patienceShare*float64(route.TargetLatency)), maxPatience)
}
