// Package mangoarchive saves the records of calls that crash servers in the platform's
// table service, and restores them when a daemon starts. Daemons have no disk, so that a
// kill of all of them would forget the records.
//
// A row holds the record of one call. A daemon writes what it has seen itself: a first crash
// a second later, since most such calls complete elsewhere meanwhile, and all else at once.
// Writes have the version of the row as their condition. If another daemon has changed it,
// the rows are merged and written again, so that no crash is lost. A call whose crashes are
// all cleared has no row. Times in rows are those of the store's clock, since the clocks of
// daemons differ.
//
// The load it answers: a call ends with its server and does not complete a few times a
// second, in a fleet of 410 daemons, and some thousand times when a data centre is lost. Each
// daemon makes at most five writes a second, of up to 48 rows.
//
// # Usage
//
//	a := mangoarchive.New(fleet, store, observer)
//	go a.Run(ctx)
//	a.Await(ctx) // before calls are accepted
package mangoarchive

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangotraffic"
)

const (
	// writeInterval is the mean time between writes, of which writeBurst may follow each
	// other at once: those of a call that crashes several servers in a row.
	writeInterval = 200 * time.Millisecond
	writeBurst    = 4
	// minBackoff and maxBackoff bound the pause after failed calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
	// maxAwait bounds how long a start waits for the records, and maxAwaitFailures the calls
	// that may fail meanwhile, of which the first may have begun before. A daemon without the
	// records serves, and sends no probes.
	maxAwait         = time.Second
	maxAwaitFailures = 2
	// removalInterval is the time between two removals of rows that nobody needs.
	removalInterval = 10 * time.Minute
	// maxRows limits the rows that are kept, and maxBatch the rows of a write.
	maxRows, maxBatch = 5120, 48
	// secondDelay is the time from when a daemon hears of a new era of the store until it
	// reads the rows a second time, and secondSpread how much longer that may be, so that
	// not all daemons do at once. By then all have heard of the era and written what they
	// have seen themselves.
	secondDelay, secondSpread = 5 * time.Second, 5 * time.Second
	// restoreBatch is how many records a command restores.
	restoreBatch = 128
)

// Fleet is the control state.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Store holds the rows.
type Store interface {
	// Rows returns all rows. Those that cannot be decoded have no crashes.
	Rows(ctx context.Context) (Table, error)
	// Replace replaces rows if each still has its version, and removes those without
	// crashes. Otherwise it changes nothing, and returns the current rows with
	// [ErrConflict]. The versions are of an era. If the result is of another one, a row
	// may have had its version by accident.
	Replace(ctx context.Context, era mangotraffic.Era, rows []Row) (Table, error)
}

// Observer is notified of failures.
type Observer interface {
	mangopanic.Observer
	// ArchiveLost and ArchiveRegained are called when calls to the store begin to fail and
	// succeed again.
	ArchiveLost(err error)
	ArchiveRegained(after time.Duration)
	// ArchiveRestored is called at the start with the number of rows that were read.
	ArchiveRestored(rows int)
}

// ErrConflict is returned by a Store if a row does not have the version that a write
// requires.
var ErrConflict = errors.New("a row was changed by another daemon")

// errEarlierEra is the error of an answer that was delayed until the store had come back
// from an older copy, and errLaterEra that of a write on rows of an earlier era, after
// which they were read again.
var (
	errEarlierEra = errors.New("response of an earlier era of the store")
	errLaterEra   = errors.New("the store has come back from an older copy")
)

// Archive saves and restores records.
type Archive struct {
	fleet    Fleet
	store    Store
	observer Observer
	// restored is closed once the records were restored.
	restored chan struct{}
	// awaited is signalled by Await, so that a pause after a failure ends, and failed after
	// each failure.
	awaited, failed chan struct{}

	// The fields below belong to the goroutine of Run. current is set if the rows were read
	// and no call has failed since. rows are the rows as last known, era is that of their
	// versions, and start is the time at which the store's clock was zero.
	current bool
	rows    map[mangomodel.Fingerprint]Row
	era     mangotraffic.Era
	start   time.Time
	lostAt  time.Time
	pause   time.Duration
	// known is the latest era that this daemon has heard of, and second when the rows are
	// read a second time in it, zero if they were.
	known  mangotraffic.Era
	second time.Time
}

// New returns an Archive. The fleet must have [mangofleet.WithSavedCrashes].
func New(fleet Fleet, store Store, o Observer) *Archive {
	return &Archive{
		fleet: fleet, store: store, observer: o, restored: make(chan struct{}),
		awaited: make(chan struct{}, 1), failed: make(chan struct{}, 1),
		rows: make(map[mangomodel.Fingerprint]Row), pause: minBackoff,
	}
}

