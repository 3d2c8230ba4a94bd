package mangorest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// serveConns starts a server that serves each connection on a goroutine.
func serveConns(t *testing.T, serve func(*net.TCPConn)) mangomodel.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return mangomodel.Address(l.Addr().String())
}

// serveText starts a server that answers each request of a connection with text. It closes
// the connection after the first one if the response does not say where it ends, and after
// a second in any case.
func serveText(t *testing.T, text string) mangomodel.Address {
	framed := strings.Contains(text, "Content-Length: ") || strings.Contains(text, "Transfer-Encoding: ")
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if _, err := io.WriteString(conn, text); err != nil || !framed {
				return
			}
		}
	}
	return serveConns(t, serve)
}

// receive sends a request and reads the whole response.
func receive(t *testing.T, c *Client) (int, string, error) {
	resp, err := c.Open(t.Context(), mangomodel.StepCall, http.MethodPost, "/x", nil, []byte("x"))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// checkResponses makes exchanges over connections of their own and over reused ones.
func checkResponses(t *testing.T, text string, check func(status int, data string, err error)) {
	addr := serveText(t, text)
	single, pooled := NewClient("peer", addr, WithoutReuse()), NewClient("peer", addr)
	defer pooled.Close()
	for range 3 {
		check(receive(t, single))
		check(receive(t, pooled))
	}
	for _, c := range []*Client{single, pooled} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(addr), nil)
		if err != nil {
			t.Fatal(err)
		}
		f, err := c.Fetch(mangomodel.StepConfigure, req, 2*time.Second, 2*time.Second)
		if err != nil {
			check(0, "", err)
			continue
		}
		check(f.Status, string(f.Body), nil)
	}
}

const okFields = "Content-Length: 4\r\n\r\nbody"

// brokenStatuses are status lines that no response has.
var brokenStatuses = map[string]string{
	"status 000":               "HTTP/1.1 000 Broken\r\n" + okFields,
	"status 000 without text":  "HTTP/1.1 000\r\n" + okFields,
	"status 000, no length":    "HTTP/1.1 000 Broken\r\n\r\nbody",
	"status 000, HTTP/1.0":     "HTTP/1.0 000 Broken\r\n" + okFields,
	"status 001":               "HTTP/1.1 001 Broken\r\n" + okFields,
	"status 099":               "HTTP/1.1 099 Broken\r\n" + okFields,
	"status with a sign":       "HTTP/1.1 +99 Broken\r\n" + okFields,
	"status -00":               "HTTP/1.1 -00 Broken\r\n" + okFields,
	"two digits":               "HTTP/1.1 20 OK\r\n" + okFields,
	"four digits":              "HTTP/1.1 2000 OK\r\n" + okFields,
	"no digits":                "HTTP/1.1 2x0 OK\r\n" + okFields,
	"other protocol":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbody",
	"000 after an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Broken\r\n" + okFields,
	"000 before the final one": "HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + okFields,
	"control byte in its text": "HTTP/1.1 200 O\x00K\r\n" + okFields,
	"other major version":      "HTTP/2.0 200 OK\r\n" + okFields,
}

// TestBrokenStatusIsAFault guards against a caller that receives a response whose status
// says nothing, such as 000, as a response of the peer.
func TestBrokenStatusIsAFault(t *testing.T) { checkBroken(t, brokenStatuses) }

