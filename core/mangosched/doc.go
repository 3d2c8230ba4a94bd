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
//   - A [Decision] effect decides a demand. A withdrawn demand and a demand of
//     an ended holder get none. A retried Acquire of an active grant gets another
//     Decision without error.
//   - A demand is refused only before it is granted, so its refusal is "not run".
//     An Acquire retried after the grant has ended is a new demand. The exception
//     is a retry for a shard without servers; see [Scheduler.Acquire].
//   - The capacity that a grant takes on a server is returned when the grant ends
//     or the server is removed. A grant ends by release, withdrawal, preemption,
//     a renewal that no longer lists it, or the end of its holder.
//
// # Usage
//
//	s := mangosched.New(self)
//	s.Configure(now, shards)
//	s.Acquire(now, shardID, demand)
//	for _, effect := range s.TakeEffects() { ... }
//	s.Release(now, grantID, usage)
package mangosched
