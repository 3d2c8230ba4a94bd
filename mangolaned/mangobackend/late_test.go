package mangobackend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
)

// serveLateCopies starts a server that answers each call with its body, and writes the
// answer once more before the next answer on the same connection.
func serveLateCopies(t *testing.T) mangoconfig.Host {
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
			go func() {
				defer conn.Close()
				r, last := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, err := io.ReadAll(req.Body)
					if err != nil {
						return
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(conn, last+answer)
					last = answer
				}
			}()
		}
	}()
	return mangoconfig.Host{ID: "s0", Address: mangomodel.Address(l.Addr().String())}
}

func TestLateCopyOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	mangorest.DisableFrameworkLog()
	server, b := serveLateCopies(t), New()
	for _, body := range []string{"hat 1", "hat 2", "hat 3"} {
		g := gomega.NewWithT(t)
		resp, err := b.Send(context.Background(), server, mangoentry.OutgoingCall{Path: "/find", Body: []byte(body)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(resp.Body)).To(gomega.Equal(body))
	}
}
