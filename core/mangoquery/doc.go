// Package mangoquery provides read-only queries of a daemon's control state.
//
// The control goroutine publishes an immutable [Snapshot] after each batch of
// commands. The methods of a snapshot are safe for concurrent use; they change
// nothing, do no I/O and take no lock. A snapshot does not change when newer
// ones are published.
//
// # Usage
//
//	snap := control.Snapshot()
//	for _, shard := range snap.ShardsFor(model, fingerprint) {
//		owner, ok := snap.Owner(shard)
//		...
//	}
//
// The package never imports package mangocommand; a test of the import graph
// enforces this.
package mangoquery
