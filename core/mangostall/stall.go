// Package mangostall decides when an exchange with an engine that has stopped
// sending events continues at another engine.
//
// Silence alone does not end an exchange: a sound engine may send nothing for a
// while, because it preempts streams and computes their prompts again, or because
// it is suspended for a second. After its first event, an exchange has stalled if
// the engine does not return a load report either within SilenceTolerance, or if
// further timeouts follow without an event. Before it, nothing shows that the
// engine has the exchange: it has stalled as well if the engine responds at once,
// and so was not suspended. A stalled exchange is cancelled only once its
// continuation elsewhere is secured.
//
// # Usage
//
//	w := mangostall.New(server, successor, func() { cancel(errStalled) }, mangostall.WithReports(reporter))
//	w.Reset(2 * time.Second)
//	event, err := events.Next()
//	w.Stop()
package mangostall

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"mangolane/core/mangopanic"
	"mangolane/core/mangotraffic"
)

const (
	// SilenceTolerance is how long an engine may send nothing at all.
	SilenceTolerance = 1500 * time.Millisecond
	// minProbeTimeout bounds the load report that checks whether an engine
	// responds, once SilenceTolerance has passed.
	minProbeTimeout = 300 * time.Millisecond
	// probeInterval is the pause between two load queries to a silent engine.
	probeInterval = 100 * time.Millisecond
	// retryInterval is how often the continuation of an exchange with a silent engine
	// is tried again. The retry budget is renewed about as often.
	retryInterval = 300 * time.Millisecond
	// promptTime is how long the load report of an engine that is not suspended
	// takes.
	promptTime = 150 * time.Millisecond
	// maxStalls is how many timeouts in a row are tolerated from an engine that
	// responds, since preemption and repeated prefill delay its events. After
	// that, the connection must have been lost in the network.
	maxStalls = 2
)

// StartLimit returns how long after its arrival a stream with a target latency and a
// longest pause may begin: shortly before its client leaves.
func StartLimit(target, pause time.Duration) time.Duration {
	const (
		minWait                   = 2 * time.Second
		targetFactor, pauseFactor = 4, 8
		share                     = 0.9
	)
	return time.Duration(share * float64(max(minWait, targetFactor*target, pauseFactor*pause)))
}

// LoadReporter queries the load of an engine, which shows that it responds.
type LoadReporter interface {
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
}

// Successor secures the continuation of an exchange at another server.
type Successor interface {
	// Secure returns nil if the exchange can continue elsewhere. It may block to
	// wait for room there if wait is set, and returns at once otherwise.
	Secure(wait bool) error
	// Withdraw returns what Secure secured, since the exchange has not been
	// cancelled.
	Withdraw()
}

// Stall is a timeout of an exchange.
type Stall struct {
	Server mangotraffic.Server
	// Silence is the time since the last event.
	Silence time.Duration
	// Responsive is set if the engine returned a load report.
	Responsive bool
	// Secured is set if the exchange can continue elsewhere, and Err if it had to
	// and cannot.
	Secured bool
	Err     error
}

// Observer is notified of stalls.
type Observer interface {
	mangopanic.Observer
	Stalled(s Stall)
}

// Option configures a Watchdog.
type Option func(*Watchdog)

// WithReports makes the watchdog tolerate timeouts of an engine that returns load
// reports. Without reports, the first timeout counts as a stall.
func WithReports(r LoadReporter) Option { return func(w *Watchdog) { w.reporter = r } }

// WithObserver sets the observer.
func WithObserver(o Observer) Option { return func(w *Watchdog) { w.observer = o } }

// Watchdog monitors one exchange. It is guarded by a lock because its timer fires
// on a separate goroutine.
type Watchdog struct {
	reporter  LoadReporter
	server    mangotraffic.Server
	successor Successor
	cancel    func()
	observer  Observer

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// since is when the current wait began.
	since time.Time
	// epoch identifies the current wait; what an earlier wait decides is dropped.
	// stalls counts the timeouts since the last Stop.
	epoch, stalls int
	// begun is set by the first Stop, which follows the first event.
	begun bool
	// securing is set while the successor is in use.
	securing bool
}

// New returns a stopped Watchdog. It calls cancel, with a lock held, once the
// exchange has stalled and s has secured its continuation.
func New(server mangotraffic.Server, s Successor, cancel func(), opts ...Option) *Watchdog {
	w := &Watchdog{server: server, successor: s, cancel: cancel, observer: nopObserver{}}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Stop ends the current wait. After it, cancel is not called until the next Reset.
func (w *Watchdog) Stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.stalls = 0
	w.begun = true
	return w.timer == nil || w.timer.Stop()
}

// Reset starts a wait with a timeout of d.
func (w *Watchdog) Reset(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.timeout, w.since = d, time.Now()
	w.arm(w.epoch, d)
	return true
}

func (w *Watchdog) arm(epoch int, d time.Duration) {
	w.timer = time.AfterFunc(d, func() { w.handleTimeout(epoch) })
}

// handleTimeout runs after a timeout on a goroutine of its own, and may block.
func (w *Watchdog) handleTimeout(epoch int) {
	defer mangopanic.Catch(w.observer, "watchdog")
	since, begun, stalls, current := w.wait(epoch)
	if !current {
		return
	}
	asked := time.Now()
	stall := Stall{Server: w.server, Responsive: w.responsive(since)}
	if _, _, _, current = w.wait(epoch); !current {
		return
	}
	if !stall.Responsive || stalls >= maxStalls || !begun && time.Since(asked) < promptTime {
		// A wait that has ended meanwhile may still be using the successor.
		if w.setSecuring(true) {
			defer w.setSecuring(false)
			stall.Err = w.successor.Secure(!stall.Responsive)
			stall.Secured = stall.Err == nil
		}
	}
	stall.Silence = time.Since(since)
	w.observer.Stalled(stall)
	if !w.conclude(epoch, stall) && stall.Secured {
		w.successor.Withdraw()
	}
}

// wait returns the state of the wait of an epoch, if it is the current one.
func (w *Watchdog) wait(epoch int) (since time.Time, begun bool, stalls int, current bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, w.begun, w.stalls, epoch == w.epoch
}

// setSecuring sets whether the successor is in use. It reports false if that has
// been set already.
func (w *Watchdog) setSecuring(securing bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.securing == securing {
		return false
	}
	w.securing = securing
	return true
}

// conclude cancels a secured exchange, or waits again. It reports false if the
// exchange has made progress meanwhile.
func (w *Watchdog) conclude(epoch int, stall Stall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return false
	}
	w.stalls++
	if stall.Secured {
		w.cancel()
		return true
	}
	wait := w.timeout
	if !stall.Responsive {
		wait = min(wait, retryInterval)
	}
	w.arm(epoch, wait)
	return true
}

// responsive reports whether the engine returns a load report before it has been
// silent for SilenceTolerance. An engine without reports does not, nor does one
// whose host refuses connections: its process has ended.
func (w *Watchdog) responsive(since time.Time) bool {
	if w.reporter == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(SilenceTolerance-time.Since(since), minProbeTimeout))
	defer cancel()
	for {
		_, err := w.reporter.Report(ctx, w.server)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err == nil
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return false
		}
	}
}

type nopObserver struct{ mangopanic.Nop }

func (nopObserver) Stalled(Stall) {}
