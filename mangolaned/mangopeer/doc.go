// Package mangopeer implements the calls between daemons over net/rpc.
//
// A daemon serves two services: Command, whose methods change its control
// state, and Query, whose methods only read it. Faults are fields of the replies,
// since net/rpc transmits errors as plain text.
//
// net/rpc has neither deadlines nor cancellation, and one connection carries
// many calls. Every call here is therefore bounded by its context. A call that
// receives no reply in time closes its connection, and the next call opens a new
// one. An exception is the connection for Acquire, whose calls may wait for a
// grant: a timeout of such a call does not close it, but a failed ping or probe
// of the daemon does.
//
// # Usage
//
//	peers := mangopeer.NewPeers()
//	server := mangopeer.NewServer(control, peers, follower, tracer)
//	err := server.Serve(listener)
package mangopeer
