// Package mangofleet holds the control state of the reverse-proxy path: the
// active routing configuration, the backend servers and the leases on them.
//
// One goroutine owns the state. Commands change it and return at most an error;
// the published [View] serves queries. A traffic goroutine requests servers with
// [Acquire], reads the granted lease with [View.Lease], reports observations of
// its exchanges with [Observe] and returns the lease with [Release].
//
// Demands for which no server has room wait in one queue. Demands with a computed
// KV cache are served first, then those that can still meet their target, then
// those of higher priority, then those whose workspace has had less than its share, if the
// configuration has workspaces (package mangoshare), then cheaper and older ones. A demand that is not granted before
// its deadline is refused, and a refusal is final.
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
