// Package mangocommand is the only code that changes a daemon's control
// state.
//
// A [Control] runs one goroutine, the control goroutine, which applies typed
// commands sequentially to the daemon's state: the configuration catalog, the
// membership table, the scheduler of the daemon's shards and the grants that
// the daemon's requests hold. After each batch of commands it publishes a
// [mangoquery.Snapshot] and only then returns the results to the callers, so
// that a caller reads its own writes.
//
// Invariants:
//
//   - The control goroutine does no I/O and never waits for a peer. Work that
//     needs I/O is emitted as a [mangosched.Cancel] on [Control.Cancels].
//   - A command returns only an error. Its effects are read from the snapshot.
//   - The goroutine sleeps until a command arrives or the next deadline of
//     the state is due.
//
// # Usage
//
//	control := mangocommand.New(self)
//	go control.Run(ctx)
//	if err := control.Do(ctx, mangocommand.Acquire{Shard: shard, Demand: d}); err != nil { ... }
//	grant, _ := control.Snapshot().Grant(d.Grant)
package mangocommand
