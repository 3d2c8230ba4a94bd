// Package mangoagent holds the background workers of a daemon. Each worker is
// a goroutine that exchanges messages with peers, backend servers or the
// platform at intervals and turns what it learns into commands.
//
// The workers decide nothing: whom to probe, which servers to poll and whose
// grants to renew are queries of the snapshot, and what the answers mean is
// decided by the commands.
//
// # Usage
//
//	p := mangoagent.NewProber(control, peers, follower, mangoagent.WithProbeInterval(500*time.Millisecond))
//	go p.Run(ctx)
//
// Every worker ends when the context of its Run ends.
package mangoagent
