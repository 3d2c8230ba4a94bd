package mangomodel

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Errors is the error class of mangolane.
var Errors = errs.Class("mangolane")

// Fault is a failure of one step.
type Fault struct {
	// Step is the step that failed.
	Step Step
	// Peer is the remote end of the step; it is empty for a local step.
	Peer PeerName
	// Code classifies the failure.
	Code Code
	// Run indicates whether the work may have run.
	Run Run
	// RetryAfter is the suggested delay before a retry; zero means unknown.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// NewFault returns a fault of a step against a peer.
func NewFault(step Step, peer PeerName, code Code, run Run, err error) *Fault {
	return &Fault{Step: step, Peer: peer, Code: code, Run: run, Err: Errors.Wrap(err)}
}

// Faultf returns a fault whose cause is a formatted message.
func Faultf(step Step, peer PeerName, code Code, run Run, format string, args ...any) *Fault {
	return NewFault(step, peer, code, run, fmt.Errorf(format, args...))
}

// Error returns the step, the peer, the code and the cause.
func (f *Fault) Error() string {
	if f.Peer == "" {
		return fmt.Sprintf("%s: %s: %v", f.Step, f.Code, f.Err)
	}
	return fmt.Sprintf("%s at %s: %s: %v", f.Step, f.Peer, f.Code, f.Err)
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// AsFault returns the fault in err's chain. An error without one is wrapped in
// a fault of the given step with an unknown outcome.
func AsFault(err error, step Step) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return NewFault(step, "", CodeUnknownOutcome, RunUnknown, err)
}

// HasCode reports whether err's chain holds a fault with the code.
func HasCode(err error, code Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == code
}
