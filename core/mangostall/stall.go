// Package mangostall cancels an exchange with an engine that has stopped sending
// events.
//
// A single timeout does not cancel a stream if the engine still responds to load
// reports: it is only slow, for example because it preempts streams and computes
// their prompts again. If the engine does not respond, or further timeouts follow
// without an event, the connection is considered lost.
//
// # Usage
//
//	w := mangostall.New(reporter, server, func() { cancel(errStalled) }, observer)
//	w.Reset(2 * time.Second)
//	event, err := events.Next()
//	w.Stop()
package mangostall

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangopanic"
	"mangolane/core/mangotraffic"
)

const (
	// probeTimeout bounds the load report that checks whether an engine responds.
	probeTimeout = 300 * time.Millisecond
	// maxStalls is how many timeouts in a row are tolerated from an engine that
	// responds, since preemption and repeated prefill delay its events. After
	// that, the connection must have been lost in the network.
	maxStalls = 2
)

// LoadReporter queries the load of an engine, which shows that it responds.
type LoadReporter interface {
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
}

// Watchdog monitors one exchange. It is guarded by a lock because its timer fires
// on a separate goroutine.
type Watchdog struct {
	reporter LoadReporter
	server   mangotraffic.Server
	cancel   func()
	observer mangopanic.Observer

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// epoch identifies the current wait; the probe of an earlier wait is ignored.
	// stalls counts the timeouts since the last Stop.
	epoch, stalls int
}

// New returns a stopped Watchdog that calls cancel if no event arrives in time and
// the engine does not respond or has stalled too often. Panics of its own goroutine
// are reported to o.
func New(r LoadReporter, server mangotraffic.Server, cancel func(), o mangopanic.Observer) *Watchdog {
	return &Watchdog{reporter: r, server: server, cancel: cancel, observer: o}
}

// Stop ends the current wait.
func (w *Watchdog) Stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.stalls = 0
	return w.timer == nil || w.timer.Stop()
}

// Reset starts a wait with a timeout of d.
func (w *Watchdog) Reset(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.timeout = d
	epoch := w.epoch
	w.timer = time.AfterFunc(d, func() { w.handleTimeout(epoch) })
	return true
}

// handleTimeout runs after a timeout. It extends the wait if the engine responds to
// a load report, up to maxStalls times, and cancels the exchange otherwise.
func (w *Watchdog) handleTimeout(epoch int) {
	responsive := w.responsive()
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return
	}
	w.stalls++
	if !responsive || w.stalls > maxStalls {
		w.cancel()
		return
	}
	w.timer = time.AfterFunc(w.timeout, func() { w.handleTimeout(epoch) })
}

// responsive reports whether the engine returns a load report. A panic counts as
// none.
func (w *Watchdog) responsive() bool {
	defer mangopanic.Catch(w.observer, "load report of a stalled engine")
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := w.reporter.Report(ctx, w.server)
	return err == nil
}
