package mangomodel

import "time"

// CrashID identifies one crash: a server and the life that ended.
type CrashID struct {
	Server ServerID
	Boot   string
}

// Suspicion says which crashes a request was aboard. It is spread among the
// daemons of a data centre.
type Suspicion struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	Last        time.Time
}
