// Package mangoshutdown decides what a daemon still takes during its graceful shutdown,
// so that nothing that it has taken is cut off.
//
// The platform ends the process at the end of a grace period. The daemon spends that
// period in phases:
//
//	began         the daemon reports that it is not ready
//	Deregistered  the load balancer opens no more connections; the listener is closed
//	LastRequest   connections without a request are closed
//	Answer        calls that are still in progress are answered
//	Exit          the process ends
//
// Until Deregistered a client that is refused may come back to this daemon, so a call is
// taken if calls of its size have ended in the time that is left. After that every other
// daemon is a better place, and only calls that end by their own deadline are taken.
//
// # Usage
//
//	plan := mangoshutdown.New(time.Now(), grace)
//	if time.Now().After(plan.SendUntil(call)) {
//		// Refuse the call.
//	}
package mangoshutdown

import "time"

const (
	// maxDeregistration is how long the load balancer may still open connections. It
	// checks readiness every second and needs two failures.
	maxDeregistration = 2500 * time.Millisecond
	// minFirstRequest and maxFirstRequest bound how long a connection that was opened
	// before Deregistered may take to send its first request.
	minFirstRequest, maxFirstRequest = 250 * time.Millisecond, time.Second
	// maxAnswerTime is the time to answer the calls in progress, and maxExitTime the
	// time from then to the end of the grace period.
	maxAnswerTime, maxExitTime = 200 * time.Millisecond, 300 * time.Millisecond
	// marginShare bounds each of the two as a share of a short grace period.
	marginShare = 15
)

// Plan is the schedule of one shutdown.
type Plan struct {
	began time.Time
	grace time.Duration
}

// New returns the plan of a shutdown that begins now and may last for a grace period.
func New(now time.Time, grace time.Duration) Plan { return Plan{began: now, grace: grace} }

// Began returns when the shutdown began.
func (p Plan) Began() time.Time { return p.began }

// Deregistered returns when the load balancer opens no more connections.
func (p Plan) Deregistered() time.Time { return p.began.Add(min(maxDeregistration, p.grace/2)) }

// FirstRequest returns how long a connection may take after Deregistered to send its
// first request.
func (p Plan) FirstRequest() time.Duration {
	return min(max(p.grace/8, minFirstRequest), maxFirstRequest)
}

// LastRequest returns when the last connection without a request is closed.
func (p Plan) LastRequest() time.Time { return p.Deregistered().Add(p.FirstRequest()) }

// Answer returns when calls that are still in progress are answered.
func (p Plan) Answer() time.Time { return p.Exit().Add(-min(maxAnswerTime, p.grace/marginShare)) }

// Exit returns when the process ends.
func (p Plan) Exit() time.Time { return p.began.Add(p.grace - min(maxExitTime, p.grace/marginShare)) }

// Call is what matters of a call that the daemon has received.
type Call struct {
	// Received is when the whole request was received.
	Received time.Time
	// Deadline is when the call ends at the latest.
	Deadline time.Time
	// Longest is the most that calls of its size are known to take at a server, or zero.
	Longest time.Duration
}

// SendUntil returns until when a call may be sent to a server. It is zero for a call
// that is not to be sent at all.
func (p Plan) SendUntil(c Call) time.Time {
	switch {
	case !c.Deadline.After(p.Answer()):
		return c.Deadline
	case c.Received.After(p.Deregistered()):
		return time.Time{}
	default:
		return p.Answer().Add(-c.Longest)
	}
}
