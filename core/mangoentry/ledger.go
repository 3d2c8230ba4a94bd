package mangoentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// firstBackoff and lastBackoff are the initial and the maximum backoff
	// between attempts at the table service.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// outcomeTimeout bounds the attempts to write an outcome, or to mark a
	// reservation as abandoned, after the call has ended.
	outcomeTimeout = 10 * time.Minute
	// tableTimeout bounds one request to the table service.
	tableTimeout = 2 * time.Second
)

// Table is the platform's table service.
type Table interface {
	// Get reads a row; an absent row has version 0.
	Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error)
	// Put writes a row if its version is the expected one. A fault with
	// CodeConflict means that it was not written because the row has another
	// version; RunNot, that it was not written; RunUnknown, that it may have
	// been written.
	Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error)
}

// Ledger keeps the rows of entries.
type Ledger struct {
	table     Table
	holder    mangomodel.Holder
	lastToken atomic.Uint64
}

// NewLedger returns a ledger for one incarnation of a daemon.
func NewLedger(table Table, holder mangomodel.Holder) *Ledger {
	return &Ledger{table: table, holder: holder}
}

// Reservation is the right to send one call once.
type Reservation struct {
	key   mangomodel.TableKey
	entry Entry
	// writeAttempted is set once a write may have reached the table service.
	writeAttempted bool
}

// Reserve writes the intent row of an operation. It returns a reservation, or
// the entry written under another reservation. It fails with RunNot if neither
// was established before ctx ended; it then still returns the reservation, which
// must be abandoned, since a delayed write may still take effect. If the row
// cannot be decoded, it fails with CodeUnknownOutcome and returns no reservation.
func (l *Ledger) Reserve(ctx context.Context, key mangomodel.TableKey, f mangomodel.Fingerprint) (*Reservation, *Entry, error) {
	r := &Reservation{key: key, entry: Entry{State: Reserved, Token: l.nextToken(), Fingerprint: f, At: time.Now()}}
	expect := mangomodel.RowVersion(0)
	for pause := newBackoff(); ; pause.wait(ctx) {
		err := l.put(ctx, r, r.entry, expect)
		if err == nil {
			return r, nil, nil
		}
		if ctx.Err() != nil {
			return r, nil, notReserved(key, err)
		}
		row, err := l.get(ctx, key)
		if err != nil {
			if ctx.Err() != nil {
				return r, nil, notReserved(key, err)
			}
			continue
		}
		expect = row.Version
		existing, own, err := l.checkRow(r, row)
		if own || existing != nil || err != nil {
			return r.ifOwn(own), existing, err
		}
	}
}

// checkRow inspects the row after a failed write, which may have taken effect. It
// returns the entry of another reservation that prevents this one, or true if the
// row belongs to this one. If it returns neither, the write may be retried.
func (l *Ledger) checkRow(r *Reservation, row mangomodel.Row) (*Entry, bool, error) {
	if row.Version == 0 {
		return nil, false, nil
	}
	e, err := decode(row)
	if err != nil {
		return nil, false, mangomodel.NewFault(mangomodel.StepReserve, mangomodel.PeerName(r.key),
			mangomodel.CodeUnknownOutcome, mangomodel.RunUnknown, err)
	}
	if e.Token == r.entry.Token {
		return nil, true, nil
	}
	if e.State == Abandoned {
		return nil, false, nil
	}
	return &e, false, nil
}

// Record writes the outcome of a reservation's call. It retries until the
// outcome is written or outcomeTimeout has passed.
func (l *Ledger) Record(ctx context.Context, r *Reservation, state State, response Response) error {
	e := r.entry
	e.State = state
	e.Response = response
	return l.writeOutcome(ctx, r, e)
}

// Abandon marks a reservation whose call was not sent as abandoned. The caller
// must have made sure that the call will never be sent.
func (l *Ledger) Abandon(ctx context.Context, r *Reservation) error {
	if !r.writeAttempted {
		return nil
	}
	e := r.entry
	e.State = Abandoned
	return l.writeOutcome(ctx, r, e)
}

// writeOutcome replaces the reservation's own row. An absent row is written too,
// so that a delayed write of the reservation fails.
func (l *Ledger) writeOutcome(ctx context.Context, r *Reservation, e Entry) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	for pause := newBackoff(); ; pause.wait(ctx) {
		if err := ctx.Err(); err != nil {
			return mangomodel.NewFault(mangomodel.StepRecord, mangomodel.PeerName(r.key),
				mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
		}
		row, err := l.get(ctx, r.key)
		if err != nil {
			continue
		}
		if isFinal(r, row, e.State) {
			return nil
		}
		e.At = time.Now()
		if err := l.put(ctx, r, e, row.Version); err == nil {
			return nil
		}
	}
}

// isFinal reports whether nothing is left to write: the row already has the
// state, cannot be decoded, or belongs to another reservation.
func isFinal(r *Reservation, row mangomodel.Row, state State) bool {
	if row.Version == 0 {
		return false
	}
	e, err := decode(row)
	if err != nil {
		return true
	}
	return e.Token != r.entry.Token || e.State == state
}

// Lookup reads the entry of an operation, if there is one.
func (l *Ledger) Lookup(ctx context.Context, key mangomodel.TableKey) (Entry, bool, error) {
	row, err := l.get(ctx, key)
	if err != nil || row.Version == 0 {
		return Entry{}, false, err
	}
	e, err := decode(row)
	return e, err == nil, err
}

func (l *Ledger) put(ctx context.Context, r *Reservation, e Entry, expect mangomodel.RowVersion) error {
	value, err := encode(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	r.writeAttempted = true
	_, err = l.table.Put(ctx, r.key, value, expect)
	return err
}

func (l *Ledger) get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return l.table.Get(ctx, key)
}

func (l *Ledger) nextToken() Token {
	return Token(fmt.Sprintf("%s/%d", l.holder, l.lastToken.Add(1)))
}

func (r *Reservation) ifOwn(own bool) *Reservation {
	if own {
		return r
	}
	return nil
}

func notReserved(key mangomodel.TableKey, err error) error {
	return mangomodel.NewFault(mangomodel.StepReserve, mangomodel.PeerName(key),
		mangomodel.CodeUnavailable, mangomodel.RunNot, err)
}

// backoff is an exponential backoff with jitter.
type backoff struct{ next time.Duration }

func newBackoff() *backoff { return &backoff{next: firstBackoff} }

// wait pauses for between half and all of the current length, or until ctx
// ends, and doubles the length up to lastBackoff.
func (b *backoff) wait(ctx context.Context) {
	timer := time.NewTimer(b.next/2 + rand.N(b.next/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	b.next = min(2*b.next, lastBackoff)
}
