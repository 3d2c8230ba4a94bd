// Package mangosuspect decides which requests crash backend servers.
//
// A request whose stream broke because of its server is a suspect until the
// server's next report. A server that reports another boot, or whose host
// refuses connections, has crashed, and all whose streams broke with it were
// aboard. They run again on probation, apart from each other. A request that
// breaks another server while it is alone on probation there is quarantined,
// as is one that was aboard three crashes.
//
// [Records] have no lock, goroutine or clock; their owner passes the time.
// Records of several daemons merge to the union of what they say, in any
// order.
//
// # Usage
//
//	r := mangosuspect.New()
//	r.RecordBoot(now, server, boot, reportedAt)
//	r.RecordFailure(server, mangosuspect.StreamFailure{Fingerprint: f, At: now})
//	r.RecordRefused(now, server)
//	if r.Quarantined(now, f) { ... }
package mangosuspect
