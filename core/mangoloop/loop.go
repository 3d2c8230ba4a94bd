// Package mangoloop runs a state on one goroutine.
//
// A [Loop] applies typed commands to a state one after the other, does what
// the state says is due, and publishes an immutable view after each batch of
// commands. Callers are answered after the view was published, so that a
// caller reads its own writes.
//
// Invariants:
//
//   - Only the goroutine that runs [Loop.Run] touches the state.
//   - The goroutine sleeps until a command arrives or something is due.
//   - An answer is never lost and never blocks the goroutine.
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
	"sync/atomic"
	"time"
)

const (
	// queueLength is how many commands may wait.
	queueLength = 1024
	// batchLength is how many commands share one published view.
	batchLength = 64
	// idleWait is the longest sleep.
	idleWait = time.Minute
	// shortestWait keeps a due time in the past from waking the goroutine
	// without pause.
	shortestWait = time.Millisecond
)

// ErrStopped is returned for commands after the loop has ended.
var ErrStopped = errors.New("the loop has ended")

// State is what a Loop runs. V is the type of its view.
type State[V any] interface {
	// Tick does what is due.
	Tick(now time.Time)
	// NextDue returns when Tick next has something to do, if ever.
	NextDue() (time.Time, bool)
	// View returns an immutable view. It may share parts with the last one.
	View(last *V, now time.Time) *V
}

// Command is a change of a state.
type Command[S any] interface {
	Apply(s S, now time.Time) error
}

// Deferred is a command that is answered later than it is applied. Await
// hands the state the Reply; an error of Apply is still answered at once.
type Deferred[S any] interface {
	Await(s S, r Reply)
}

// Reply takes the answer to a deferred command. It must be used on the loop's
// goroutine, at most once.
type Reply struct {
	ch      chan error
	answers *[]answer
}

// Send answers the command once the next view was published.
func (r Reply) Send(err error) {
	*r.answers = append(*r.answers, answer{ch: r.ch, err: err})
}

type answer struct {
	ch  chan error
	err error
}

type request[S any] struct {
	command Command[S]
	// reply has room for one answer.
	reply chan error
}

// Loop owns a state and the goroutine that changes it.
type Loop[S State[V], V any] struct {
	requests chan request[S]
	done     chan struct{}
	view     atomic.Pointer[V]

	// What follows belongs to the loop's goroutine.
	state   S
	answers []answer
}

// New returns a loop over a state. The view can be read at once.
func New[S State[V], V any](state S) *Loop[S, V] {
	l := &Loop[S, V]{
		requests: make(chan request[S], queueLength),
		done:     make(chan struct{}),
		state:    state,
	}
	l.publish()
	return l
}

// View returns the newest published view.
func (l *Loop[S, V]) View() *V { return l.view.Load() }

// Do applies a command and waits for its answer. When ctx ends first, the
// command may still be applied.
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

// Run applies commands until ctx ends.
func (l *Loop[S, V]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(l.sleep())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.requests:
			l.handleBatch(r)
		case <-timer.C:
			l.state.Tick(time.Now())
		}
		l.publish()
		l.deliver()
		timer.Reset(l.sleep())
	}
}

// handleBatch applies a command and those that already wait behind it.
func (l *Loop[S, V]) handleBatch(r request[S]) {
	l.handle(r)
	for range batchLength - 1 {
		select {
		case r := <-l.requests:
			l.handle(r)
		default:
			return
		}
	}
}

func (l *Loop[S, V]) handle(r request[S]) {
	reply := Reply{ch: r.reply, answers: &l.answers}
	d, ok := r.command.(Deferred[S])
	if ok {
		d.Await(l.state, reply)
	}
	err := r.command.Apply(l.state, time.Now())
	if !ok || err != nil {
		reply.Send(err)
	}
}

func (l *Loop[S, V]) publish() {
	l.view.Store(l.state.View(l.view.Load(), time.Now()))
}

// deliver sends the answers. A second answer to one command is dropped.
func (l *Loop[S, V]) deliver() {
	for _, a := range l.answers {
		select {
		case a.ch <- a.err:
		default:
		}
	}
	l.answers = l.answers[:0]
}

func (l *Loop[S, V]) sleep() time.Duration {
	due, ok := l.state.NextDue()
	if !ok {
		return idleWait
	}
	return min(max(time.Until(due), shortestWait), idleWait)
}
