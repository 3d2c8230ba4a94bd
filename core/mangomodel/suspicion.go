package mangomodel

import "time"

// CrashID identifies one crash: a server and the life that ended.
type CrashID struct {
	Server ServerID
	Boot   string
}

// Suspicion says which crashes a request was aboard. It is spread among the
// daemons of a data centre. Two suspicions of one request merge to the union
// of what they say.
type Suspicion struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	// Alone is set when the request was the only one on probation aboard a
	// server that crashed.
	Alone bool
	// Last is when the latest crash was seen, and Passed when the request
	// last passed its probation.
	Last, Passed time.Time
}
