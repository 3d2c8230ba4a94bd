// Package mangoagent holds the background workers of a daemon. Each worker is
// a goroutine that exchanges messages with peers, backend servers or the
// platform at intervals and turns the replies into commands.
//
// The workers make no decisions: queries of the snapshot select the daemons to
// probe, the servers to poll and the grants to renew, and the commands interpret
// the replies.
//
// # Usage
//
//	p := mangoagent.NewProber(control, peers, follower, mangoagent.WithProbeInterval(500*time.Millisecond))
//	go p.Run(ctx)
//
// Every worker ends when the context of its Run ends.
package mangoagent
