package mangoorigin

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mangolane/core/mangobuilds"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// maintainerDelay is the longest delay after a change until the daemon that maintains the
	// rows writes the histories, and followerDelay when the others begin to look whether they
	// say the same: spread over followerSpread, and followerPerDaemon for each daemon if that is
	// longer.
	maintainerDelay   = 50 * time.Millisecond
	followerDelay     = 500 * time.Millisecond
	followerSpread    = 1500 * time.Millisecond
	followerPerDaemon = 10 * time.Millisecond
	// againDelay and againSpread are when the rows are read again after a start or a new era
	// of the store, and while a history is not complete: another daemon may write one that
	// is.
	againDelay, againSpread = 5 * time.Second, 5 * time.Second
	// tolerance is by how much the end of a build may differ from that in a row.
	tolerance = 2 * time.Second
)

// buildSaver saves the histories.
type buildSaver struct {
	// due is when the rows are read and compared next; zero if they need not be.
	due time.Time
	// second is when the rows are read once more after a start, a new era or a doubtful row;
	// zero if they need not be.
	second time.Time
	// read is set once the rows were read.
	read, busy bool
	pause      time.Duration
}

// plan has the rows compared some time after a change. The first read is not delayed.
func (b *buildSaver) plan(now time.Time, v *mangofleet.View) {
	if !b.read {
		return
	}
	delay := rand.N(maintainerDelay)
	if !v.MaintainsArchive() || len(v.Members) == 1 {
		delay = followerDelay + rand.N(max(followerSpread, time.Duration(len(v.Members))*followerPerDaemon))
	}
	if due := now.Add(delay); b.due.IsZero() || due.Before(b.due) {
		b.due = due
	}
}

// planAgain has the rows read again if that is not planned.
func (b *buildSaver) planAgain(now time.Time) {
	if b.due.IsZero() && !b.busy {
		b.due = now.Add(againDelay + rand.N(againSpread))
	}
}

// planNow has the rows read now if that is not planned.
func (b *buildSaver) planNow(now time.Time) {
	if b.due.IsZero() && !b.busy {
		b.due = now
	}
}

// planSecond has the rows read a second time.
func (b *buildSaver) planSecond(now time.Time) {
	b.second = now.Add(againDelay + rand.N(againSpread))
}

// isDue reports whether the rows are read now.
func (b *buildSaver) isDue(now time.Time) bool {
	if !b.read {
		return !now.Before(b.due)
	}
	if b.due.IsZero() {
		return !b.second.IsZero() && !now.Before(b.second)
	}
	return !now.Before(b.due)
}

// failed delays the next call.
func (b *buildSaver) failed(now time.Time) {
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	b.due = now.Add(b.pause)
}

// saveBuilds reads the histories if that is due, and writes those that lack something. The
// first read, of a daemon that starts, is made at once.
func (c *controller) saveBuilds(ctx context.Context, now time.Time) {
	b := &c.builds
	if b.busy || c.since.IsZero() || !b.isDue(now) {
		return
	}
	second := b.second
	isSecond := b.read && !second.IsZero() && !now.Before(second)
	b.busy, b.due = true, time.Time{}
	unread := c.unread
	firstStart := c.first && !b.read && mangomodel.Elapsed(c.began, now) < firstStartWindow
	var rows []BuildRow
	var sent time.Time
	c.call(ctx, func(ctx context.Context) (Stamp, error) {
		sent = time.Now()
		list, stamp, err := c.store.Builds(ctx)
		if rows = list; err != nil || !firstStart {
			return stamp, err
		}
		streams, _, stamp, err := c.store.Streams(ctx, "")
		firstStart = len(streams) == 0
		return stamp, err
	}, func(now time.Time, err error) {
		b.busy = false
		if err != nil {
			b.failed(now)
			return
		}
		b.pause = 0
		first := !b.read
		c.merge(rows, firstStart, now)
		done := unread != nil && unread == c.unread
		if done {
			c.unread = nil
			c.doubt(rows, firstStart)
		}
		if isSecond && second.Equal(b.second) {
			b.second = time.Time{}
			clear(c.doubtful)
		}
		c.trust(rows)
		maps.DeleteFunc(c.settling, func(_ mangotraffic.ServiceName, listed time.Time) bool { return sent.Sub(listed) >= settleTime })
		if len(c.doubtful) > 0 && b.second.IsZero() {
			b.planSecond(now)
		}
		if c.publish(now); done {
			close(unread)
		}
		lacking := c.lacking(rows, now)
		if first && len(lacking) > 0 {
			b.plan(now, c.fleet.View())
			return
		}
		c.replaceBuilds(ctx, lacking)
	})
}

