package mangotraffic

import (
	"bytes"
	"io"

	"mangolane/core/mangomodel"
)

// Body is the body of a call or a response in the parts in which it was read.
type Body [][]byte

// Len returns the size of the body.
func (b Body) Len() mangomodel.Bytes {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return mangomodel.Bytes(n)
}

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	if len(b) == 1 {
		return bytes.NewReader(b[0])
	}
	readers := make([]io.Reader, len(b))
	for i, part := range b {
		readers[i] = bytes.NewReader(part)
	}
	return io.MultiReader(readers...)
}
