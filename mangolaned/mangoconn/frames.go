package mangoconn

// frames follows the messages in a stream of gob. Each begins with its size: one byte up to
// 0x7f, or the negated number of bytes that follow with the size, the highest first.
type frames struct {
	// left is how many bytes of the message are still to come, and size what it has in all.
	left, size uint64
	// digits is how many bytes of the size are still to come.
	digits int
}

// scan reads a part of the stream. It returns the size of the message that is incomplete at
// its end, or zero, and reports whether all sizes are well-formed.
func (f *frames) scan(data []byte) (size uint64, ok bool) {
	for len(data) > 0 {
		if f.left > 0 {
			skip := min(f.left, uint64(len(data)))
			data = data[skip:]
			f.left -= skip
			continue
		}
		b := data[0]
		data = data[1:]
		switch {
		case f.digits > 0:
			f.size = f.size<<8 | uint64(b)
			if f.digits--; f.digits == 0 {
				f.left = f.size
			}
		case b <= 0x7f:
			f.size, f.left = uint64(b), uint64(b)
		default:
			f.size, f.digits = 0, -int(int8(b))
			if f.digits > 8 {
				return 0, false
			}
		}
	}
	if f.left == 0 {
		return 0, true
	}
	return f.size, true
}
