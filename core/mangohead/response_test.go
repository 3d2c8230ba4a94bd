package mangohead

import (
	"bufio"
	"bytes"
	"net/http"
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
		{"fold", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\t\r\nD:\r\n\r\n", true, nil},
		{"fold with a colon", "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n", false, ErrField},
		{"fold first", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", false, ErrField},
		{"fold first, after an interim one", hints + "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", false, ErrField},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", false, ErrField},
		{"control byte in a name", hints + "HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n", false, ErrField},
		{"blank in a name, interim", "HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false, ErrField},
		{"CR instead of the end", "HTTP/1.1 200 OK\r\nA: b\r\n\rA: b\r\n\r\n", false, ErrField},
		{"blanks in the body", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nA : b\r\n c: d\r\n", true, nil},
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

// FuzzResponse compares the check of a response with what net/http reads, whatever the
// pieces.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.0 204\n\n", "HTTP/1.1 000 Broken\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length : 4\r\n\r\nbody", "HTTP/1.1 200 \r\nA\x01: b\r\n\r\n", "HTTP/1.1 101 x\r\n\r\n",
	} {
		f.Add([]byte(text), byte(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece byte) {
		done, err := scanPieces(data, int(piece)+1)
		if whole, wholeErr := scanPieces(data, len(data)+1); whole != done || (wholeErr == nil) != (err == nil) {
			t.Fatalf("done %v, %v in pieces, %v, %v as a whole", done, err, whole, wholeErr)
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), 1<<16)
		for {
			resp, readErr := http.ReadResponse(r, nil)
			if readErr != nil || err != nil {
				return
			}
			for name := range resp.Header {
				if !IsName(name) {
					t.Fatalf("field %q passed", name)
				}
			}
			if resp.StatusCode >= lowestFinal {
				break
			}
			if resp.StatusCode < lowestStatus || resp.StatusCode == switchingProtocol {
				t.Fatalf("status %d passed", resp.StatusCode)
			}
		}
		if !done {
			t.Fatal("net/http has read a head whose end was not seen")
		}
	})
}
