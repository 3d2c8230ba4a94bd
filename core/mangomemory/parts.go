package mangomemory

import (
	"io"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// FirstPart and maxPart are the sizes in bytes of the first and of the largest parts
	// of a body without a length. Each part is as large as those before it together.
	FirstPart mangomodel.Bytes = 4 << 10
	maxPart   mangomodel.Bytes = 256 << 10
)

// ReadParts reads a body of at most limit bytes in parts that are never copied. It calls
// reserve before it allocates a part, and stops with its error. It reports whether the
// body has ended. The parts that were read are returned in any case.
func ReadParts(r io.Reader, limit mangomodel.Bytes, reserve func(n mangomodel.Bytes) error) (body mangotraffic.Body, whole bool, err error) {
	for have := mangomodel.Bytes(0); have < limit; {
		size := min(max(have, FirstPart), maxPart, limit-have)
		if err := reserve(size); err != nil {
			return body, false, err
		}
		part := make([]byte, size)
		n, err := fill(r, part)
		if n > 0 {
			body = append(body, part[:n])
		}
		have += mangomodel.Bytes(n)
		// A truncated body ends with another error than io.EOF.
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// fill reads until a part is full or the body ends.
func fill(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var m int
		m, err = r.Read(part[n:])
		n += m
	}
	return n, err
}
