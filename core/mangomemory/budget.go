// Package mangomemory decides which calls may keep their bodies in memory, which wait
// and which are refused, so that all bodies together fit into the memory of a daemon.
//
// A body is read only once it has room. A demand without room waits, and its body stays
// with its client. Of the waiting demands those that have begun to be read come first,
// since they keep what they hold; then the order is by priority, size and age, so that as
// many callers as possible are served in time. A demand that by the measured pace of
// releases would wait beyond its patience is refused when it arrives, with the time after
// which there is expected to be room. A part of the limit is kept for small bodies, which
// therefore do not wait behind large ones.
//
// # Usage
//
//	budget := mangomemory.New(64<<20, mangomemory.WithObserver(o))
//	room, err := budget.Reserve(ctx, mangomemory.Demand{Size: n, Priority: p, Patience: d})
//	defer room.Release()
//	err = room.Grow(ctx, more) // for a body without a length
package mangomemory

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// Demand asks for room for the body of a call.
type Demand struct {
	Request  mangomodel.RequestID
	Size     mangomodel.Bytes
	Priority mangotraffic.Priority
	// Patience is how long the demand may wait.
	Patience time.Duration
}

// Observer is notified of demands that found no room. Its methods must not use the budget.
type Observer interface {
	// BodyWaited is called when a demand gets room after some time.
	BodyWaited(d Demand, took time.Duration)
	// BodyRefused is called when a demand is refused after some time, which may be zero.
	BodyRefused(d Demand, took time.Duration, err error)
}

// Budget bounds the bytes that are held for calls. It is safe for concurrent use; the
// goroutines of calls share it.
type Budget struct {
	observer Observer

	mu   sync.Mutex
	room room
}

// Option configures a Budget.
type Option func(*Budget)

// WithObserver sets the observer of demands.
func WithObserver(o Observer) Option { return func(b *Budget) { b.observer = o } }

// New returns a budget of limit bytes. Zero means no limit.
func New(limit mangomodel.Bytes, opts ...Option) *Budget {
	b := &Budget{observer: nopObserver{}, room: room{limit: limit, holdings: make(map[*holding]struct{})}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() mangomodel.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room.used
}

// Reserve reserves room for a body, for which it waits if need be. The error is a fault
// with RunNot.
func (b *Budget) Reserve(ctx context.Context, d Demand) (*Reservation, error) {
	r := &Reservation{budget: b, demand: d}
	if err := b.take(ctx, &claim{Demand: d, holding: &r.holding}); err != nil {
		return nil, err
	}
	r.held = d.Size
	return r, nil
}

// Charge takes n bytes for what is held besides bodies and is bounded elsewhere, or returns
// them if n is negative. It is never refused: bodies then have less room. The pace of
// releases leaves it out, since connections stay for minutes. It does not wait for the lock,
// which hundreds of bodies that are refused at once keep busy, while requests without
// bodies must not wait.
func (b *Budget) Charge(n mangomodel.Bytes) {
	b.room.charged.Add(int64(n))
	// Without the lock, the claims that wait are served by the release that holds it.
	if n < 0 && b.mu.TryLock() {
		defer b.mu.Unlock()
		b.room.serve(time.Now())
	}
}

// Hold returns a reservation of no bytes, which can grow.
func (b *Budget) Hold() *Reservation { return &Reservation{budget: b} }

// take takes the room of a claim, for which it waits if need be.
func (b *Budget) take(ctx context.Context, c *claim) error {
	now := time.Now()
	b.mu.Lock()
	granted, err := b.room.request(c, now)
	b.mu.Unlock()
	if granted {
		return nil
	}
	if err == nil {
		err = b.await(ctx, c)
	}
	took := time.Since(now)
	if err != nil {
		b.observer.BodyRefused(c.Demand, took, err)
		return err
	}
	b.observer.BodyWaited(c.Demand, took)
	return nil
}

// await waits until a claim in the queue is granted, its patience ends or ctx ends.
func (b *Budget) await(ctx context.Context, c *claim) error {
	timer := time.NewTimer(c.Patience)
	defer timer.Stop()
	select {
	case <-c.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.room.withdraw(c, time.Now()) {
		// It was granted meanwhile.
		return nil
	}
	if ctx.Err() != nil {
		return mangomodel.NewFault(mangomodel.StepAdmission, "", mangomodel.CodeCancelled, mangomodel.RunNot, context.Cause(ctx))
	}
	return b.room.refuse(c, time.Now())
}

// Reservation is room for the body of one call. Only the goroutine of the call uses it.
type Reservation struct {
	budget *Budget
	demand Demand
	// holding is guarded by the lock of the budget.
	holding holding
	// held is what the goroutine of the call has reserved.
	held mangomodel.Bytes
}

// Grow reserves n more bytes, for which it waits if need be.
func (r *Reservation) Grow(ctx context.Context, n mangomodel.Bytes) error {
	d := r.demand
	d.Size = n
	if err := r.budget.take(ctx, &claim{Demand: d, holding: &r.holding, held: r.held}); err != nil {
		return err
	}
	r.held += n
	return nil
}

// TryGrow reserves n more bytes if there is room at once.
func (r *Reservation) TryGrow(n mangomodel.Bytes) bool {
	now := time.Now()
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.room.fits(n, r.held) {
		return false
	}
	b.room.hold(&r.holding, n, now)
	r.held += n
	return true
}

// Release returns the room. It may be called more than once, and on a nil Reservation.
func (r *Reservation) Release() {
	if r == nil || r.held == 0 {
		return
	}
	r.held = 0
	now := time.Now()
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.room.release(&r.holding, now)
}

type nopObserver struct{}

func (nopObserver) BodyWaited(Demand, time.Duration)         {}
func (nopObserver) BodyRefused(Demand, time.Duration, error) {}
