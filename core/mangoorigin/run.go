package mangoorigin

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"mangolane/core/mangobuilds"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// viewInterval is how often the list of servers is looked at.
	viewInterval = 100 * time.Millisecond
	// margin is how much longer than its route's timeout a stream may be resumed, and
	// defaultTimeout that of a service whose routes have none.
	margin         = 30 * time.Second
	defaultTimeout = time.Minute
	// minBackoff and maxBackoff bound the pause after failed calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
	// firstStartWindow is how long after its start a daemon may take the absence of rows for
	// the first start of the installation.
	firstStartWindow = 10 * time.Second
	// settleTime is how long after a change all daemons have listed it and written their rows.
	settleTime = followerDelay + followerSpread + 500*time.Millisecond
)

// controller is the state of the goroutine of Run, which alone uses it.
type controller struct {
	*Origins
	histories map[mangotraffic.ServiceName]*mangobuilds.History
	// windows are the times for which streams of services may be resumed. They never
	// become shorter, since a stream keeps the timeout with which it began.
	windows map[mangotraffic.ServiceName]time.Duration
	// configured is set once the timeouts of routes are known.
	configured bool
	// since is when the list of servers was first received, scanned when it was last looked
	// at, and others the number of other daemons when it was last current.
	since, scanned time.Time
	others         int
	// fresh is set while this daemon has known the list without a gap since the first start
	// of the installation: a service without a history had no servers before. settling holds
	// when such services were first listed: other daemons may have listed other builds.
	fresh    bool
	settling map[mangotraffic.ServiceName]time.Time
	// mixed are the services whose streams are saved.
	mixed map[mangotraffic.ServiceName]bool
	// unread is closed and set to nil once the histories of other daemons were read. It is
	// set again when the daemon comes back after it was cut off, when it may have missed
	// builds. cut is set until then.
	unread chan struct{}
	cut    bool
	// doubtful are the services whose rows may be from an older copy of the store.
	doubtful map[mangotraffic.ServiceName]bool
	// era is the latest one of the store that this daemon has heard of, and start when the
	// store's clock was zero.
	era   mangotraffic.Era
	start time.Time
	// results are the ends of calls to the store.
	results chan func(now time.Time)
	builds  buildSaver
	streams streamSaver
	sweep   sweeper
	lostAt  time.Time
}

func newController(o *Origins) *controller {
	return &controller{
		Origins: o, histories: make(map[mangotraffic.ServiceName]*mangobuilds.History),
		windows: make(map[mangotraffic.ServiceName]time.Duration), mixed: make(map[mangotraffic.ServiceName]bool),
		doubtful: make(map[mangotraffic.ServiceName]bool), settling: make(map[mangotraffic.ServiceName]time.Time),
		results: make(chan func(time.Time)), sweep: sweeper{needed: true}, unread: o.published.Load().unread,
	}
}

