// Package mangofleet is the control state of the reverse-proxy path: the
// routing in force, the backend servers and who uses them.
//
// One goroutine owns the state. Commands change it and return an error or
// nothing; the published [View] answers queries. A traffic goroutine asks for
// servers with [Acquire], reads which ones it got with [View.Lease], tells what
// it saw with [Observe] and gives them back with [Release].
//
// Demands that find no free server wait in one queue: those that can still
// meet their target go first, then the more urgent, then the older. A demand
// that cannot be served before its patience ends is refused, and a refusal is
// final.
//
// # Usage
//
//	fleet := mangofleet.New(self, limits)
//	go fleet.Run(ctx)
//	err := fleet.Do(ctx, mangofleet.Acquire{Lease: id, Demand: d})
//	lease, ok := fleet.View().Lease(id)
//	...
//	err = fleet.Do(ctx, mangofleet.Release{Lease: id})
package mangofleet
