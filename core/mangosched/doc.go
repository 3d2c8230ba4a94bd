// Package mangosched decides which requests run, when and on which backend
// servers. It implements the state machine of the shards that a daemon
// schedules.
//
// A [Scheduler] has no lock, no goroutine and no clock: the control goroutine
// owns it, passes the time to each method, and executes the effects that
// [Scheduler.TakeEffects] returns. Tests drive it the same way.
//
// Invariants:
//
//   - A prefill is granted only together with a slot and KV memory on a decode
//     server, because a prefill's result outlives the prefill by less than a
//     second.
//   - A demand is decided exactly once, by a [Decision] effect.
//   - A refused demand has never been granted, so its refusal is "not run".
//   - The capacity that a grant takes on a server is returned exactly once, by
//     release, by expiry of its holder or by removal of the server.
//
// # Usage
//
//	s := mangosched.New()
//	s.Configure(now, shards)
//	s.Acquire(now, shardID, demand)
//	for _, effect := range s.TakeEffects() { ... }
//	s.Release(now, grantID, usage)
package mangosched