// merge adds the rows to the histories. At the first start of the installation no service had
// servers before.
func (c *controller) merge(rows []BuildRow, firstStart bool, now time.Time) {
	c.builds.read = true
	if firstStart {
		c.fresh = !c.cut && !c.fleet.View().Stale(now)
		for _, h := range c.histories {
			h.Restore(nil, now)
		}
	}
	for _, r := range rows {
		if len(r.Builds) > 0 {
			c.history(r.Service).Restore(c.spansOf(r, now), now)
		}
	}
}

// doubt marks the services whose rows may be from an older copy of the store, which other
// daemons have not replaced yet. At the first start of the installation there need be none.
func (c *controller) doubt(rows []BuildRow, firstStart bool) {
	for service := range c.histories {
		if row := rowOf(rows, service); row.Era < c.era && (row.Version > 0 || !firstStart) {
			c.doubtful[service] = true
		}
	}
}

// trust ends the doubt of services whose rows were written in this era.
func (c *controller) trust(rows []BuildRow) {
	for service := range c.doubtful {
		if rowOf(rows, service).Era >= c.era {
			delete(c.doubtful, service)
		}
	}
}

// rowOf returns the row of a service, which is empty if there is none.
func rowOf(rows []BuildRow, service mangotraffic.ServiceName) BuildRow {
	for _, r := range rows {
		if r.Service == service {
			return r
		}
	}
	return BuildRow{}
}

// spansOf returns the builds of a row with local times.
func (c *controller) spansOf(r BuildRow, now time.Time) []mangobuilds.Span {
	var list []mangobuilds.Span
	for _, p := range r.Builds {
		s := mangobuilds.Span{Build: p.Build}
		if p.Until != 0 {
			s.Until = c.start.Add(time.Duration(p.Until))
		}
		list = append(list, s)
	}
	return list
}

// lacking returns the rows of the histories that the store does not hold.
func (c *controller) lacking(rows []BuildRow, now time.Time) []BuildRow {
	var list []BuildRow
	for service, h := range c.histories {
		next := BuildRow{Service: service}
		for _, s := range h.Spans(c.kept(service), now) {
			p := Presence{Build: s.Build}
			if !s.Until.IsZero() {
				p.Until = max(Clock(s.Until.Sub(c.start)), 1)
			}
			next.Builds = append(next.Builds, p)
		}
		current := rowOf(rows, service)
		next.Version, next.Era = current.Version, current.Era
		if !c.doubtful[service] {
			next.Era = max(current.Era, c.era)
		}
		// An incomplete history would be taken for a complete one.
		if !current.holds(next) && h.Complete(c.window(service), now) {
			list = append(list, next)
		}
	}
	return list
}

// holds reports whether a row says the same as another one. Builds that ended long ago need
// not be removed.
func (r BuildRow) holds(next BuildRow) bool {
	if r.Era < next.Era {
		return false
	}
	current := make(map[mangomodel.Build]Clock)
	for _, p := range r.Builds {
		current[p.Build] = p.Until
	}
	for _, p := range next.Builds {
		until, ok := current[p.Build]
		if !ok || (until == 0) != (p.Until == 0) || time.Duration(until-p.Until) < -tolerance {
			return false
		}
		delete(current, p.Build)
	}
	return !slices.Contains(slices.Collect(maps.Values(current)), 0)
}

// replaceBuilds writes rows one after the other. After a conflict the rows are read again.
func (c *controller) replaceBuilds(ctx context.Context, rows []BuildRow) {
	if len(rows) == 0 {
		return
	}
	b := &c.builds
	b.busy = true
	c.call(ctx, func(ctx context.Context) (Stamp, error) { return c.store.ReplaceBuilds(ctx, rows[0]) },
		func(now time.Time, err error) {
			b.busy = false
			switch {
			case errors.Is(err, ErrConflict):
				b.due = now.Add(rand.N(maintainerDelay))
			case err != nil:
				b.failed(now)
			default:
				c.replaceBuilds(ctx, rows[1:])
			}
		})
}

// isFailure reports whether an error means that the store does not serve.
func isFailure(err error) bool { return err != nil && !errors.Is(err, ErrConflict) }
