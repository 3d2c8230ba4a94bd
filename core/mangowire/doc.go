// Package mangowire declares the messages that daemons exchange with callers,
// operators, backend servers and the platform, and the mapping between fault
// codes and HTTP status codes.
//
// The package declares types and no decisions. Every field is encoded in JSON
// under its Go name.
//
// # Usage
//
//	status := mangowire.StatusOf(fault.Code)
//	body := mangowire.FaultBodyOf(fault)
//	fault = body.Fault()
//	code := mangowire.CodeFrom(status)
package mangowire
