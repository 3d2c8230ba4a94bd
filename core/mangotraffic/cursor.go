package mangotraffic

import (
	"cmp"
	"fmt"
)

// Era counts how often the platform's store has come back from an older copy of itself. It
// never goes back, and is zero if the store does not say.
type Era uint64

// Cursor is a position in the change history of the platform's records. A store that comes
// back from an older copy gives out positions again, so that those of two eras are not
// comparable by number: all positions of a later era are after those of an earlier one. The
// zero Cursor means that nothing has been read yet.
type Cursor struct {
	Era      Era
	Position uint64
}

// Compare returns -1 if c is before o, 0 if they are the same, and 1 if c is after o.
func (c Cursor) Compare(o Cursor) int {
	return cmp.Or(cmp.Compare(c.Era, o.Era), cmp.Compare(c.Position, o.Position))
}

// Before reports whether c is before o.
func (c Cursor) Before(o Cursor) bool { return c.Compare(o) < 0 }

// After reports whether c is after o.
func (c Cursor) After(o Cursor) bool { return c.Compare(o) > 0 }

// IsZero reports whether nothing has been read yet.
func (c Cursor) IsZero() bool { return c == Cursor{} }

// String returns the position as text for logs.
func (c Cursor) String() string { return fmt.Sprintf("%d of era %d", c.Position, c.Era) }

// MinCursor returns the earlier of two positions.
func MinCursor(a, b Cursor) Cursor {
	if b.Before(a) {
		return b
	}
	return a
}

// MaxCursor returns the later of two positions.
func MaxCursor(a, b Cursor) Cursor {
	if a.Before(b) {
		return b
	}
	return a
}
