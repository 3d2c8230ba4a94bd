// Package mangofollow keeps the routing and the list of servers of a fleet
// current by following the platform's records.
//
// Each record is read in full once and then followed with long polls. If the
// history is lost or the cursor has expired, the record is read in full again.
// While the platform is unreachable, the fleet keeps its state.
//
// The platform charges for reads, so only schedulers follow the records all the
// time. The other daemons receive changes from the schedulers, and read the
// records themselves when that stops.
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

	"mangolane/core/mangobound"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

const (
	// readTimeout bounds a whole read. When all daemons start at once, some
	// dozens of them read some hundred KB each over a link between regions that
	// carries a few MB a second.
	readTimeout = 8 * time.Second
	// startDelay is how long a daemon waits at its start for messages of other
	// daemons: a connection and a round trip between regions.
	startDelay = 100 * time.Millisecond
	// initialSyncWait is how long a daemon waits at its start for the records
	// from other daemons before it reads them itself. The others start up to half
	// a second later, read the records and are queried four times a second, and
	// hundreds of daemons fetch some hundred KB from a few.
	initialSyncWait = 3 * time.Second
	// batchDelay is the pause after a change. Servers are often listed one after
	// the other.
	batchDelay = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after failed reads.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// ErrCursorExpired is returned by a Source that no longer keeps the changes after
// a cursor, or that has come back from an older copy since.
var ErrCursorExpired = errors.New("the changes after the cursor are no longer kept")

// Source reads records. With a zero cursor it reads the whole record at once;
// else it waits for changes after the cursor.
type Source interface {
	// Routing returns nil if nothing has changed.
	Routing(ctx context.Context, after mangotraffic.Cursor, w Wait) (*mangotraffic.Routing, mangotraffic.Cursor, error)
	Servers(ctx context.Context, after mangotraffic.Cursor, w Wait) ([]mangotraffic.ServerChange, mangotraffic.Cursor, error)
}

// Fleet applies the commands of a Follower.
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

// Observer receives events about the platform and the records.
type Observer interface {
	mangopanic.Observer
	// PlatformLost and PlatformRegained are called when reads of a record begin
	// to fail and succeed again.
	PlatformLost(r Record, err error)
	PlatformRegained(r Record, after time.Duration)
	// RoutingRejected is called for a configuration that was read and is not
	// applied, with the position at which it was read.
	RoutingRejected(rev mangomodel.Revision, at mangotraffic.Cursor, err error)
	// EntriesLeftOut is called for a configuration that is applied without some entries.
	EntriesLeftOut(rev mangomodel.Revision, problems []mangoworkspace.Problem)
}

// Follower follows a Source.
type Follower struct {
	fleet    Fleet
	source   Source
	observer Observer
	times    mangobound.Times
	// prerequisite is awaited before the first configuration is installed.
	prerequisite Prerequisite
}

// Option configures a Follower.
type Option func(*Follower)

// WithTimes sets how long reads take; the default holds the standard bound.
func WithTimes(t mangobound.Times) Option { return func(f *Follower) { f.times = t } }

// Prerequisite is something that a daemon must have before it serves calls.
type Prerequisite interface {
	// Await returns when the daemon has it or need not wait for it any more.
	Await(ctx context.Context)
}

// WithPrerequisite sets what is awaited before the first configuration that was read is
// installed. One that another daemon sends is not delayed, since that daemon serves calls.
func WithPrerequisite(p Prerequisite) Option { return func(f *Follower) { f.prerequisite = p } }

type noPrerequisite struct{}

func (noPrerequisite) Await(context.Context) {}

// New returns a Follower.
func New(fleet Fleet, source Source, observer Observer, opts ...Option) *Follower {
	f := &Follower{
		fleet: fleet, source: source, observer: observer, times: mangobound.Within(mangobound.Standard), prerequisite: noPrerequisite{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	sleep(ctx, startDelay)
	var running sync.WaitGroup
	running.Go(func() { f.follow(ctx, RecordRouting, (*mangofleet.View).FollowsRouting, f.readRouting) })
	running.Go(func() { f.follow(ctx, RecordServers, (*mangofleet.View).FollowsScheduler, f.readServers) })
	running.Wait()
}

// read is one read of a record. It returns whether the record has changed.
type read func(ctx context.Context, w Wait) (bool, error)

// follow keeps a record current. It does not read while received reports that
// changes of the record arrive from another daemon.
func (f *Follower) follow(ctx context.Context, record Record, received func(v *mangofleet.View, now time.Time) bool, next read) {
	var lostAt time.Time
	started, pause, patience := time.Now(), minBackoff, newPatience(f.times)
	for ctx.Err() == nil {
		if view, now := f.fleet.View(), time.Now(); received(view, now) || view.DefersInitialSync() && now.Sub(started) < initialSyncWait {
			sleep(ctx, f.times.Check)
			continue
		}
		began, w := time.Now(), patience.wait()
		changed, err := f.readOnce(ctx, w, next)
		if err == nil {
			if !changed {
				patience.unchanged(w, time.Since(began))
			}
			if !lostAt.IsZero() {
				f.observer.PlatformRegained(record, time.Since(lostAt))
			}
			lostAt, pause = time.Time{}, minBackoff
			if changed {
				sleep(ctx, batchDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		patience.failed(w, time.Since(began), err)
		if lostAt.IsZero() {
			lostAt = time.Now()
			f.observer.PlatformLost(record, err)
		}
		if record == RecordServers {
			// This fails only when the process ends.
			_ = f.fleet.Do(ctx, mangofleet.ReadFailed{})
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

// readOnce makes one read. A panic counts as a failed read.
func (f *Follower) readOnce(ctx context.Context, w Wait, next read) (changed bool, err error) {
	defer mangopanic.CatchError(f.observer, "read of the platform's records", &err)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return next(ctx, w)
}

func (f *Follower) readRouting(ctx context.Context, w Wait) (bool, error) {
	began := time.Now()
	after := f.fleet.View().RoutingCursor
	routing, to, err := f.source.Routing(ctx, after, w)
	if errors.Is(err, ErrCursorExpired) {
		after = mangotraffic.Cursor{}
		routing, to, err = f.source.Routing(ctx, after, Wait{Data: w.Data})
	}
	if err != nil {
		return false, err
	}
	age := f.ageOfRead(began, after)
	if routing == nil {
		return false, f.fleet.Do(ctx, mangofleet.RoutingUnchanged{Cursor: to, Age: age})
	}
	if read := time.Now(); f.fleet.View().Routing == nil {
		f.prerequisite.Await(ctx)
		age += mangomodel.Elapsed(read, time.Now())
	}
	before := f.fleet.View().Routing
	err = f.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing, Cursor: to, Age: age, From: mangofleet.Platform})
	if err != nil {
		f.observer.RoutingRejected(routing.Revision, to, err)
	}
	// A read of a whole record returns a revision that was reported before.
	if known := before != nil && before.Revision == routing.Revision; err == nil && !known && len(routing.Problems) > 0 {
		f.observer.EntriesLeftOut(routing.Revision, routing.Problems)
	}
	if mangomodel.HasCode(err, mangomodel.CodeConflict) {
		// A newer revision is active; later reads of the record will return it.
		err = nil
	}
	return true, err
}

func (f *Follower) readServers(ctx context.Context, w Wait) (bool, error) {
	began := time.Now()
	after := f.fleet.View().ListCursor
	changes, to, err := f.source.Servers(ctx, after, w)
	if errors.Is(err, ErrCursorExpired) {
		after = mangotraffic.Cursor{}
		changes, to, err = f.source.Servers(ctx, after, Wait{Data: w.Data})
	}
	if err != nil {
		return false, err
	}
	cmd := mangofleet.ChangeServers{Changes: changes, Full: after.IsZero(), Cursor: to, Age: f.ageOfRead(began, after), From: mangofleet.Platform}
	return len(changes) > 0, f.fleet.Do(ctx, cmd)
}

// ageOfRead returns the age of what a read has returned that began at a time. A response
// that is older than a read for changes may take lay in a suspended host.
func (f *Follower) ageOfRead(began time.Time, after mangotraffic.Cursor) time.Duration {
	if took := mangomodel.Elapsed(began, time.Now()); !after.IsZero() && took > f.times.Follow() {
		return took
	}
	return 0
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
