// Package mangohead finds where the head of an HTTP/1 request and a body in chunks end in
// a stream of bytes, and measures what the head takes. It reads no meaning: net/http
// parses the same bytes afterwards and refuses what is malformed. What net/http accepts of
// a malformed response is refused here.
//
// It is designed for clients that send a byte at a time, lines without end, or tens of
// thousands of the shortest lines; a Head keeps a few counters and no bytes.
//
// # Usage
//
//	h := mangohead.NewHead(16384)
//	n, verdict := h.Scan(data) // n bytes of data belong to the head
//
//	var r mangohead.Response
//	err := r.Scan(data) // fails at the first byte that belongs to no response
package mangohead

import "mangolane/core/mangomodel"

// Verdict says how far a head has been read.
type Verdict int

const (
	// Incomplete means that the head goes on.
	Incomplete Verdict = iota
	// Complete means that the head has ended, or that it can be no head, which net/http
	// refuses.
	Complete
	// TooLarge means that the head exceeds its limit.
	TooLarge
)

const (
	// hostAllowance is what a head may have beyond its limit, in bytes: the limit does not
	// count the field Host, which has a name of at most 255 bytes and a port.
	hostAllowance = 512
	// separators is how many times its limit a head may have in all, in bytes. A line of
	// one counted byte has four more, a colon, a space, CR and LF. It also bounds padding.
	separators = 5
	// minRequestLine is the least limit of the request line, in bytes.
	minRequestLine = 16 << 10
	// maxEmpty is how many bytes of line ends may come before a request line. net/http
	// skips as many after the body of an old client.
	maxEmpty = 4
)

// Head measures the head of one request.
type Head struct {
	limit mangomodel.Bytes
	// size is the number of all bytes, and counted that of names and values.
	size, counted mangomodel.Bytes
	// lines is the number of lines, the request line included.
	lines int
	// line is the length of the line that is being read, without its end.
	line mangomodel.Bytes
	// spaces is the number of spaces in the request line.
	spaces int
	// empty is the number of bytes of line ends before the request line.
	empty int
	// cr is set if the last byte was a CR, and colon if the line has a colon.
	cr, colon bool
}

// NewHead returns a Head whose names and values may have limit bytes together.
func NewHead(limit mangomodel.Bytes) Head { return Head{limit: limit} }

// Begun reports whether a byte of the head was read.
func (h *Head) Begun() bool { return h.size > 0 }

// Scan reads a part of the head and returns how many of its bytes belong to the head.
func (h *Head) Scan(data []byte) (n int, v Verdict) {
	for i, b := range data {
		h.size++
		switch {
		case b == '\n':
			if h.endLine() {
				return i + 1, Complete
			}
		default:
			h.count(b)
		}
		if h.exceeded() {
			return i + 1, TooLarge
		}
	}
	return len(data), Incomplete
}

// count counts a byte within a line.
func (h *Head) count(b byte) {
	if h.cr {
		// A CR that no LF follows belongs to the line.
		h.line++
	}
	h.cr = b == '\r'
	if h.cr {
		return
	}
	h.line++
	switch {
	case b == ' ' || b == '\t':
		if h.lines == 0 {
			h.spaces++
		}
	case h.lines == 0:
	case b == ':' && !h.colon:
		h.colon = true
	default:
		h.counted++
	}
}

// endLine ends a line, and reports whether the head ends with it.
func (h *Head) endLine() bool {
	empty := h.line == 0
	first := h.lines == 0
	length := 1
	if h.cr {
		length = 2
	}
	h.line, h.cr, h.colon = 0, false, false
	if first && empty {
		h.empty += length
		return h.empty > maxEmpty
	}
	h.lines++
	// What has no method, target and version is no request line.
	return empty || first && h.spaces < 2
}

func (h *Head) exceeded() bool {
	if h.lines == 0 {
		return h.size > max(h.limit, minRequestLine)
	}
	return h.counted > h.limit+hostAllowance || h.size > separators*h.limit+minRequestLine
}

const (
	// lineCost is the memory that a line takes once it is parsed, in bytes: an entry of a
	// map that doubles, a slice of one element and two texts, in the request and in the
	// copies that the call and its exchange with a server have. Measured 150 to 300 bytes a
	// copy for distinct short names.
	lineCost mangomodel.Bytes = 512
	// sizeCost is the memory that each byte takes: as received, parsed and in two copies.
	sizeCost = 4
)

// Cost returns the memory that the head takes once it is parsed, in bytes.
func (h *Head) Cost() mangomodel.Bytes { return mangomodel.Bytes(h.lines)*lineCost + sizeCost*h.size }
