package mangoagent

import (
	"context"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

const (
	// DefaultFollowInterval is the pause between two reads of the platform by
	// the daemon that reads it for its data centre.
	DefaultFollowInterval = time.Second
	// fetchTimeout bounds a read of configuration.
	fetchTimeout = 2 * time.Second
	// hintQueueLength is how many hints of newer configuration are queued.
	hintQueueLength = 16
	// backstopIntervals is the number of intervals after which any daemon reads
	// the platform, in case the one that reads it for the data centre cannot.
	backstopIntervals = 4
	// fanOut is how many daemons of the data centre are notified of a new
	// revision at once, in addition to one in each other data centre.
	fanOut = 3
)

// Notifier notifies other daemons of a new revision without waiting for the
// next probe.
type Notifier interface {
	// Notify performs a state exchange outside of the regular probes.
	Notify(ctx context.Context, to mangomember.Member, msg ExchangeMessage) (ExchangeMessage, error)
}

// hint records that a daemon has a newer configuration.
type hint struct {
	from     mangomember.Member
	revision mangomodel.Revision
}

// Follower keeps the daemon's configuration up to date.
type Follower struct {
	control  Control
	changes  Changes
	catalogs Catalogs
	notifier Notifier
	reporter Reporter
	interval time.Duration
	hints    chan hint
	// idleIntervals counts the intervals since the last read.
	idleIntervals int
}

// NewFollower returns a Follower.
func NewFollower(control Control, changes Changes, catalogs Catalogs, notifier Notifier, reporter Reporter, interval time.Duration) *Follower {
	return &Follower{
		control: control, changes: changes, catalogs: catalogs, notifier: notifier, reporter: reporter,
		interval: interval, hints: make(chan hint, hintQueueLength),
	}
}

// report reports an error, if there is one.
func (f *Follower) report(err error) {
	if err != nil {
		f.reporter.ExchangeFailed(mangomodel.StepConfigure, err)
	}
}

// Hint queues the hint that a daemon has a newer revision. Hints that exceed
// the queue are dropped; the next probe delivers them again.
func (f *Follower) Hint(from mangomember.Member, revision mangomodel.Revision) {
	if revision <= f.control.Snapshot().Catalog.Revision() {
		return
	}
	select {
	case f.hints <- hint{from, revision}:
	default:
	}
}

// Run follows the configuration until ctx ends. Reads of the platform and reads
// of peers run on separate goroutines, so that neither delays the other.
func (f *Follower) Run(ctx context.Context) {
	go every(ctx, f.interval, f.poll)
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.hints:
			f.fetch(ctx, h)
		}
	}
}

// Refresh reads the platform now, for example after a change was published
// through this daemon.
func (f *Follower) Refresh(ctx context.Context) { f.readPlatform(ctx) }

// poll reads the platform if this daemon reads it for its data centre, has no
// configuration yet, or has not read it for backstopIntervals.
func (f *Follower) poll(ctx context.Context) {
	f.idleIntervals++
	snap := f.control.Snapshot()
	if snap.Catalog.Revision() == 0 || snap.RunsTask(mangoquery.TaskConfiguration) || f.idleIntervals >= backstopIntervals {
		f.idleIntervals = 0
		f.readPlatform(ctx)
	}
}

func (f *Follower) readPlatform(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before := f.control.Snapshot().Catalog.Revision()
	if before == 0 {
		f.bootstrap(readCtx)
	} else {
		f.applyNewChanges(readCtx)
	}
	f.notifyPeers(ctx, before)
}

func (f *Follower) bootstrap(ctx context.Context) {
	catalog, err := f.changes.Bootstrap(ctx)
	if err != nil {
		f.report(err)
		return
	}
	f.report(f.control.Do(ctx, mangocommand.InstallCatalog{Catalog: catalog}))
}

func (f *Follower) applyNewChanges(ctx context.Context) {
	changes, err := f.changes.After(ctx, f.control.Snapshot().Catalog.Revision())
	f.report(err)
	// The changes that were read before an error are valid.
	f.applyAll(ctx, changes)
}

func (f *Follower) applyAll(ctx context.Context, changes []mangoconfig.AcceptedChange) {
	for _, c := range changes {
		if err := f.control.Do(ctx, mangocommand.ApplyChange{Change: c}); err != nil {
			f.report(err)
			return
		}
	}
}

// fetch installs the configuration of a daemon that has a newer one. It fetches
// the whole catalog if the daemon no longer has all changes in between.
func (f *Follower) fetch(ctx context.Context, h hint) {
	before := f.control.Snapshot().Catalog.Revision()
	if h.revision <= before {
		return
	}
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	changes, err := f.catalogs.ChangesAfter(fetchCtx, h.from, before)
	switch {
	case err == nil:
		f.applyAll(fetchCtx, changes)
	case mangomodel.HasCode(err, mangomodel.CodeNotFound):
		f.report(f.fetchAll(fetchCtx, h.from))
	default:
		f.report(err)
	}
	f.notifyPeers(ctx, before)
}

// fetchAll installs the whole catalog of a daemon.
func (f *Follower) fetchAll(ctx context.Context, from mangomember.Member) error {
	docs, err := f.catalogs.Catalog(ctx, from)
	if err != nil {
		return err
	}
	catalog, err := mangoconfig.FromDocuments(docs)
	if err != nil {
		return err
	}
	return f.control.Do(ctx, mangocommand.InstallCatalog{Catalog: catalog})
}

// notifyPeers sends a new revision to some daemons at once, so that it reaches
// all of them in few steps.
func (f *Follower) notifyPeers(ctx context.Context, before mangomodel.Revision) {
	snap := f.control.Snapshot()
	if snap.Catalog.Revision() == before {
		return
	}
	for _, m := range snap.NotifyTargets(uint64(snap.Catalog.Revision()), fanOut) {
		go f.notify(ctx, m)
	}
}

func (f *Follower) notify(ctx context.Context, to mangomember.Member) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	// After a lost notification the probes spread the revision.
	_, _ = f.notifier.Notify(ctx, to, NewExchangeMessage(f.control, to))
}
