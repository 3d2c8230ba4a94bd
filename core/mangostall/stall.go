// Package mangostall ends an exchange with an engine that has gone silent.
//
// Silence alone ends no stream: an engine that answers other questions is only
// slow, as when it preempts and reads prompts again. One that does not answer
// them, or stays silent again and again, has lost the connection.
//
// # Usage
//
//	w := mangostall.New(reporter, server, func() { cancel(errStalled) })
//	w.Reset(2 * time.Second)
//	event, err := events.Next()
//	w.Stop()
package mangostall

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangotraffic"
)

const (
	// aliveTimeout bounds the question whether an engine is alive.
	aliveTimeout = 300 * time.Millisecond
	// patientStalls is how many silences in a row an engine that is alive may
	// keep: it preempts and reads prompts again. After that its connection must
	// have been lost on the way.
	patientStalls = 2
)

// LoadReporter are asked whether they are alive.
type LoadReporter interface {
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
}

// Watchdog watches one exchange. A lock guards it, since its timer fires on a
// goroutine of its own.
type Watchdog struct {
	reporter LoadReporter
	server   mangotraffic.Server
	cancel   func()

	mu     sync.Mutex
	timer  *time.Timer
	length time.Duration
	// round tells a question of an earlier silence from one of this.
	round, stalls int
}

// New returns a watch that calls cancel when the engine is given up.
func New(e LoadReporter, server mangotraffic.Server, cancel func()) *Watchdog {
	return &Watchdog{reporter: e, server: server, cancel: cancel}
}

// Stop ends the silence.
func (w *Watchdog) Stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	w.stalls = 0
	return w.timer == nil || w.timer.Stop()
}

// Reset begins a silence that may last for d.
func (w *Watchdog) Reset(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	w.length = d
	round := w.round
	w.timer = time.AfterFunc(d, func() { w.silent(round) })
	return true
}

// silent decides about a silence that has lasted too long.
func (w *Watchdog) silent(round int) {
	alive := w.alive()
	w.mu.Lock()
	defer w.mu.Unlock()
	if round != w.round {
		return
	}
	w.stalls++
	if !alive || w.stalls > patientStalls {
		w.cancel()
		return
	}
	w.timer = time.AfterFunc(w.length, func() { w.silent(round) })
}

func (w *Watchdog) alive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	_, err := w.reporter.Report(ctx, w.server)
	return err == nil
}
