// Package mangofollow keeps the routing and the list of servers of a fleet
// current by following the platform's records.
//
// Each record is read whole once and then followed by long reads. When the
// history is lost, or the cursor is not known any more, it is read whole again.
// While the platform cannot be reached the fleet keeps what it has.
//
// Reads are priced, so that only schedulers follow all the time. The other
// daemons learn of changes from them, and read by themselves when that stops.
//
// # Usage
//
//	f := mangofollow.New(fleet, source, observer)
//	go f.Run(ctx)
package mangofollow

import (
	"context"
	"errors"
	"sync"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// longRead is how long a read waits for news. A source adds its own bound on
	// silence; the other daemons then have to read and apply what they missed
	// within the 2.5 s in which a change has to be in force.
	longRead = 500 * time.Millisecond
	// readTimeout bounds a whole read. When all daemons start at once, some
	// dozens read some hundred KB each over a link between regions that carries
	// a few MB a second.
	readTimeout = 8 * time.Second
	// headStart is how long a daemon that starts waits to hear of others: a
	// connection and a round trip between regions.
	headStart = 100 * time.Millisecond
	// othersFirst is how long a daemon that starts waits for the records from
	// others before it reads by itself. They start up to half a second later,
	// read them, are asked four times a second, and hundreds of daemons fetch
	// some hundred KB from a few.
	othersFirst = 3 * time.Second
	// gatherTime is the pause after a change. Servers are often listed one
	// after the other.
	gatherTime = 100 * time.Millisecond
	// idlePause is how often a daemon that learns from others looks whether it
	// still does.
	idlePause = 100 * time.Millisecond
	// firstPause and longestPause bound the pause after failed reads.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// reappearTime is how long after the list's return live servers that had
	// lapsed are listed again; one that is missing then is gone.
	reappearTime = 2 * time.Second
)

// ErrCursorExpired is returned by a Source that no longer knows a cursor.
var ErrCursorExpired = errors.New("the history after the cursor is lost")

// Source reads records. With a zero cursor it reads the whole record at once;
// else it waits for changes after the cursor, at most for wait.
type Source interface {
	// Routing returns nil if nothing has changed.
	Routing(ctx context.Context, after mangotraffic.Cursor, wait time.Duration) (*mangotraffic.Routing, mangotraffic.Cursor, error)
	Servers(ctx context.Context, after mangotraffic.Cursor, wait time.Duration) ([]mangotraffic.ServerChange, mangotraffic.Cursor, error)
}

// Fleet takes the commands of a Follower.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Record is one of the followed records.
type Record string

const (
	// RecordRouting is the configuration.
	RecordRouting Record = "Routing"
	// RecordServers is the list of servers.
	RecordServers Record = "Servers"
)

// Observer is told about the platform and the records.
type Observer interface {
	// PlatformLost and PlatformRegained tell when reads of a record start and stop to fail.
	PlatformLost(r Record, err error)
	PlatformRegained(r Record, after time.Duration)
	// RoutingRejected tells of a configuration that was read and is not applied.
	RoutingRejected(rev mangomodel.Revision, err error)
}

// platform is where a Follower learns what it reads.
const platform mangomodel.PeerName = "platform"

// Follower follows a Source.
type Follower struct {
	fleet    Fleet
	source   Source
	observer Observer
}

// New returns a Follower.
func New(fleet Fleet, source Source, observer Observer) *Follower {
	return &Follower{fleet: fleet, source: source, observer: observer}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	sleep(ctx, headStart)
	var running sync.WaitGroup
	running.Go(func() { f.follow(ctx, RecordRouting, f.readRouting) })
	running.Go(func() { f.follow(ctx, RecordServers, f.readServers) })
	running.Wait()
}

// read is one read of a record. It returns whether something had changed.
// Entries that are gone may come back until a time, after an outage.
type read func(ctx context.Context, until time.Time) (bool, error)

func (f *Follower) follow(ctx context.Context, record Record, next read) {
	var (
		lostAt time.Time
		// until is when lapsed entries have been listed again.
		until time.Time
		pause = firstPause
	)
	started := time.Now()
	for ctx.Err() == nil {
		if view, now := f.fleet.View(), time.Now(); view.FollowsScheduler(now) || view.DefersInitialSync() && now.Sub(started) < othersFirst {
			sleep(ctx, idlePause)
			continue
		}
		if !lostAt.IsZero() {
			// If this read succeeds, the record is back.
			until = time.Now().Add(reappearTime)
		}
		changed, err := f.bounded(ctx, until, next)
		if err == nil {
			if !lostAt.IsZero() {
				f.observer.PlatformRegained(record, time.Since(lostAt))
			}
			lostAt, pause = time.Time{}, firstPause
			if changed {
				sleep(ctx, gatherTime)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if lostAt.IsZero() {
			lostAt = time.Now()
			f.observer.PlatformLost(record, err)
		}
		sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
}

func (f *Follower) bounded(ctx context.Context, until time.Time, next read) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return next(ctx, until)
}

func (f *Follower) readRouting(ctx context.Context, _ time.Time) (bool, error) {
	after := f.fleet.View().RoutingCursor
	routing, to, err := f.source.Routing(ctx, after, longRead)
	if errors.Is(err, ErrCursorExpired) {
		routing, to, err = f.source.Routing(ctx, 0, 0)
	}
	if err != nil {
		return false, err
	}
	if routing == nil {
		return false, f.fleet.Do(ctx, mangofleet.RoutingUnchanged{Cursor: to})
	}
	err = f.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing, Cursor: to, From: platform})
	if err != nil {
		f.observer.RoutingRejected(routing.Revision, err)
	}
	if mangomodel.HasCode(err, mangomodel.CodeConflict) {
		// A newer revision is in force; the record will catch up.
		err = nil
	}
	return true, err
}

func (f *Follower) readServers(ctx context.Context, until time.Time) (bool, error) {
	after := f.fleet.View().ListCursor
	changes, to, err := f.source.Servers(ctx, after, longRead)
	if errors.Is(err, ErrCursorExpired) {
		after = 0
		changes, to, err = f.source.Servers(ctx, 0, 0)
	}
	if err != nil {
		return false, err
	}
	cmd := mangofleet.ChangeServers{Changes: changes, Full: after == 0, Grace: time.Until(until), Cursor: to, From: platform}
	return len(changes) > 0, f.fleet.Do(ctx, cmd)
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
