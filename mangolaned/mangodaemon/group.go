package mangodaemon

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoroute"
	"mangolane/mangolaned/mangolog"
)

// group is a set of goroutines that a graceful shutdown waits for.
type group struct{ running sync.WaitGroup }

// Go runs f on a new goroutine of the group.
func (g *group) Go(f func()) { g.running.Go(f) }

// wait returns when all goroutines have ended. If ctx is done first, it returns
// the cause.
func (g *group) wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// observers forwards each observation to all of its observers.
type observers []mangoroute.Observer

func (o observers) RequestFinished(r mangoroute.Result) {
	for _, observer := range o {
		observer.RequestFinished(r)
	}
}

func (o observers) PrefillDone(n mangomodel.Tokens) {
	for _, observer := range o {
		observer.PrefillDone(n)
	}
}

func (o observers) PrefillWasted(n mangomodel.Tokens) {
	for _, observer := range o {
		observer.PrefillWasted(n)
	}
}

// faultLog logs failed requests, except those whose work did not run.
type faultLog struct{ logger *zap.Logger }

func (l faultLog) RequestFinished(r mangoroute.Result) {
	if r.Err == nil || mangomodel.AsFault(r.Err, mangomodel.StepRespond).Run == mangomodel.RunNot {
		return
	}
	fields := append(mangolog.FaultFields(r.Err), zap.String("Request", string(r.Request.ID)), zap.Int64("Tokens", int64(r.Tokens)))
	l.logger.Warn("request failed", fields...)
}

func (l faultLog) PrefillDone(mangomodel.Tokens)   {}
func (l faultLog) PrefillWasted(mangomodel.Tokens) {}

// failureLog logs the failed exchanges of the background workers.
type failureLog struct{ logger *zap.Logger }

// ExchangeFailed logs one failure.
func (l failureLog) ExchangeFailed(_ mangomodel.Step, err error) {
	l.logger.Warn("exchange failed", mangolog.FaultFields(err)...)
}

// panicLog logs panics.
type panicLog struct{ logger *zap.Logger }

// Panicked logs one panic with its stack.
func (l panicLog) Panicked(where string, value any, stack []byte) {
	l.logger.Error("panic", zap.String("Where", where), zap.Any("Value", value), zap.ByteString("Stack", stack))
}
