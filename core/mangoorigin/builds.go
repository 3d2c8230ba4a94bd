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
)

const (
	// firstDelay is the longest delay after a change until the daemon that maintains the
	// rows writes the histories, and otherDelay when the others begin to look whether they
	// say the same: spread over otherSpread, and otherPerDaemon for each daemon if that is
	// longer. A daemon that starts knows no others, and takes itself for the one that
	// maintains the rows.
	firstDelay     = 50 * time.Millisecond
	otherDelay     = 500 * time.Millisecond
	otherSpread    = 1500 * time.Millisecond
	otherPerDaemon = 10 * time.Millisecond
	// againDelay and againSpread are when the rows are read again while a history is not
	// complete: another daemon may write one that is.
	againDelay, againSpread = 5 * time.Second, 5 * time.Second
	// tolerance is by how much the end of a build may differ from that in a row.
	tolerance = 2 * time.Second
)

// buildSaver saves the histories.
type buildSaver struct {
	// due is when the rows are read and compared next; zero if they need not be.
	due time.Time
	// read is set once the rows were read, and fresh if the installation started then.
	read, fresh bool
	busy        bool
	pause       time.Duration
}

// plan has the rows compared some time after a change. The first read is not delayed.
func (b *buildSaver) plan(now time.Time, v *mangofleet.View) {
	if !b.read {
		return
	}
	delay := rand.N(firstDelay)
	if !v.MaintainsArchive() || len(v.Members) == 1 {
		delay = otherDelay + rand.N(max(otherSpread, time.Duration(len(v.Members))*otherPerDaemon))
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

// failed delays the next call.
func (b *buildSaver) failed(now time.Time) {
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	b.due = now.Add(b.pause)
}

// saveBuilds reads the histories if that is due, and writes those that lack something. The
// first read, of a daemon that starts, is made at once.
func (c *controller) saveBuilds(ctx context.Context, now time.Time) {
	b := &c.builds
	if b.busy || c.since.IsZero() || now.Before(b.due) || b.read && b.due.IsZero() {
		return
	}
	b.busy, b.due = true, time.Time{}
	unread := c.unread
	var rows []BuildRow
	c.call(ctx, func(ctx context.Context) (Stamp, error) {
		list, stamp, err := c.store.Builds(ctx)
		rows = list
		return stamp, err
	}, func(now time.Time, err error) {
		b.busy = false
		if err != nil {
			b.failed(now)
			return
		}
		b.pause = 0
		first := c.merge(rows, now)
		done := unread != nil && unread == c.unread
		if done {
			c.unread = nil
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

// merge adds the rows to the histories. It reports whether these were the first rows, which
// complete the histories.
func (c *controller) merge(rows []BuildRow, now time.Time) bool {
	first := !c.builds.read
	c.builds.read = true
	if first {
		c.builds.fresh = c.first && mangomodel.Elapsed(c.began, now) < firstStartWindow
		if c.builds.fresh {
			for _, h := range c.histories {
				h.Restore(nil, now)
			}
		}
	}
	for _, r := range rows {
		if len(r.Builds) > 0 {
			c.history(r.Service).Restore(c.spansOf(r, now), now)
		}
	}
	return first
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
		for _, s := range h.Spans(c.window(service), now) {
			p := Presence{Build: s.Build}
			if !s.Until.IsZero() {
				p.Until = max(Clock(s.Until.Sub(c.start)), 1)
			}
			next.Builds = append(next.Builds, p)
		}
		var current BuildRow
		if i := slices.IndexFunc(rows, func(r BuildRow) bool { return r.Service == service }); i >= 0 {
			current = rows[i]
		}
		// An incomplete history would be taken for a complete one.
		if next.Version = current.Version; !current.holds(next) && c.histories[service].Complete(c.window(service), now) {
			list = append(list, next)
		}
	}
	return list
}

// holds reports whether a row says the same as another one. Builds that ended long ago need
// not be removed.
func (r BuildRow) holds(next BuildRow) bool {
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
				b.due = now.Add(rand.N(firstDelay))
			case err != nil:
				b.failed(now)
			default:
				c.replaceBuilds(ctx, rows[1:])
			}
		})
}

// isFailure reports whether an error means that the store does not serve.
func isFailure(err error) bool { return err != nil && !errors.Is(err, ErrConflict) }
