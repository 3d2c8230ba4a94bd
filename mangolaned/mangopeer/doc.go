// Package mangopeer implements the calls between daemons over net/rpc.
//
// A daemon serves two services: Command, whose methods change its control
// state, and Query, whose methods only read it. Faults are fields of the replies,
// since net/rpc transmits errors as plain text.
//
// net/rpc has neither deadlines nor cancellation, and one connection carries
// all calls. Every call here is therefore bounded by its context; a call that
// receives no reply in time closes its connection, and the next call opens a new
// one.
//
// # Usage
//
//	peers := mangopeer.NewPeers()
//	server := mangopeer.NewServer(control, peers, follower)
//	err := server.Serve(listener)
package mangopeer
