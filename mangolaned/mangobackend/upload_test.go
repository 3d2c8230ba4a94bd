package mangobackend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangoroute"
)

// uploadBytes is more than the buffers of both sockets take, so that the request is still
// being written when its server answers.
const uploadBytes = 8 << 20

// serveEarly starts a server that answers a request as soon as it has read the head, and
// then resets the connection.
func serveEarly(t *testing.T, text string) mangoconfig.Host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		// A reset discards what the peer has not read yet.
		time.Sleep(2 * time.Millisecond)
		_ = conn.SetLinger(0)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return mangoconfig.Host{ID: "s0", Address: mangomodel.Address(l.Addr().String())}
}

// TestResetDuringTheUploadIsAFault guards against a part of an answer that is taken for a
// whole one because it has no length.
func TestResetDuringTheUploadIsAFault(t *testing.T) {
	mangorest.DisableFrameworkLog()
	g := gomega.NewWithT(t)
	server := serveEarly(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
	b, body := New(), bytes.Repeat([]byte("x"), uploadBytes)
	for range 10 {
		resp, err := b.Send(t.Context(), server, mangoentry.OutgoingCall{Path: "/retire", Body: body})
		g.Expect(err).To(gomega.HaveOccurred(), "%q", resp.Body)
		g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
	}
	err := b.Prefill(t.Context(), server, mangoroute.PrefillRequest{Prompt: string(body)})
	g.Expect(err).To(gomega.HaveOccurred())
}
