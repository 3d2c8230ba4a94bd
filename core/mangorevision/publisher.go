package mangorevision

import (
	"context"
	"encoding/json"
	"time"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// retryPause is the pause between tries to write a change.
const retryPause = 100 * time.Millisecond

// Publisher writes changes.
type Publisher struct {
	table   Table
	objects Objects
	// snapshotEvery is the number of revisions between stored catalogs.
	snapshotEvery mangomodel.Revision
}

// PublisherOption configures a Publisher.
type PublisherOption func(*Publisher)

// WithSnapshotEvery sets the number of revisions between stored catalogs.
func WithSnapshotEvery(n mangomodel.Revision) PublisherOption {
	return func(p *Publisher) { p.snapshotEvery = n }
}

// NewPublisher returns a Publisher.
func NewPublisher(table Table, objects Objects, opts ...PublisherOption) *Publisher {
	p := &Publisher{table: table, objects: objects, snapshotEvery: SnapshotEvery}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Publish has a change accepted and returns its revision. It starts from the
// given catalog and reads the changes that were accepted after it. It fails
// with CodeInvalid or CodeConflict when the change does not fit, as not run;
// and with RunUnknown when ctx ended while the fate of the write was open. A
// change with the same ID may then be published again.
func (p *Publisher) Publish(ctx context.Context, catalog *mangoconfig.Catalog, change mangoconfig.Change) (mangomodel.Revision, error) {
	if rev, ok := catalog.Accepted(change); ok {
		return rev, nil
	}
	for {
		rev := catalog.Revision() + 1
		existing, ok, err := p.readOpen(ctx, rev)
		if err != nil {
			return 0, err
		}
		if !ok {
			existing, err = p.offer(ctx, catalog, rev, change)
			if err != nil {
				return 0, err
			}
		}
		if catalog, err = catalog.Apply(existing); err != nil {
			return 0, err
		}
		if existing.ID == change.ID {
			p.store(ctx, catalog)
			return rev, nil
		}
	}
}

// offer writes a change at a revision and returns the change that is there
// in the end, which may be another one.
func (p *Publisher) offer(ctx context.Context, catalog *mangoconfig.Catalog, rev mangomodel.Revision, change mangoconfig.Change) (mangoconfig.Change, error) {
	if _, err := catalog.Apply(change); err != nil {
		return change, err
	}
	value, err := json.Marshal(change)
	if err != nil {
		return change, err
	}
	open := false
	for {
		_, err := p.table.Put(ctx, changeKey(rev), value, 0)
		if err == nil {
			return change, nil
		}
		open = open || mangomodel.AsFault(err, mangomodel.StepConfigure).Run != mangomodel.RunNot
		existing, ok, readErr := readChange(ctx, p.table, rev)
		if readErr == nil && ok {
			return existing, nil
		}
		if !pause(ctx) {
			return change, unpublished(open, err)
		}
	}
}

// readOpen reads the change at a revision until the table service answers.
func (p *Publisher) readOpen(ctx context.Context, rev mangomodel.Revision) (mangoconfig.Change, bool, error) {
	for {
		change, ok, err := readChange(ctx, p.table, rev)
		if err == nil {
			return change, ok, nil
		}
		if !pause(ctx) {
			return change, false, unpublished(false, err)
		}
	}
}

// store keeps the catalog in the object store at every so many revisions. A
// failure costs later readers time only.
func (p *Publisher) store(ctx context.Context, catalog *mangoconfig.Catalog) {
	rev := catalog.Revision()
	if rev%p.snapshotEvery != 0 {
		return
	}
	data, err := json.Marshal(catalog.Documents())
	if err != nil {
		return
	}
	if err := p.objects.PutObject(ctx, objectOf(rev), data); err != nil {
		return
	}
	p.point(ctx, rev)
}

// point moves the pointer row forward, never back.
func (p *Publisher) point(ctx context.Context, rev mangomodel.Revision) {
	row, err := p.table.Get(ctx, pointerKey)
	if err != nil {
		return
	}
	var current pointer
	if row.Version != 0 && json.Unmarshal(row.Value, &current) == nil && current.Revision >= rev {
		return
	}
	value, err := json.Marshal(pointer{Revision: rev, Object: objectOf(rev)})
	if err != nil {
		return
	}
	// A lost write or a conflict leaves an older or a newer pointer.
	_, _ = p.table.Put(ctx, pointerKey, value, row.Version)
}

// pause waits before the next try. It returns false when ctx has ended.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func unpublished(open bool, err error) error {
	run := mangomodel.RunNot
	code := mangomodel.CodeUnavailable
	if open {
		run = mangomodel.RunUnknown
		code = mangomodel.CodeUnknownOutcome
	}
	return mangomodel.NewFault(mangomodel.StepConfigure, "table", code, run, err)
}
