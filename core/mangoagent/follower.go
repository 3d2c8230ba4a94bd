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
	// the daemon that does so for its data centre.
	DefaultFollowInterval = time.Second
	// fetchTimeout bounds a read of configuration.
	fetchTimeout = 2 * time.Second
	// hintQueue is how many hints of newer configuration may wait.
	hintQueue = 16
	// backstopEvery is the number of intervals after which any daemon reads
	// the platform, in case the one that does so for the data centre cannot.
	backstopEvery = 4
	// fanOut is how many daemons of the data centre are told of a new revision
	// at once, beside one in each other data centre.
	fanOut = 3
)

// Notifier tells other daemons of a new revision at once.
type Notifier interface {
	// Notify exchanges news outside of the probing.
	Notify(ctx context.Context, to mangomember.Member, msg ExchangeMessage) (ExchangeMessage, error)
}

// hint says that a daemon has a newer configuration.
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
	// idle counts the intervals since the last read.
	idle int
}

// NewFollower returns a Follower.
func NewFollower(control Control, changes Changes, catalogs Catalogs, notifier Notifier, reporter Reporter, interval time.Duration) *Follower {
	return &Follower{
		control: control, changes: changes, catalogs: catalogs, notifier: notifier, reporter: reporter,
		interval: interval, hints: make(chan hint, hintQueue),
	}
}

// report passes a failure on.
func (f *Follower) report(err error) {
	if err != nil {
		f.reporter.Failed(mangomodel.StepConfigure, err)
	}
}

// Hint notes that a daemon has a revision. Hints that find no room are
// dropped; the next probe repeats them.
func (f *Follower) Hint(from mangomember.Member, revision mangomodel.Revision) {
	if revision <= f.control.Snapshot().Catalog.Revision() {
		return
	}
	select {
	case f.hints <- hint{from, revision}:
	default:
	}
}

// Run follows the configuration until ctx ends. Reads of the platform and of
// peers have goroutines of their own, so that neither waits for the other.
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

// Refresh reads the platform now, such as after a change was published here.
func (f *Follower) Refresh(ctx context.Context) { f.read(ctx) }

// poll reads the platform if this daemon does so for its data centre, has no
// configuration yet, or has not read for a while.
func (f *Follower) poll(ctx context.Context) {
	f.idle++
	snap := f.control.Snapshot()
	if snap.Catalog.Revision() == 0 || snap.RunsTask(mangoquery.TaskConfiguration) || f.idle >= backstopEvery {
		f.idle = 0
		f.read(ctx)
	}
}

func (f *Follower) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before := f.control.Snapshot().Catalog.Revision()
	if before == 0 {
		f.bootstrap(readCtx)
	} else {
		f.apply(readCtx)
	}
	f.tell(ctx, before)
}

func (f *Follower) bootstrap(ctx context.Context) {
	catalog, err := f.changes.Bootstrap(ctx)
	if err != nil {
		f.report(err)
		return
	}
	f.report(f.control.Do(ctx, mangocommand.InstallCatalog{Catalog: catalog}))
}

func (f *Follower) apply(ctx context.Context) {
	changes, err := f.changes.After(ctx, f.control.Snapshot().Catalog.Revision())
	f.report(err)
	// The changes before a failure are good.
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

// fetch takes the configuration of a daemon that has a newer one.
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
	f.tell(ctx, before)
}

// fetchAll takes the whole catalog of a daemon.
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

// tell passes a new revision on to some daemons at once, so that it reaches
// all of them in few steps.
func (f *Follower) tell(ctx context.Context, before mangomodel.Revision) {
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
	// A notice that is lost is made up for by the probes.
	_, _ = f.notifier.Notify(ctx, to, NewExchangeMessage(f.control, to))
}
