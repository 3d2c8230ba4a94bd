package mangoorigin

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// maxReads is the number of reads of rows of streams a second by one daemon, of which as
	// many may follow each other at once: those of the streams of a server that breaks. All
	// daemons together make allReads. minReads is what each may make in the largest fleet.
	maxReads, minReads, allReads = 40, 4, 1200
	// rowWait bounds how long an absent row is awaited, since the daemon at which the stream
	// began may be about to write it, and rowPause is the pause before the second read.
	// Each further pause is longer by as much.
	rowWait  = time.Second
	rowPause = 100 * time.Millisecond
	// readyWait bounds how long a daemon that starts, or was cut off, waits for the histories.
	readyWait = time.Second
)

// Origins records and resolves the builds at which streams began. It implements
// mangorelay.Origins.
type Origins struct {
	fleet    Fleet
	store    Store
	observer Observer
	first    bool
	began    time.Time
	memory   *memory
	reads    *rate.Limiter
	flights  flights
	// published is what is known of services.
	published atomic.Pointer[snapshot]
	// wake is signalled when a stream waits to be saved or another build has served.
	wake chan struct{}
}

// snapshot is what is known of services at a time. It is immutable.
type snapshot struct {
	// sole is the build that began all streams of a service, where there is one.
	sole map[mangotraffic.ServiceName]mangomodel.Build
	// others is the number of other daemons when the list was last known to be current.
	others int
	// at is when this was published, and behind is set if the daemon may have missed builds.
	at     time.Time
	behind bool
	// unread is closed once the histories of other daemons were read; nil if they were.
	unread chan struct{}
}

// Option configures Origins.
type Option func(*Origins)

// WithFirstStart states that the whole installation starts for the first time: a service
// without a history had no servers before.
func WithFirstStart(first bool) Option { return func(o *Origins) { o.first = first } }

// New returns Origins that save and read nothing before Run.
func New(fleet Fleet, store Store, observer Observer, opts ...Option) *Origins {
	o := &Origins{
		fleet: fleet, store: store, observer: observer, began: time.Now(), memory: newMemory(),
		reads: rate.NewLimiter(maxReads, maxReads),
		wake:  make(chan struct{}, 1),
	}
	o.published.Store(&snapshot{unread: make(chan struct{})})
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Begin records that the first event of a stream came from a build. It does not wait. If it
// is called for two builds, that of the stream is not known.
func (o *Origins) Begin(stream mangotraffic.StreamID, build mangomodel.Build) {
	queued := o.memory.begin(stream, build, time.Now())
	if sole, ok := o.published.Load().sole[stream.Service]; queued || ok && sole != build {
		signal(o.wake)
	}
}

// Reasons why a stream cannot continue.
var (
	errAmbiguous = errors.New("its first event came from a server that restarted with another build meanwhile")
	errNoName    = errors.New("several builds serve, and the call does not name the request whose stream it resumes")
	errNoRow     = errors.New("several builds serve, and no record names the one that began it")
	errReads     = errors.New("several builds serve, and too many records are being read")
	errStale     = errors.New("the list of servers may lack its build, and no record names it")
)

// Origin returns the build at which a stream began. It waits for the row of another daemon
// for up to a second. The error is a fault with CodeCannotResume and RunNot if the build is
// not known.
func (o *Origins) Origin(ctx context.Context, stream mangotraffic.StreamID) (mangomodel.Build, error) {
	build, evidence, err := o.resolve(ctx, stream)
	o.observer.OriginResolved(stream, evidence, err)
	if err != nil {
		return "", mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeCannotResume, mangomodel.RunNot,
			"the build that began stream %q of %s is not known: %w", stream.Request, stream.Service, err)
	}
	if evidence != EvidenceMemory && stream.Request != "" && o.memory.learn(stream, build, evidence == EvidenceRow, time.Now()) {
		signal(o.wake)
	}
	return build, nil
}

func (o *Origins) resolve(ctx context.Context, stream mangotraffic.StreamID) (mangomodel.Build, Evidence, error) {
	if known, ok := o.memory.get(stream, time.Now()); ok && stream.Request != "" {
		if known.ambiguous {
			return "", EvidenceNone, errAmbiguous
		}
		return known.build, EvidenceMemory, nil
	}
	o.awaitReady(ctx)
	build, sole, current := o.sole(stream.Service)
	if sole && current {
		return build, EvidenceSole, nil
	}
	if stream.Request == "" {
		return "", EvidenceNone, errNoName
	}
	row, err := o.flights.do(ctx, stream, o.readRow)
	if err != nil && sole {
		// The histories may have been read meanwhile.
		if build, sole, current = o.sole(stream.Service); sole && current {
			return build, EvidenceSole, nil
		}
	}
	switch {
	case sole && errors.Is(err, errNoRow):
		return "", EvidenceNone, errStale
	case err != nil:
		return "", EvidenceNone, err
	case row.Ambiguous:
		return "", EvidenceNone, errAmbiguous
	}
	return row.Build, EvidenceRow, nil
}

// sole returns the build that began all streams of a service as far as this daemon knows, if
// there is one, and whether no other daemon in touch can know of another.
func (o *Origins) sole(service mangotraffic.ServiceName) (build mangomodel.Build, sole, current bool) {
	known := o.published.Load()
	build, sole = known.sole[service]
	now := time.Now()
	current = !known.behind && mangomodel.Elapsed(known.at, now) < mangoroster.AliveTimeout && known.current(o.fleet.View(), now)
	return build, sole, current
}

// current reports whether no daemon in touch has a later list: it was read lately, or it is
// that of at least half of the other daemons, none of which can read.
func (s *snapshot) current(v *mangofleet.View, now time.Time) bool {
	if !v.Stale(now) {
		return true
	}
	alive := 0
	for i, m := range v.Members {
		if i > 0 && mangomodel.Elapsed(m.At, now) < mangoroster.AliveTimeout {
			alive++
		}
	}
	return 2*alive >= s.others
}

// awaitReady waits until the histories were read, and not longer than a start may take.
func (o *Origins) awaitReady(ctx context.Context) {
	unread := o.published.Load().unread
	if unread == nil {
		return
	}
	timer := time.NewTimer(readyWait)
	defer timer.Stop()
	select {
	case <-unread:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readRow reads the row of a stream until it is there, for at most rowWait.
func (o *Origins) readRow(stream mangotraffic.StreamID) (row StreamRow, err error) {
	defer mangopanic.CatchError(o.observer, "read of a stream's origin", &err)
	ctx, cancel := context.WithTimeout(context.Background(), rowWait)
	defer cancel()
	last := errReads
	for pause := rowPause; ; pause += rowPause {
		if o.reads.Wait(ctx) != nil {
			return StreamRow{}, last
		}
		row, ok, _, err := o.store.Stream(ctx, stream)
		switch {
		case err == nil && ok:
			return row, nil
		case err == nil:
			last = errNoRow
		case ctx.Err() == nil || last == errReads:
			last = err
		}
		if sleep(ctx, pause); ctx.Err() != nil {
			return StreamRow{}, last
		}
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
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
