// Package mangoquery answers questions about a daemon's control state.
//
// The control goroutine publishes an immutable [Snapshot] after each batch of
// commands. Any goroutine may call the methods of a snapshot; they change
// nothing, do no I/O and take no lock. A snapshot that was read stays as it
// is while newer ones are published.
//
// # Usage
//
//	snap := control.Snapshot()
//	for _, shard := range snap.ShardsFor(model, fingerprint) {
//		owner, ok := snap.Owner(shard)
//		...
//	}
//
// The package never imports package mangocommand; a test over the imports
// holds that.
package mangoquery