// brokenLines are lines of a head that are no fields, each with the rest of a final response.
var brokenLines = []struct{ name, lines, rest string }{
	{"blank within", "Bad Name: x\r\n", okFields},
	{"blank before the colon", "Name : x\r\n", okFields},
	{"tab within", "Bad\tName: x\r\n", okFields},
	{"tab before the colon", "Name\t: x\r\n", okFields},
	{"blank first", "A: b\r\n Name: x\r\n", okFields},
	{"tab first", "A: b\r\n\tName: x\r\n", okFields},
	{"blanks first and within", "A: b\r\n Bad Name: x\r\n", okFields},
	{"blank first, first line", " Name: x\r\n", okFields},
	{"zero byte", "Na\x00me: x\r\n", okFields},
	{"control byte", "Na\x01me: x\r\n", okFields},
	{"CR", "Na\rme: x\r\n", okFields},
	{"CR first", "\rName: x\r\n", okFields},
	{"delete", "Na\x7fme: x\r\n", okFields},
	{"byte beyond ASCII", "Na\xe9me: x\r\n", okFields},
	{"no name", ": x\r\n", okFields},
	{"blank name", " : x\r\n", okFields},
	{"no colon", "Name\r\n", okFields},
	{"control byte in a value", "Name: \x01\r\n", okFields},
	{"bare line ends", "Bad Name: x\n", "Content-Length: 4\n\nbody"},
	{"length", "Content-Length : 4\r\n", "\r\nbody and more"},
	{"length in a fold", "A: b\r\n Content-Length: 4\r\n", "\r\nbody and more"},
	{"chunks", "Transfer-Encoding : chunked\r\n", "\r\n4\r\nbody\r\n0\r\n\r\n"},
	{"chunks in a fold", "A: b\r\n Transfer-Encoding: chunked\r\n", "\r\n4\r\nbody\r\n0\r\n\r\n"},
	{"chunks beside a length", "Transfer-Encoding : chunked\r\n", "Content-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
}

// TestBrokenFieldIsAFault guards against a head with a line that is no field: net/http
// keeps a name with a blank, and the length or the chunks that it states do not hold.
func TestBrokenFieldIsAFault(t *testing.T) {
	tests := map[string]string{}
	for _, b := range brokenLines {
		tests[b.name] = "HTTP/1.1 200 OK\r\n" + b.lines + b.rest
		tests[b.name+", failure"] = "HTTP/1.1 500 Oops\r\n" + b.lines + b.rest
		tests[b.name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + b.lines + "\r\nHTTP/1.1 200 OK\r\n" + okFields
	}
	checkBroken(t, tests)
}

// TestBrokenTrailerIsAFault guards against a response in chunks that ends with a line that
// is no field.
func TestBrokenTrailerIsAFault(t *testing.T) {
	tests := map[string]string{}
	for _, line := range []string{"Bad Name: x", "Name : x", "Na\x01me: x", "Na\tme: x", "Name", ": x", "Name: \x00"} {
		for _, declared := range []string{"", "Trailer: Name\r\n", "Trailer: Bad Name\r\n"} {
			for _, before := range []string{"", "A: b\r\n"} {
				tests[declared+before+line] = "HTTP/1.1 200 OK\r\n" + declared + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + before + line + "\r\n\r\n"
			}
		}
	}
	tests["blank first"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n Name: x\r\n\r\n"
	checkBroken(t, tests)
}

func checkBroken(t *testing.T, tests map[string]string) {
	DisableFrameworkLog()
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			checkResponses(t, text, func(status int, data string, err error) {
				g.Expect(err).To(gomega.HaveOccurred(), "%q taken as status %d and %q", text, status, data)
				if _, ok := err.(*mangomodel.Fault); ok {
					g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
				}
			})
		})
	}
}

// TestUnusualResponseArrivesWhole guards against checks of responses that refuse sound ones.
func TestUnusualResponseArrivesWhole(t *testing.T) {
	DisableFrameworkLog()
	tests := []struct {
		name, text string
		status     int
	}{
		{"no text", "HTTP/1.1 200\r\n" + okFields, 200},
		{"empty text", "HTTP/1.1 200 \r\n" + okFields, 200},
		{"text beyond ASCII", "HTTP/1.1 200 d\xe9j\xe0\tvu\r\n" + okFields, 200},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + okFields, 200},
		{"unusual success", "HTTP/1.1 299 Fine\r\n" + okFields, 299},
		{"redirect", "HTTP/1.1 307 Elsewhere\r\nLocation: /y\r\n" + okFields, 307},
		{"unusual client error", "HTTP/1.1 499 Gone\r\n" + okFields, 499},
		{"unusual server error", "HTTP/1.1 599 Oops\r\n" + okFields, 599},
		{"status above 599", "HTTP/1.1 700 Odd\r\n" + okFields, 700},
		{"highest status", "HTTP/1.1 999 Odd\r\n" + okFields, 999},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 199 x\r\n\r\nHTTP/1.1 200 OK\r\n" + okFields, 200},
		{"every sign of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n" + okFields, 200},
		{"empty value", "HTTP/1.1 200 OK\r\nA:\r\nB: \t \r\n" + okFields, 200},
		{"value beyond ASCII", "HTTP/1.1 200 OK\r\nA: d\xe9j\xe0\tvu : x\r\n" + okFields, 200},
		{"folded value", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\n" + okFields, 200},
		{"bare line ends", "HTTP/1.1 200 OK\nA: b\nContent-Length: 4\n\nbody", 200},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nbody", 200},
		{"no fields", "HTTP/1.1 200 OK\r\n\r\nbody", 200},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n", 200},
		{"trailers", "HTTP/1.1 200 OK\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\nC: d e\r\n\r\n", 200},
		{"trailer that was not sent", "HTTP/1.1 200 OK\r\nTrailer: A, B c\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n", 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			checkResponses(t, test.text, func(status int, data string, err error) {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(test.status))
				g.Expect(data).To(gomega.Equal("body"))
			})
		})
	}
}
