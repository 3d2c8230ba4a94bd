// Package mangowire declares the messages that daemons exchange with callers,
// operators, backend servers and the platform, and the codes that faults have
// on HTTP.
//
// The package holds shapes and no decisions. Every field is written in JSON
// under its Go name.
//
// # Usage
//
//	status := mangowire.StatusOf(fault)
//	body := mangowire.FaultBodyOf(fault)
//	fault := mangowire.FaultFrom(step, peer, status, body)
package mangowire
