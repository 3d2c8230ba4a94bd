package mangorevision

import (
	"context"
	"encoding/json"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// retryInterval is the time between attempts to read or write a change.
const retryInterval = 100 * time.Millisecond

// Publisher publishes configuration changes.
type Publisher struct {
	table   Table
	objects Objects
	// snapshotInterval is the number of revisions between stored catalogs.
	snapshotInterval mangomodel.Revision
}

// PublisherOption configures a Publisher.
type PublisherOption func(*Publisher)

// WithSnapshotInterval sets the number of revisions between stored catalogs.
func WithSnapshotInterval(n mangomodel.Revision) PublisherOption {
	return func(p *Publisher) { p.snapshotInterval = n }
}

// NewPublisher returns a Publisher.
func NewPublisher(table Table, objects Objects, opts ...PublisherOption) *Publisher {
	p := &Publisher{table: table, objects: objects, snapshotInterval: SnapshotInterval}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Publish publishes a change and returns the revision at which it was accepted.
// It starts from the given catalog and reads the changes accepted after it. It
// retries failed reads and writes until ctx is done. It fails with CodeInvalid
// or CodeConflict and RunNot if the change does not apply, with CodeUnavailable
// and RunNot if ctx was done before a write took effect, and with
// CodeUnknownOutcome and RunUnknown if ctx was done while the outcome of a write
// was unknown. A change with the same ID may then be published again.
func (p *Publisher) Publish(ctx context.Context, catalog *mangoconfig.Catalog, change mangoconfig.Change) (mangomodel.Revision, error) {
	if rev, ok := catalog.Accepted(change); ok {
		return rev, nil
	}
	for {
		rev := catalog.Revision() + 1
		existing, ok, err := p.readWithRetry(ctx, rev)
		if err != nil {
			return 0, err
		}
		if !ok {
			existing, err = p.writeChange(ctx, catalog, rev, change)
			if err != nil {
				return 0, err
			}
		}
		if catalog, err = catalog.Apply(existing); err != nil {
			return 0, err
		}
		if existing.ID == change.ID {
			p.storeSnapshot(ctx, catalog)
			return rev, nil
		}
	}
}

// writeChange writes a change at a revision and returns the change that the row
// then holds, which may be that of another writer.
func (p *Publisher) writeChange(ctx context.Context, catalog *mangoconfig.Catalog, rev mangomodel.Revision, change mangoconfig.Change) (mangoconfig.Change, error) {
	if _, err := catalog.Apply(change); err != nil {
		return change, err
	}
	value, err := json.Marshal(change)
	if err != nil {
		return change, err
	}
	uncertain := false
	for {
		_, err := p.table.Put(ctx, changeKey(rev), value, 0)
		if err == nil {
			return change, nil
		}
		uncertain = uncertain || mangomodel.AsFault(err, mangomodel.StepConfigure).Run != mangomodel.RunNot
		existing, ok, readErr := readChange(ctx, p.table, rev)
		if readErr == nil && ok {
			return existing, nil
		}
		if !waitRetry(ctx) {
			return change, publishFault(uncertain, err)
		}
	}
}

// readWithRetry reads the change at a revision, retrying until the table
// service responds or ctx is done.
func (p *Publisher) readWithRetry(ctx context.Context, rev mangomodel.Revision) (mangoconfig.Change, bool, error) {
	for {
		change, ok, err := readChange(ctx, p.table, rev)
		if err == nil {
			return change, ok, nil
		}
		if !waitRetry(ctx) {
			return change, false, publishFault(false, err)
		}
	}
}

// storeSnapshot stores the catalog in the object store if its revision is a
// multiple of snapshotInterval. A failure only makes later readers slower.
func (p *Publisher) storeSnapshot(ctx context.Context, catalog *mangoconfig.Catalog) {
	rev := catalog.Revision()
	if rev%p.snapshotInterval != 0 {
		return
	}
	data, err := json.Marshal(catalog.Documents())
	if err != nil {
		return
	}
	if err := p.objects.PutObject(ctx, objectName(rev), data); err != nil {
		return
	}
	p.advancePointer(ctx, rev)
}

// advancePointer sets the pointer row to a revision, unless it already names
// that revision or a newer one.
func (p *Publisher) advancePointer(ctx context.Context, rev mangomodel.Revision) {
	row, err := p.table.Get(ctx, pointerKey)
	if err != nil {
		return
	}
	var current pointer
	if row.Version != 0 && json.Unmarshal(row.Value, &current) == nil && current.Revision >= rev {
		return
	}
	value, err := json.Marshal(pointer{Revision: rev, Object: objectName(rev)})
	if err != nil {
		return
	}
	// A failed write leaves an older pointer, and a conflict the pointer of
	// another writer. Both are valid.
	_, _ = p.table.Put(ctx, pointerKey, value, row.Version)
}

// waitRetry waits for retryInterval. It returns false if ctx is done first.
func waitRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// publishFault returns the fault of a publication that ended before it
// completed. Uncertain says that the change may have been written.
func publishFault(uncertain bool, err error) error {
	run := mangomodel.RunNot
	code := mangomodel.CodeUnavailable
	if uncertain {
		run = mangomodel.RunUnknown
		code = mangomodel.CodeUnknownOutcome
	}
	return mangomodel.NewFault(mangomodel.StepConfigure, "table", code, run, err)
}
