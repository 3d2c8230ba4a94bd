package mangorest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// uploadBytes is more than the buffers of both sockets take, so that the request is still
// being written when its server answers.
const uploadBytes = 8 << 20

// earlyServer answers each request as soon as it has read the head. Then end decides what
// happens to the connection.
func earlyServer(t *testing.T, text string, end func(*net.TCPConn, io.Reader)) mangomodel.Address {
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		end(conn, r)
	}
	return serveConns(t, serve)
}

// resetConn resets a connection once its peer has had time to read what was sent.
func resetConn(conn *net.TCPConn, _ io.Reader) {
	time.Sleep(2 * time.Millisecond)
	_ = conn.SetLinger(0)
}

// upload sends a long request and returns the body of the response, which it reads after a
// pause.
func upload(g *gomega.WithT, addr mangomodel.Address, body []byte, pause time.Duration) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+string(addr), bytes.NewReader(body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := NewClient("peer", addr, WithoutReuse()).Send(mangomodel.StepCall, "peer", req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	time.Sleep(pause)
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestResetDuringTheUploadIsNoEnd guards against a response without a length that is taken
// for whole although its connection was reset: the system reports a reset once, and the
// goroutine that writes the request may be told instead of the one that reads.
func TestResetDuringTheUploadIsNoEnd(t *testing.T) {
	DisableFrameworkLog()
	body := make([]byte, uploadBytes)
	for _, field := range []string{"", "Connection: close\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 100\r\n"} {
		t.Run(field, func(t *testing.T) {
			g := gomega.NewWithT(t)
			part := "part"
			if field == "Transfer-Encoding: chunked\r\n" {
				part = "4\r\npart\r\n"
			}
			addr := earlyServer(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n"+part, resetConn)
			for n := range 50 {
				for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
					data, err := upload(g, addr, body, pause)
					g.Expect(err).To(gomega.HaveOccurred(), "exchange %d, pause %v: %q taken as whole", n, pause, data)
				}
			}
		})
	}
}

// TestResetIsNoEndWhateverTheUpload guards against a part of a response without a length that
// is taken for whole, where the reset comes before, during or after the upload.
func TestResetIsNoEndWhateverTheUpload(t *testing.T) {
	DisableFrameworkLog()
	for _, size := range []int{0, 1, 4 << 10, 128 << 10, 1 << 20, uploadBytes} {
		for _, readsFirst := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes, read first %v, after %v", size, readsFirst, delay), func(t *testing.T) {
					g := gomega.NewWithT(t)
					addr := serveConns(t, func(conn *net.TCPConn) {
						defer conn.Close()
						r := bufio.NewReader(conn)
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if readsFirst {
							_, _ = io.Copy(io.Discard, req.Body)
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
						time.Sleep(delay)
						_ = conn.SetLinger(0)
					})
					for n := range 20 {
						data, err := upload(g, addr, make([]byte, size), 0)
						g.Expect(err).To(gomega.HaveOccurred(), "exchange %d: %q taken as whole", n, data)
					}
				})
			}
		}
	}
}

// TestAnswerBeforeTheUploadEndsArrivesWhole guards against a sound answer that is lost
// because its server has not read the whole request: net/http drops what it has not read of
// a response when it can't write the rest of the request.
func TestAnswerBeforeTheUploadEndsArrivesWhole(t *testing.T) {
	DisableFrameworkLog()
	text := strings.Repeat("the whole answer\n", 1<<10)
	body := make([]byte, uploadBytes)
	readOn := func(_ *net.TCPConn, r io.Reader) { _, _ = io.CopyN(io.Discard, r, uploadBytes) }
	halfClose := func(conn *net.TCPConn, r io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	}
	stopReading := func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}
	framings := []struct{ name, field, body string }{
		{"length", fmt.Sprintf("Content-Length: %d\r\n", len(text)), text},
		{"chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)},
		{"no length", "", text},
	}
	ends := []struct {
		name string
		end  func(*net.TCPConn, io.Reader)
		// unframed is set if the end of a response without a length is sound too.
		unframed bool
	}{
		{"reads on", readOn, true},
		{"closes its side and reads on", halfClose, true},
		{"closes its side and reads no more", stopReading, true},
		{"resets the connection", resetConn, false},
		{"resets it at once", func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }, false},
		{"closes its side and resets the connection", func(conn *net.TCPConn, r io.Reader) {
			_ = conn.CloseWrite()
			resetConn(conn, r)
		}, true},
	}
	for _, framing := range framings {
		for _, end := range ends {
			if framing.field == "" && !end.unframed {
				continue
			}
			t.Run(framing.name+", "+end.name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				addr := earlyServer(t, "HTTP/1.1 200 OK\r\n"+framing.field+"\r\n"+framing.body, end.end)
				for n := range 10 {
					for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
						data, err := upload(g, addr, body, pause)
						g.Expect(err).NotTo(gomega.HaveOccurred(), "exchange %d, pause %v", n, pause)
						g.Expect(data).To(gomega.Equal(text))
					}
				}
			})
		}
	}
}
