package mangohead

import (
	"errors"
	"fmt"
)

var (
	// ErrStatusLine is returned for a line that is not the status line of a response.
	ErrStatusLine = errors.New("malformed status line")
	// ErrProtocol is returned for a response that changes the protocol.
	ErrProtocol = errors.New("status 101 without a request for another protocol")
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
	partLine
	// partHeadEnd is after the CR of an empty line.
	partHeadEnd
	partDone
)

// Response checks the heads of the response to one request: those of interim responses, of
// which there may be any number, and that of the final one. net/http takes each status of
// three digits, such as 000, for a status. The zero value is at the beginning of a response.
type Response struct {
	part linePart
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
		switch b {
		case '\n':
			r.endHead()
		case '\r':
			r.part = partHeadEnd
		default:
			r.part = partLine
		}
	case partLine:
		if b == '\n' {
			r.part = partLineStart
		}
	case partHeadEnd:
		r.part = partLine
		if b == '\n' {
			r.endHead()
		}
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

func isControl(b byte) bool { return b < ' ' || b == 0x7f }
