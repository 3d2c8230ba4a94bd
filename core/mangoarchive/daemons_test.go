package mangoarchive

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const deadly mangomodel.Fingerprint = 7

// table is a store whose responses take some time.
type table struct {
	mu      sync.Mutex
	rows    map[mangomodel.Fingerprint]Row
	version Version
	era     mangotraffic.Era
	down    bool
	// late is how much later answers arrive than they were made.
	late time.Duration
	// loseAnswers is how many of the next writes are made without an answer.
	loseAnswers int
	// sent counts the rows of all writes.
	reads, writes, sent int
	began               time.Time
}

const latency = 5 * time.Millisecond

var errDown = errors.New("down")

func (t *table) Rows(context.Context) (Table, error) {
	time.Sleep(latency)
	t.mu.Lock()
	defer func() {
		late := t.late
		t.mu.Unlock()
		time.Sleep(late)
	}()
	t.reads++
	if t.down {
		return Table{}, errDown
	}
	result := Table{Version: t.version, Clock: Clock(time.Since(t.began)), Era: t.era}
	for _, r := range t.rows {
		result.Rows = append(result.Rows, r)
	}
	return result, nil
}

func (t *table) Replace(_ context.Context, _ mangotraffic.Era, rows []Row) (Table, error) {
	time.Sleep(latency)
	t.mu.Lock()
	defer func() {
		late := t.late
		t.mu.Unlock()
		time.Sleep(late)
	}()
	t.writes++
	t.sent += len(rows)
	if t.down {
		return Table{}, errDown
	}
	result := Table{Version: t.version, Clock: Clock(time.Since(t.began)), Era: t.era}
	conflict := false
	for _, r := range rows {
		current, ok := t.rows[r.Call]
		conflict = conflict || current.Version != r.Version
		if ok {
			result.Rows = append(result.Rows, current)
		}
	}
	if conflict {
		return result, ErrConflict
	}
	t.version++
	result.Version, result.Rows = t.version, nil
	for _, r := range rows {
		if delete(t.rows, r.Call); !r.Empty() {
			r.Version = t.version
			t.rows[r.Call] = r
		}
	}
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return Table{}, errDown
	}
	return result, nil
}

// copy returns a function that makes the table continue from its present state.
func (t *table) copy() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows, version := maps.Clone(t.rows), t.version
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.rows, t.version = maps.Clone(rows), version
		t.era++
	}
}

func (t *table) set(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// size returns the number of rows.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// written returns the number of writes.
func (t *table) written() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes
}

// read returns the number of reads.
func (t *table) read() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// rowsSent returns the number of rows of all writes.
func (t *table) rowsSent() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

func (t *table) row(call mangomodel.Fingerprint) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[call]
}

type observer struct{ mangopanic.Nop }

func (observer) ArchiveLost(error)             {}
func (observer) ArchiveRegained(time.Duration) {}
func (observer) ArchiveRestored(int)           {}

// daemons share a table and exchange no messages.
type daemons struct {
	*gomega.WithT
	ctx    context.Context
	table  *table
	fleets []*mangofleet.Fleet
	stop   []context.CancelFunc
	// probes counts the leases.
	probes uint64
}

func withDaemons(t *testing.T, n int, f func(d *daemons)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &daemons{
			WithT: gomega.NewWithT(t), ctx: ctx,
			table: &table{rows: make(map[mangomodel.Fingerprint]Row), began: time.Now()},
		}
		d.start(n)
		f(d)
		cancel()
		d.killAll()
		// Calls to the store end.
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

func (d *daemons) start(n int) {
	for range n {
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, DataCentre: "a1", Strong: true}
		fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits {
			return mangobudget.Limits{Window: time.Second}
		}, mangofleet.WithSavedCrashes())
		ctx, stop := context.WithCancel(d.ctx)
		a := New(fleet, d.table, observer{})
		go fleet.Run(ctx)
		go a.Run(ctx)
		d.fleets, d.stop = append(d.fleets, fleet), append(d.stop, stop)
		a.Await(ctx)
	}
}

func (d *daemons) killAll() {
	for _, stop := range d.stop {
		stop()
	}
	d.fleets, d.stop = nil, nil
}

func (d *daemons) do(i int, cmd mangofleet.Command) error { return d.fleets[i].Do(d.ctx, cmd) }

func (d *daemons) crash(i int, server mangocrash.Incarnation) {
	d.Expect(d.do(i, mangofleet.CallAborted{Call: deadly, Server: server})).To(gomega.Succeed())
}

// refused counts the daemons that refuse the call, or let it through as a probe only.
func (d *daemons) refused() int {
	n := 0
	for _, fleet := range d.fleets {
		if probe, err := fleet.View().AdmitCall(deadly, time.Now()); probe || err != nil {
			n++
		}
	}
	return n
}

// probe sends the call as a probe if a daemon lets it, and reports whether it was sent.
func (d *daemons) probe(i int) bool {
	if probe, err := d.fleets[i].View().AdmitCall(deadly, time.Now()); err != nil || !probe {
		return false
	}
	d.probes++
	lease := mangolease.ID{Number: d.probes}
	d.Expect(d.do(i, mangofleet.CallProbed{Call: deadly, Lease: lease})).To(gomega.Succeed())
	return d.do(i, mangofleet.AwaitCrashesSaved{Call: deadly}) == nil
}

// exchange sends what each daemon knows to all others.
func (d *daemons) exchange() {
	for _, from := range d.fleets {
		for _, to := range d.fleets {
			d.Expect(to.Do(d.ctx, mangofleet.MergeCrashes{Message: from.View().Crashes(false)})).To(gomega.Succeed())
		}
	}
}
