// Package mangorevision keeps the sequence of accepted configuration changes
// in the platform's table service.
//
// Change n is the row "Change/n", which is written only if absent. The first
// writer's change is accepted as revision n; the row is never replaced. The
// current revision is the last row before the first gap, so no separate head
// row has to be kept consistent. Every [SnapshotInterval] revisions the catalog
// is stored in the object store and the row "Snapshot" points to it, so that
// a daemon that starts without state reads few rows.
//
// Invariants:
//
//   - A publication writes its change to row n+1 only if row n holds another
//     change, so one publication is accepted at most once. A change that is
//     published again after its document was removed is a new change.
//   - Every accepted change was validated against the catalog of the previous
//     revision, so every daemon can apply it.
//
// # Usage
//
//	p := mangorevision.NewPublisher(table, objects)
//	rev, err := p.Publish(ctx, catalog, change)
//
//	r := mangorevision.NewReader(table, objects)
//	catalog, err := r.Bootstrap(ctx)
//	changes, err := r.After(ctx, catalog.Revision())
package mangorevision