// Run reads the histories and then saves what changes until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	c := newController(o)
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		c.round(ctx, time.Now())
		timer := time.NewTimer(c.streams.wait(time.Now()))
		select {
		case <-ticker.C:
		case <-timer.C:
		case <-o.wake:
		case apply := <-c.results:
			c.apply(apply)
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// round updates what is known and begins the calls to the store that are due.
func (c *controller) round(ctx context.Context, now time.Time) {
	defer mangopanic.Catch(c.observer, "origins of streams")
	c.observe(now)
	c.publish(now)
	c.saveBuilds(ctx, now)
	c.saveStreams(ctx, now)
	c.sweepStreams(ctx, now)
}

// apply applies the result of a call.
func (c *controller) apply(result func(now time.Time)) {
	defer mangopanic.Catch(c.observer, "origins of streams")
	result(time.Now())
}

// call makes calls to the store on a goroutine of its own, and applies their result on that
// of Run. A panic counts as a failure.
func (c *controller) call(ctx context.Context, f func(ctx context.Context) (Stamp, error), apply func(now time.Time, err error)) {
	go func() {
		var stamp Stamp
		err := func() (err error) {
			defer mangopanic.CatchError(c.observer, "origins of streams", &err)
			stamp, err = f(ctx)
			return err
		}()
		result := func(now time.Time) {
			if err == nil || stamp != (Stamp{}) {
				err = c.accept(stamp, err, now)
			}
			c.report(err, now)
			apply(now, err)
		}
		select {
		case c.results <- result:
		case <-ctx.Done():
		}
	}()
}

// accept records the era and the clock of a response. One of an earlier era is an error.
func (c *controller) accept(s Stamp, err error, now time.Time) error {
	if s.Era < c.era {
		return errEarlierEra
	}
	c.learn(s.Era, now)
	c.start = now.Add(-time.Duration(s.Clock))
	return err
}

// learn records an era of the store. The store may have lost what was written shortly before
// it began.
func (c *controller) learn(era mangotraffic.Era, now time.Time) {
	if era <= c.era {
		return
	}
	if c.era > 0 {
		c.memory.resave(now.Add(-resaveTime))
		c.builds.plan(now, c.fleet.View())
	}
	c.era = era
	c.builds.planSecond(now)
}

// report tells the observer whether calls fail.
func (c *controller) report(err error, now time.Time) {
	switch {
	case isFailure(err) && c.lostAt.IsZero():
		c.lostAt = now
		c.observer.OriginsLost(err)
	case !isFailure(err) && !c.lostAt.IsZero():
		c.observer.OriginsRegained(now.Sub(c.lostAt))
		c.lostAt = time.Time{}
	}
}

// observe records what the fleet knows, and the builds at which streams have begun.
func (c *controller) observe(now time.Time) {
	v := c.fleet.View()
	c.learn(v.ListCursor.Era, now)
	if v.ListRead.IsZero() {
		return
	}
	if c.since.IsZero() {
		c.since = now
	}
	before := c.revision()
	if now.Sub(c.scanned) >= viewInterval/2 {
		c.watchCut(v, now)
		c.scanned = now
		c.scan(v, now)
	}
	for s := range c.memory.takeServed() {
		c.history(s.service).Serve(s.build, now)
	}
	if c.revision() != before {
		c.builds.plan(now, v)
	}
}

// revision changes when that of a history does.
func (c *controller) revision() int {
	sum := 0
	for _, h := range c.histories {
		sum += h.Revision()
	}
	return sum
}

// watchCut has the histories read again after the daemon was cut off, or its process stood
// still. Until then it names no sole build.
func (c *controller) watchCut(v *mangofleet.View, now time.Time) {
	known := snapshot{others: c.others}
	if !known.current(v, now) || !c.scanned.IsZero() && mangomodel.Elapsed(c.scanned, now) > mangoroster.AliveTimeout {
		c.cut, c.fresh = true, false
	}
	if c.cut && c.builds.read && !v.Stale(now) {
		c.cut = false
		if c.unread == nil {
			c.unread = make(chan struct{})
		}
		c.builds.due = now
	}
}

// scan records the builds that are listed.
func (c *controller) scan(v *mangofleet.View, now time.Time) {
	if !v.Stale(now) {
		c.others = len(v.Members) - 1
	}
	c.limitReads(now, len(v.Members))
	if v.Routing != nil {
		c.configured = true
		for service, timeout := range v.Routing.Timeouts(defaultTimeout) {
			c.windows[service] = max(c.windows[service], timeout+margin)
		}
	}
	listed := make(map[mangotraffic.ServiceName][]mangomodel.Build)
	for _, server := range v.Listed {
		if list := listed[server.Service]; !slices.Contains(list, server.Build) {
			listed[server.Service] = append(list, server.Build)
		}
	}
	for service := range listed {
		c.history(service)
	}
	for service, h := range c.histories {
		h.List(listed[service], now)
	}
}

// limitReads sets how many rows this daemon reads, as one of a number of daemons.
func (c *controller) limitReads(now time.Time, daemons int) {
	c.reader.setLimit(now, min(max(allReads/max(daemons, 1), minReads), maxReads))
}

// history returns the history of a service. Without a row it begins with the list, unless
// that has been known since the first start.
func (c *controller) history(service mangotraffic.ServiceName) *mangobuilds.History {
	h, ok := c.histories[service]
	if !ok {
		since := c.since
		if c.fresh {
			since = time.Time{}
			c.settling[service] = time.Now()
		}
		h = mangobuilds.New(since)
		c.histories[service] = h
	}
	return h
}

// window returns the time for which streams of a service may be resumed.
func (c *controller) window(service mangotraffic.ServiceName) time.Duration {
	if w, ok := c.windows[service]; ok {
		return w
	}
	return defaultTimeout + margin
}

// kept returns the time for which ended builds of a service are kept in its row: all, as long
// as the routes are not known.
func (c *controller) kept(service mangotraffic.ServiceName) time.Duration {
	if !c.configured {
		return math.MaxInt64
	}
	return c.window(service)
}

// longest returns the time for which streams of any service may be resumed.
func (c *controller) longest() time.Duration {
	longest := defaultTimeout + margin
	for w := range maps.Values(c.windows) {
		longest = max(longest, w)
	}
	return longest
}

// settle publishes services as doubtful that were first listed a moment ago, until the rows
// were read once more.
func (c *controller) settle(next *snapshot, now time.Time) {
	for service, listed := range c.settling {
		next.doubtful[service] = true
		if mangomodel.Elapsed(listed, now) >= settleTime {
			c.builds.planNow(now)
		}
	}
}

// publish publishes which services have a sole build, and has the streams of the others
// saved.
func (c *controller) publish(now time.Time) {
	next := &snapshot{sole: make(map[mangotraffic.ServiceName]mangomodel.Build), others: c.others, at: now, unread: c.unread, doubtful: maps.Clone(c.doubtful)}
	c.settle(next, now)
	next.behind = c.builds.read && (c.cut || c.unread != nil)
	for service, h := range c.histories {
		window := c.window(service)
		build, sole := h.Sole(window, now)
		if sole {
			next.sole[service] = build
		}
		if c.configured {
			h.Forget(2*window, now)
		}
		if !c.builds.read {
			continue
		}
		mixed := h.Mixed(window, now)
		switch {
		case mixed && !c.mixed[service]:
			c.observer.ServiceMixed(service, h.Spans(window, now))
		case c.mixed[service] && !mixed:
			c.observer.ServiceSole(service, build)
			c.builds.plan(now, c.fleet.View())
		}
		c.mixed[service] = mixed
		c.memory.setMixed(service, mixed)
		if !h.Complete(window, now) {
			c.builds.planAgain(now)
		}
	}
	c.published.Store(next)
	c.memory.forget(now.Add(-c.longest()))
}
