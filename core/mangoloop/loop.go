// Package mangoloop confines a state to one goroutine.
//
// A [Loop] applies typed commands to a state sequentially, runs the state's
// timers, and publishes an immutable view after each batch of commands. A
// caller gets its result after the view was published, so that it reads its
// own writes.
//
// Invariants:
//
//   - Only the goroutine that runs [Loop.Run] accesses the state.
//   - The goroutine sleeps until a command arrives or a timer is due.
//   - Delivery of a result never blocks the goroutine and never loses the
//     result.
//   - With an observer of panics, a panic ends the command, the timer or the view
//     in which it happens, and nothing else.
//
// # Usage
//
//	loop := mangoloop.New[*state, view](s)
//	go loop.Run(ctx)
//	err := loop.Do(ctx, addCommand{...})
//	v := loop.View()
package mangoloop

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"mangolane/core/mangopanic"
)

const (
	// queueCapacity is the capacity of the command queue.
	queueCapacity = 1024
	// maxBatch is the largest number of commands that share one published view.
	maxBatch = 64
	// maxWait bounds how long the goroutine sleeps.
	maxWait = time.Minute
	// minWait prevents a busy loop when the due time is in the past.
	minWait = time.Millisecond
)

// ErrStopped is returned for commands after the loop has stopped.
var ErrStopped = errors.New("loop has stopped")

// State is the state of a Loop. V is the type of its view.
type State[V any] interface {
	// Tick runs the timers that are due.
	Tick(now time.Time)
	// NextDue returns when Tick is next due, and false if no timer is set.
	NextDue() (time.Time, bool)
	// View returns an immutable view. It may share parts with last, the
	// previous view, which is nil the first time.
	View(last *V, now time.Time) *V
}

// Command is a change to a state.
type Command[S any] interface {
	Apply(s S, now time.Time) error
}

// Deferred is a command whose result may be sent later than it is applied.
// Await passes the Reply to the state before Apply is called. An error of Apply
// is still sent immediately.
type Deferred[S any] interface {
	Await(s S, r Reply)
}

// Reply sends the result of a deferred command. It must be used on the loop's
// goroutine, at most once.
type Reply struct {
	ch      chan error
	results *[]result
}

// Send schedules the result for delivery after the next view is published.
func (r Reply) Send(err error) {
	*r.results = append(*r.results, result{ch: r.ch, err: err})
}

type result struct {
	ch  chan error
	err error
}

type request[S any] struct {
	command Command[S]
	// reply is a channel with capacity 1.
	reply chan error
}

// Loop owns a state and the goroutine that changes it.
type Loop[S State[V], V any] struct {
	requests chan request[S]
	done     chan struct{}
	view     atomic.Pointer[V]

	// The fields below are confined to the loop's goroutine.
	state    S
	results  []result
	observer mangopanic.Observer
}

// ObservePanics sets the observer of panics. It must be called before Run. Without
// one, a panic ends the process.
func (l *Loop[S, V]) ObservePanics(o mangopanic.Observer) { l.observer = o }

// New returns a loop over a state. The view can be read immediately.
func New[S State[V], V any](state S) *Loop[S, V] {
	l := &Loop[S, V]{
		requests: make(chan request[S], queueCapacity),
		done:     make(chan struct{}),
		state:    state,
		observer: mangopanic.Rethrow{},
	}
	l.publish()
	return l
}

// View returns the latest published view.
func (l *Loop[S, V]) View() *V { return l.view.Load() }

// Do applies a command and waits for its result. If ctx is done first, Do
// returns its cause and the command may still be applied. After the loop has
// stopped, Do returns ErrStopped.
func (l *Loop[S, V]) Do(ctx context.Context, cmd Command[S]) error {
	r := request[S]{command: cmd, reply: make(chan error, 1)}
	select {
	case l.requests <- r:
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-l.done:
		return ErrStopped
	}
	select {
	case err := <-r.reply:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-l.done:
		return ErrStopped
	}
}

// Run applies commands until ctx is done.
func (l *Loop[S, V]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(l.waitTime())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.requests:
			l.handleBatch(r)
		case <-timer.C:
			l.tick()
		}
		l.publish()
		l.deliver()
		timer.Reset(l.waitTime())
	}
}

// handleBatch applies a command and those already queued, up to maxBatch.
func (l *Loop[S, V]) handleBatch(r request[S]) {
	l.handle(r)
	for range maxBatch - 1 {
		select {
		case r := <-l.requests:
			l.handle(r)
		default:
			return
		}
	}
}

func (l *Loop[S, V]) handle(r request[S]) {
	reply := Reply{ch: r.reply, results: &l.results}
	d, ok := r.command.(Deferred[S])
	if ok {
		d.Await(l.state, reply)
	}
	err := l.apply(r.command)
	if !ok || err != nil {
		reply.Send(err)
	}
}

func (l *Loop[S, V]) apply(cmd Command[S]) (err error) {
	defer mangopanic.CatchError(l.observer, fmt.Sprintf("command %T", cmd), &err)
	return cmd.Apply(l.state, time.Now())
}

func (l *Loop[S, V]) tick() {
	defer mangopanic.Catch(l.observer, "timer")
	l.state.Tick(time.Now())
}

func (l *Loop[S, V]) publish() {
	defer mangopanic.Catch(l.observer, "view")
	l.view.Store(l.state.View(l.view.Load(), time.Now()))
}

// deliver sends the results. A second result of one command is dropped.
func (l *Loop[S, V]) deliver() {
	for _, res := range l.results {
		select {
		case res.ch <- res.err:
		default:
		}
	}
	l.results = l.results[:0]
}

func (l *Loop[S, V]) waitTime() time.Duration {
	due, ok := l.state.NextDue()
	if !ok {
		return maxWait
	}
	return min(max(time.Until(due), minWait), maxWait)
}
