// Package mangomember decides which daemons are alive. It implements the state
// machine of a failure detector and the dissemination of its results.
//
// Each daemon probes one other daemon of its data centre in each period, in a
// shuffled round. A target that responds neither directly nor through helpers
// becomes suspect, and dead after [SuspicionTimeout] unless it refutes the
// suspicion. Changed records are piggybacked on probes and replies, each a
// limited number of times, so that the cost per daemon does not grow with the
// number of daemons. A daemon adds members of another data centre only while it
// has fewer than [RemoteMembersPerDataCentre] there that are not dead.
//
// A [Table] has no lock, goroutine or clock; the control goroutine owns it.
//
// Invariants:
//
//   - Of two records of one daemon the one with the higher (incarnation,
//     version, state) is kept, so merging is idempotent. It is commutative for
//     recorded daemons; a dead daemon without a record, or a remote one beyond
//     the limit, is discarded, so the result then depends on the order.
//   - A daemon never records itself as suspect or dead; it refutes such a
//     record with a higher version.
//
// # Usage
//
//	t := mangomember.New(self)
//	lost := t.Merge(now, updates)
//	t.ProbeFailed(now, target)
//	lost = t.Tick(now)
//
// The protocol follows SWIM (Das, Gupta, Motivala, 2002), with suspicion and
// piggybacked dissemination.
package mangomember

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State -text -output=state_string.go