// Await waits until the records were restored, and not longer than a start may take. The
// caller has found the store to respond, which may still refuse the read of the records.
func (a *Archive) Await(ctx context.Context) {
	select {
	case <-a.failed:
	default:
	}
	timer := time.NewTimer(maxAwait)
	defer timer.Stop()
	for range maxAwaitFailures {
		signal(a.awaited)
		select {
		case <-a.restored:
			return
		case <-a.failed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// signal signals a channel of capacity 1.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run restores the records and then saves changes until ctx ends. After a failure it reads
// the rows again: other daemons may have changed them meanwhile, and the store may have
// returned from an older copy. After such a return a daemon writes at once what it has seen
// itself and the store has lost, and a little later what nobody has written.
func (a *Archive) Run(ctx context.Context) {
	for !a.attempt(ctx, a.restore) {
		if ctx.Err() != nil {
			return
		}
	}
	a.observer.ArchiveRestored(len(a.rows))
	close(a.restored)
	a.known = a.era
	removal := time.Now().Add(removalInterval)
	writes := rate.NewLimiter(rate.Every(writeInterval), writeBurst)
	for ctx.Err() == nil {
		now, view := time.Now(), a.fleet.View()
		a.learn(max(a.era, view.ListCursor.Era), now)
		if !a.current {
			a.attempt(ctx, a.reconcile)
			continue
		}
		unsaved := view.UnsavedCrashes()
		if a.era < a.known && (view.OwnsCrashes() || len(unsaved) > 0) {
			a.attempt(ctx, a.reconcileOwn)
			continue
		}
		if !a.second.IsZero() && !now.Before(a.second) {
			if a.second = (time.Time{}); view.KnowsCrashes() {
				a.attempt(ctx, a.reconcile)
			}
			continue
		}
		if !now.Before(removal) {
			removal = now.Add(removalInterval)
			a.attempt(ctx, a.maintain)
			continue
		}
		end := removal
		if !a.second.IsZero() && a.second.Before(end) {
			end = a.second
		}
		list, next := due(unsaved, now, end)
		if len(list) == 0 {
			a.awaitChange(ctx, unsaved, next.Sub(now))
			continue
		}
		if !writes.AllowN(now, 1) {
			// What is due meanwhile is written with it.
			sleep(ctx, writeInterval)
			continue
		}
		a.attempt(ctx, func(ctx context.Context) error { return a.save(ctx, list) })
	}
}

// due returns the records that are due, and when the next one is, or the end if that is
// earlier.
func due(list []mangocrash.Unsaved, now, end time.Time) (ready []mangocrash.Unsaved, next time.Time) {
	for i, u := range list {
		if u.Due.After(now) {
			if u.Due.Before(end) {
				end = u.Due
			}
			return list[:i], end
		}
	}
	return list, end
}

// learn records that the store has reached an era.
func (a *Archive) learn(era mangotraffic.Era, now time.Time) {
	if era > a.known {
		a.known, a.second = era, now.Add(secondDelay+rand.N(secondSpread))
	}
}

// attempt makes calls to the store. If they fail, it tells the fleet and pauses. A panic
// counts as a failure.
func (a *Archive) attempt(ctx context.Context, call func(ctx context.Context) error) bool {
	err := func() (err error) {
		defer mangopanic.CatchError(a.observer, "archive", &err)
		return call(ctx)
	}()
	if err == nil {
		if !a.lostAt.IsZero() {
			a.observer.ArchiveRegained(time.Since(a.lostAt))
		}
		a.current, a.lostAt, a.pause = true, time.Time{}, minBackoff
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if a.lostAt.IsZero() {
		a.lostAt = time.Now()
		a.observer.ArchiveLost(err)
	}
	a.current = false
	// This fails only when the process ends.
	_ = a.fleet.Do(ctx, mangofleet.CrashesNotSaved{})
	signal(a.failed)
	timer := time.NewTimer(a.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.awaited:
	case <-ctx.Done():
	}
	a.pause = min(2*a.pause, maxBackoff)
	return false
}

// restore reads the rows and merges them into the fleet's records.
func (a *Archive) restore(ctx context.Context) error {
	t, err := a.store.Rows(ctx)
	if err != nil {
		return err
	}
	if t.Era < max(a.era, a.known) {
		return errEarlierEra
	}
	clear(a.rows)
	a.era = t.Era
	return a.merge(ctx, t)
}

// reconcile reads the rows, and makes the records due that say more.
func (a *Archive) reconcile(ctx context.Context) error {
	if err := a.restore(ctx); err != nil {
		return err
	}
	return a.fleet.Do(ctx, mangofleet.ResaveCrashes{})
}

// reconcileOwn reads the rows, and makes the records due that this daemon has changed and
// that say more.
func (a *Archive) reconcileOwn(ctx context.Context) error {
	if err := a.restore(ctx); err != nil {
		return err
	}
	return a.fleet.Do(ctx, mangofleet.ResaveCrashes{Own: true})
}

// merge records the rows of the store and merges them into the fleet's records. The rows
// seen first are merged first, which the fleet's order makes cheap.
func (a *Archive) merge(ctx context.Context, t Table) error {
	a.start = time.Now().Add(-time.Duration(t.Clock))
	slices.SortFunc(t.Rows, bySeen)
	var records []mangocrash.Record
	for _, r := range t.Rows {
		a.rows[r.Call] = r
		records = append(records, r.record(a.start))
	}
	for batch := range slices.Chunk(records, restoreBatch) {
		if err := a.fleet.Do(ctx, mangofleet.RestoreCrashes{Records: batch}); err != nil {
			return err
		}
	}
	return a.fleet.Do(ctx, mangofleet.RestoreCrashes{})
}

// save writes records. Those that the store holds already are not written. After a conflict
// with the write of another daemon the next save writes what the merged records add.
func (a *Archive) save(ctx context.Context, list []mangocrash.Unsaved) error {
	var changed []Row
	for _, u := range list {
		next, current := rowOf(u.Record, a.start), a.rows[u.Call]
		if next.Version = current.Version; !current.holds(next) {
			changed = append(changed, next)
		}
	}
	if len(changed) > 0 {
		t, err := a.replace(ctx, changed)
		if errors.Is(err, ErrConflict) {
			for _, r := range changed {
				delete(a.rows, r.Call)
			}
			return a.merge(ctx, t)
		}
		if errors.Is(err, errLaterEra) {
			return nil
		}
		if err != nil {
			return err
		}
		a.replaced(changed, t)
	}
	return a.fleet.Do(ctx, mangofleet.CrashesSaved{Saved: list, Written: len(changed) > 0})
}

// replace replaces rows as the store does. After an answer of a later era the rows are read
// again, and the records that say more are due again. The row of another daemon may have been
// replaced, which then writes it at its second reading.
func (a *Archive) replace(ctx context.Context, rows []Row) (Table, error) {
	t, err := a.store.Replace(ctx, a.era, rows)
	switch {
	case err != nil && !errors.Is(err, ErrConflict):
		return Table{}, err
	case t.Era < a.era:
		return Table{}, errEarlierEra
	case t.Era > a.era:
		if err := a.reconcileOwn(ctx); err != nil {
			return Table{}, err
		}
		return Table{}, errLaterEra
	}
	return t, err
}

// replaced records rows that were written.
func (a *Archive) replaced(rows []Row, t Table) {
	a.start = time.Now().Add(-time.Duration(t.Clock))
	if len(a.rows) > maxRows {
		// The versions are found out by conflicts.
		clear(a.rows)
	}
	for _, r := range rows {
		if delete(a.rows, r.Call); !r.Empty() {
			r.Version = t.Version
			a.rows[r.Call] = r
		}
	}
}

// maintain removes the rows past their retention, and the oldest ones if there are too many.
// One daemon does this for all.
func (a *Archive) maintain(ctx context.Context) error {
	if !a.fleet.View().MaintainsArchive() {
		return nil
	}
	if err := a.reconcile(ctx); err != nil {
		return err
	}
	list := slices.SortedFunc(maps.Values(a.rows), bySeen)
	now := Clock(time.Since(a.start))
	var old []Row
	for i, r := range list {
		if len(list)-i > maxRows || time.Duration(now-r.Seen) >= mangocrash.Retention {
			old = append(old, Row{Call: r.Call, Version: r.Version})
		}
	}
	for batch := range slices.Chunk(old, maxBatch) {
		// A conflict means that a row is in use again. The others are removed next time.
		_, err := a.replace(ctx, batch)
		if errors.Is(err, errLaterEra) {
			return nil
		}
		if err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
		sleep(ctx, writeInterval)
	}
	return nil
}

// awaitChange waits until there is a record to be saved that is not among those of a list,
// some time has passed or ctx ends.
func (a *Archive) awaitChange(ctx context.Context, known []mangocrash.Unsaved, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var last mangocrash.Change
	for _, u := range known {
		last = max(last, u.Change)
	}
	if err := a.fleet.Do(ctx, mangofleet.AwaitCrashesUnsaved{After: last}); err != nil {
		sleep(ctx, minBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
