package mangohead

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrStatusLine is returned for a line that is not the status line of a response.
	ErrStatusLine = errors.New("malformed status line")
	// ErrProtocol is returned for a response that changes the protocol.
	ErrProtocol = errors.New("status 101 without a request for another protocol")
	// ErrField is returned for a line of a head that is not a field.
	ErrField = errors.New("malformed field")
)

// statusLine is the beginning of a status line, in which d stands for a digit.
const (
	statusLine   = "HTTP/1.d ddd"
	statusDigits = len("HTTP/1.d ")
)

const (
	lowestStatus      = 100
	switchingProtocol = 101
	lowestFinal       = 200
)

// linePart is the part of a head to which the next byte belongs.
type linePart int

const (
	partStatus linePart = iota
	partLineStart
	partName
	partValue
	// partFold is within a line that continues the value of the field before it.
	partFold
	// partHeadEnd is after the CR of an empty line.
	partHeadEnd
	partDone
)

// Response checks the heads of the response to one request: those of interim responses, of
// which there may be any number, and that of the final one. net/http takes each status of
// three digits, such as 000, for a status. It keeps a field with a blank in its name, which
// then states no length and no chunks. The zero value is at the beginning of a response.
type Response struct {
	part linePart
	// fields is set after the first field of a head.
	fields bool
	// column is the number of bytes of the status line, without its end.
	column int
	status int
	cr     bool
	err    error
}

// Scan reads a part of the response. It returns the same error again after the first one.
// What comes after the final head is not looked at.
func (r *Response) Scan(data []byte) error {
	for _, b := range data {
		if r.err != nil || r.part == partDone {
			break
		}
		r.err = r.next(b)
	}
	return r.err
}

// Done reports whether the final head has ended.
func (r *Response) Done() bool { return r.part == partDone }

func (r *Response) next(b byte) error {
	switch r.part {
	case partStatus:
		return r.statusByte(b)
	case partLineStart:
		return r.lineStart(b)
	case partName:
		if b == ':' {
			r.part, r.fields = partValue, true
		} else if !isNameByte(b) {
			return fmt.Errorf("%w: %q in its name", ErrField, b)
		}
	case partFold:
		if b == ':' {
			// It may as well be a field whose name begins with a blank.
			return fmt.Errorf("%w: blank before its name", ErrField)
		}
		fallthrough
	case partValue:
		if b == '\n' {
			r.part = partLineStart
		}
	case partHeadEnd:
		if b != '\n' {
			return fmt.Errorf("%w: CR in its name", ErrField)
		}
		r.endHead()
	}
	return nil
}

func (r *Response) lineStart(b byte) error {
	switch {
	case b == '\n':
		r.endHead()
	case b == '\r':
		r.part = partHeadEnd
	case r.fields && (b == ' ' || b == '\t'):
		r.part = partFold
	case isNameByte(b):
		r.part = partName
	default:
		return fmt.Errorf("%w: %q in its name", ErrField, b)
	}
	return nil
}

func (r *Response) statusByte(b byte) error {
	column := r.column
	r.column++
	switch {
	case column < len(statusLine):
		digit := b - '0'
		if want := statusLine[column]; want == 'd' && digit > 9 || want != 'd' && b != want {
			return fmt.Errorf("%w: %q at byte %d", ErrStatusLine, b, column)
		}
		if column >= statusDigits {
			r.status = 10*r.status + int(digit)
		}
	case b == '\n':
		return r.endStatus()
	case r.cr, column == len(statusLine) && b != ' ' && b != '\r', isControl(b) && b != '\r' && b != '\t':
		return fmt.Errorf("%w: %q at byte %d", ErrStatusLine, b, column)
	}
	r.cr = b == '\r'
	return nil
}

func (r *Response) endStatus() error {
	switch {
	case r.status < lowestStatus:
		return fmt.Errorf("%w: status %03d", ErrStatusLine, r.status)
	case r.status == switchingProtocol:
		return ErrProtocol
	}
	r.part = partLineStart
	return nil
}

// endHead ends a head, which the next one follows unless it was the final one.
func (r *Response) endHead() {
	if r.status < lowestFinal {
		*r = Response{}
		return
	}
	r.part = partDone
}

// IsName reports whether text may be the name of a field.
func IsName(text string) bool {
	for i := range len(text) {
		if !isNameByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isNameByte(b byte) bool {
	switch {
	case '0' <= b && b <= '9', 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

func isControl(b byte) bool { return b < ' ' || b == 0x7f }
