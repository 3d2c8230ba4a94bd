package mangohead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

const limit mangomodel.Bytes = 16384

// TestHeadLimit guards against heads that exceed the limit and are read on, and against
// heads within it that are refused for their separators.
func TestHeadLimit(t *testing.T) {
	const start = "GET / HTTP/1.1\r\nHost: abc.example\r\n"
	tests := []struct {
		name, text string
		want       Verdict
		most       mangomodel.Bytes
	}{
		{"usual", start + "A: b\r\n\r\n", Complete, limit},
		{"bare line ends", "GET / HTTP/1.1\nA: b\n\n", Complete, limit},
		{"one value at the limit", start + "A: " + strings.Repeat("x", int(limit)-1) + "\r\n\r\n", Complete, 2 * limit},
		{"one name a byte, at the limit", start + strings.Repeat("a: \r\n", int(limit)) + "\r\n", Complete, 6 * limit},
		{"one value without end", start + "A: " + strings.Repeat("x", 900<<10), TooLarge, limit + 1024},
		{"lines without end", start + strings.Repeat("abc: def\r\n", 90<<10), TooLarge, 2 * limit},
		{"padding without end", start + "A: " + strings.Repeat(" ", 900<<10), TooLarge, 7 * limit},
		{"request line without end", strings.Repeat("x", 900<<10), TooLarge, limit + 1},
		{"empty lines without end", strings.Repeat("\r\n", 900), Complete, 6},
		{"no request line", "abc\r\n", Complete, 5},
		{"folded", start + "A: b\r\n \r\n c\r\n", Incomplete, limit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := NewHead(limit)
			n, v := h.Scan([]byte(test.text))
			g.Expect(v).To(gomega.Equal(test.want))
			g.Expect(mangomodel.Bytes(n)).To(gomega.BeNumerically("<=", test.most))
			if v == Complete && test.name != "empty lines without end" {
				g.Expect(n).To(gomega.Equal(len(test.text)))
			}
		})
	}
}

// TestCostCoversWhatIsParsed guards against a cost by size as sent: net/http needs many
// times the memory of the shortest lines.
func TestCostCoversWhatIsParsed(t *testing.T) {
	g := gomega.NewWithT(t)
	text := "GET / HTTP/1.1\r\nHost: x\r\n"
	for i := range 2600 {
		text += fmt.Sprintf("%x:\r\n", i+0x100)
	}
	text += "\r\n"
	h := NewHead(limit)
	_, v := h.Scan([]byte(text))
	g.Expect(v).To(gomega.Equal(Complete))
	const heads = 20
	perHead := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			kept := make([]http.Header, 0, heads)
			for range heads {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				if err != nil {
					b.Fatal(err)
				}
				kept = append(kept, r.Header)
			}
			runtime.KeepAlive(kept)
		}
	}).AllocedBytesPerOp() / heads
	t.Logf("%d bytes sent, %d allocated, cost %d", len(text), perHead, h.Cost())
	g.Expect(int64(h.Cost())).To(gomega.BeNumerically(">", perHead))
}

// FuzzHead compares the end of a head with what net/http reads, whatever the pieces.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\nrest", "GET / HTTP/1.1\nA: b\n c\n\nrest", "POST / HTTP/1.0\r\nA:\r\n \r\n\t\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\r\n\r\n", "GET  / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n",
	} {
		f.Add([]byte(text), byte(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece byte) {
		h := NewHead(limit)
		end, v := 0, Incomplete
		for rest := data; len(rest) > 0 && v == Incomplete; {
			n, verdict := h.Scan(rest[:min(int(piece)+1, len(rest))])
			end, v, rest = end+n, verdict, rest[n:]
		}
		if h.Cost() < 0 || end > len(data) {
			t.Fatalf("cost %d, end %d of %d", h.Cost(), end, len(data))
		}
		src := bytes.NewReader(data)
		r := bufio.NewReaderSize(src, 1<<16)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		read := len(data) - src.Len() - r.Buffered()
		if v != Complete || read != end {
			t.Errorf("net/http reads %d bytes, verdict %d after %d", read, v, end)
		}
	})
}

// FuzzChunks compares the end of a body in chunks with what net/http reads.
func FuzzChunks(f *testing.F) {
	for _, text := range []string{
		"0\r\n\r\nGET", "5\r\nabcde\r\n0\r\n\r\nrest", "a;x=y\r\n0123456789\r\n0\r\nA: b\r\n\r\nrest", "ffffffffffffffffff\r\n", "1\r\nx\r\n1 \r\ny\r\n00\r\n\r\n", "2\nab\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text), byte(2))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece byte) {
		var c Chunks
		end, done, ok := 0, false, true
		for rest := data; len(rest) > 0 && ok && !done; {
			var n int
			n, done, ok = c.Scan(rest[:min(int(piece)+1, len(rest))])
			end, rest = end+n, rest[n:]
		}
		if end > len(data) {
			t.Fatalf("end %d of %d", end, len(data))
		}
		const head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
		src := strings.NewReader(head + string(data))
		r := bufio.NewReaderSize(src, 1<<16)
		req, err := http.ReadRequest(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		read := len(data) - src.Len() - r.Buffered()
		if !done || read != end {
			t.Errorf("net/http reads %d bytes; done %t, ok %t after %d", read, done, ok, end)
		}
	})
}
