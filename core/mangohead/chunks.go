package mangohead

import "math"

// chunkState is what the next byte of a body in chunks belongs to.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkTrailer
)

// Chunks finds the end of a body in chunks. Its zero value is at the beginning of a body.
type Chunks struct {
	state chunkState
	// left is what is left of a chunk's data with its line end, in bytes, or while the
	// size is read, the size.
	left uint64
	// line is the length of the trailer line that is being read, without its end.
	line int
	cr   bool
}

// Scan reads a part of the body and returns how many of its bytes belong to the body. It
// reports ok unless a size is malformed or larger than a body can be, which net/http
// refuses.
func (c *Chunks) Scan(data []byte) (n int, done, ok bool) {
	for n < len(data) {
		if c.state == chunkData {
			skip := min(c.left, uint64(len(data)-n))
			n += int(skip)
			if c.left -= skip; c.left == 0 {
				c.state = chunkSize
			}
			continue
		}
		b := data[n]
		n++
		switch c.state {
		case chunkSize, chunkExtension:
			if !c.size(b) {
				return n, false, false
			}
		default:
			if c.trailer(b) {
				return n, true, true
			}
		}
	}
	return n, false, true
}

// size reads a byte of the line with a chunk's size.
func (c *Chunks) size(b byte) bool {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\n' && c.left == 0:
		*c = Chunks{state: chunkTrailer}
	case b == '\n':
		// The data ends with CR and LF.
		*c = Chunks{state: chunkData, left: c.left + 2}
	case c.state == chunkExtension:
	case b == ';' || b == ' ' || b == '\t' || b == '\r':
		c.state = chunkExtension
	case !isDigit || c.left > math.MaxInt64>>4:
		return false
	default:
		c.left = c.left<<4 | digit
	}
	return true
}

// trailer reads a byte after the last chunk, and reports whether the body ends with it.
func (c *Chunks) trailer(b byte) bool {
	switch {
	case b == '\n':
		if c.line == 0 {
			return true
		}
		c.line, c.cr = 0, false
	case b == '\r' && !c.cr:
		c.cr = true
	default:
		c.line++
	}
	return false
}

func hexDigit(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	}
	return 0, false
}
