package mangomodel

import "time"

// CrashID identifies one crash: a server and the incarnation of its process that
// ended.
type CrashID struct {
	Server ServerID
	Boot   string
}

// Suspicion records the crashes of servers that were running a request at the
// time. It is distributed among the daemons of a data centre. Two
// suspicions of one request merge to their union.
type Suspicion struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	// Alone is set if the request was the only one on probation on a server
	// that crashed.
	Alone bool
	// Last is the latest time at which a crash ended the request's stream, and
	// Passed the time at which the request last passed its probation.
	Last, Passed time.Time
}
