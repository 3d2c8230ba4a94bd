// Package mangopanic keeps an unexpected panic from ending the process: it ends the
// request, the exchange or the round in which it happened, and is reported with its
// stack.
//
// # Usage
//
//	defer mangopanic.Catch(observer, "renewal")
//	defer mangopanic.CatchError(observer, "exchange", &err)
//	mangopanic.Repeat(ctx, observer, "renewals", b.renew)
package mangopanic

import (
	"context"
	"runtime/debug"
	"time"

	"mangolane/core/mangomodel"
)

// restartDelay is the pause before a goroutine that panicked is run again.
const restartDelay = 200 * time.Millisecond

// Observer is notified of panics.
type Observer interface {
	// Panicked is called with the place, the value and the stack of a panic.
	Panicked(where string, value any, stack []byte)
}

// Nop is an Observer that ignores panics.
type Nop struct{}

// Panicked implements [Observer].
func (Nop) Panicked(string, any, []byte) {}

// Rethrow is an Observer for programs without one: the panic goes on.
type Rethrow struct{}

// Panicked implements [Observer].
func (Rethrow) Panicked(_ string, value any, _ []byte) { panic(value) }

// Catch recovers from a panic and reports it. It must be deferred directly.
func Catch(o Observer, where string) {
	if v := recover(); v != nil {
		o.Panicked(where, v, debug.Stack())
	}
}

// CatchError recovers from a panic, reports it and sets err. It must be deferred
// directly.
func CatchError(o Observer, where string, err *error) {
	if v := recover(); v != nil {
		o.Panicked(where, v, debug.Stack())
		*err = Error(where, v)
	}
}

// Error returns the fault for a panic. What panicked may have taken effect.
func Error(where string, value any) error {
	return mangomodel.Faultf(mangomodel.StepRespond, "", mangomodel.CodeUnknownOutcome, mangomodel.RunUnknown, "panic in %s: %v", where, value)
}

// Repeat runs f, and runs it again after a panic until ctx ends.
func Repeat(ctx context.Context, o Observer, where string, f func(ctx context.Context)) {
	for !returns(ctx, o, where, f) {
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
			return
		}
	}
}

// returns reports whether f returned without a panic.
func returns(ctx context.Context, o Observer, where string, f func(ctx context.Context)) (ok bool) {
	defer Catch(o, where)
	f(ctx)
	return true
}
