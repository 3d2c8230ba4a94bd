// Package mangosuspect decides which requests crash backend servers.
//
// A request whose stream failed because of its server is a suspect until the
// server's next load report, for at most ten seconds. A server that reports
// another boot, or whose host refuses connections, has crashed. The crash counts
// against every request whose stream failed with it. These requests run again on
// probation, on separate servers. A request is quarantined if a server crashes
// while the request is the only one on probation there, or if three crashes count
// against it. The quarantine lasts longer with each further crash; after it, the
// request runs on probation again.
//
// [Records] have no lock, goroutine or clock; their owner passes the time.
// The records of several daemons merge to their union, in any order.
//
// # Usage
//
//	r := mangosuspect.New()
//	r.RecordBoot(now, server, boot, reportedAt)
//	r.RecordFailure(server, mangosuspect.StreamFailure{Fingerprint: f, At: now})
//	r.RecordRefused(now, server)
//	if r.Quarantined(now, f) { ... }
package mangosuspect
