package mangohead

import (
	"testing"

	"github.com/onsi/gomega"
)

// scanPieces scans data in pieces of some bytes.
func scanPieces(data []byte, piece int) (done bool, err error) {
	var r Response
	for rest := data; len(rest) > 0; {
		n := min(piece, len(rest))
		err = r.Scan(rest[:n])
		rest = rest[n:]
	}
	return r.Done(), err
}

// TestResponseInPieces guards against a verdict that depends on how a head arrives.
func TestResponseInPieces(t *testing.T) {
	const hints = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\nLink: a\n\n"
	tests := []struct {
		name, text string
		done       bool
		err        error
	}{
		{"final", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", true, nil},
		{"final after interim ones", hints + "HTTP/1.1 200 OK\r\nA: b\r\n\r\n000", true, nil},
		{"interim ones", hints, false, nil},
		{"no end", "HTTP/1.1 200 OK\r\nA: b\r\n", false, nil},
		{"no fields", "HTTP/1.0 204\n\n", true, nil},
		{"what follows", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 Broken\r\n\r\n", true, nil},
		{"000", "HTTP/1.1 000 Broken\r\n\r\n", false, ErrStatusLine},
		{"000 after interim ones", hints + "HTTP/1.1 000 Broken\r\n\r\n", false, ErrStatusLine},
		{"101", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, ErrProtocol},
		{"no response", "oops\r\n\r\n", false, ErrStatusLine},
		{"empty line first", "\r\nHTTP/1.1 200 OK\r\n\r\n", false, ErrStatusLine},
		{"CR in the text", "HTTP/1.1 200 O\rK\r\n\r\n", false, ErrStatusLine},
		{"cut status", "HTTP/1.1 20\r\n\r\n", false, ErrStatusLine},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for piece := 1; piece <= len(test.text); piece++ {
				done, err := scanPieces([]byte(test.text), piece)
				g.Expect(done).To(gomega.Equal(test.done), "pieces of %d", piece)
				if test.err == nil {
					g.Expect(err).NotTo(gomega.HaveOccurred(), "pieces of %d", piece)
				} else {
					g.Expect(err).To(gomega.MatchError(test.err), "pieces of %d", piece)
				}
			}
		})
	}
}
