// Package mangocommand is the only code that changes a daemon's control
// state.
//
// A [Control] runs one goroutine, the control goroutine, which applies typed
// commands one after the other to the daemon's state: the catalog of
// configuration, the membership table, the scheduler of the daemon's shards
// and the grants that the daemon's requests hold. After each batch of
// commands it publishes a [mangoquery.Snapshot] and only then answers the
// callers, so that a caller reads its own writes.
//
// Invariants:
//
//   - The control goroutine does no I/O and never waits for a peer. Work that
//     needs I/O leaves it as a [mangosched.Cancel] on [Control.Cancels].
//   - A command returns an error or nothing. What it brought about is read
//     from the snapshot.
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
