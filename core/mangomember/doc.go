// Package mangomember decides which daemons are alive. It is the state
// machine of a failure detector and of the spreading of its findings.
//
// Each daemon probes one other daemon of its data centre in each period, in a
// shuffled round. A target that answers neither directly nor through helpers
// becomes suspect, and dead after [SuspicionTimeout] unless it refutes. What
// changed travels on probes and answers, each change a limited number of
// times, so that the cost for one daemon does not grow with their number.
// Of other data centres a daemon knows only [RemoteMembersPerDataCentre] contacts.
//
// A [Table] has no lock, goroutine or clock; the control goroutine owns it.
//
// Invariants:
//
//   - Of two records of one daemon the one with the higher (incarnation,
//     version, state) is kept, so merging is commutative and idempotent.
//   - A daemon never records itself as suspect or dead; it refutes such a
//     record with a higher version.
//
// # Usage
//
//	t := mangomember.New(self)
//	lost := t.Merge(now, ack.Updates)
//	t.ProbeFailed(now, target)
//	lost = t.Tick(now)
//
// The protocol follows SWIM (Das, Gupta, Motivala, 2002), with suspicion and
// piggybacked dissemination.
package mangomember

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State -text -output=state_string.go
