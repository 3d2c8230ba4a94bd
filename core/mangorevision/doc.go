// Package mangorevision keeps the sequence of accepted configuration changes
// in the platform's table service.
//
// Change n is the row "Change/n", which is written if absent. Whoever writes
// it first has had its change accepted as revision n; nobody ever replaces
// it. The newest revision is the last row without a gap, so no separate head
// row has to be kept in step. At every [SnapshotEvery] revisions the catalog
// is stored in the object store and the row "Snapshot" points to it, so that
// a daemon that starts without state reads few rows.
//
// Invariants:
//
//   - A change is tried at row n+1 only after it is known that row n holds
//     another change, so a change is accepted at most once.
//   - Every accepted change was checked against the catalog of the revision
//     before it, so every daemon can apply it.
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
