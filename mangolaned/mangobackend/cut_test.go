package mangobackend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangoroute"
)

// exchanges are the exchanges with a server, each of which reads its whole answer.
var exchanges = map[string]func(context.Context, *Backend, mangoconfig.Host) error{
	"call of a service": func(ctx context.Context, b *Backend, host mangoconfig.Host) error {
		_, err := b.Send(ctx, host, mangoentry.OutgoingCall{Path: "/x", Body: []byte("x")})
		return err
	},
	"prefill": func(ctx context.Context, b *Backend, host mangoconfig.Host) error {
		return b.Prefill(ctx, host, mangoroute.PrefillRequest{})
	},
	"transfer": func(ctx context.Context, b *Backend, host mangoconfig.Host) error {
		return b.Import(ctx, host, mangoroute.ImportRequest{})
	},
	"cancellation": func(ctx context.Context, b *Backend, host mangoconfig.Host) error {
		return b.Cancel(ctx, host, mangomodel.Sequence{})
	},
	"load": func(ctx context.Context, b *Backend, host mangoconfig.Host) error {
		_, _, err := b.Load(ctx, host)
		return err
	},
	"stream": func(ctx context.Context, b *Backend, host mangoconfig.Host) error {
		s, err := b.Decode(ctx, host, mangoroute.DecodeRequest{})
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next(time.Second)
		return err
	},
}

// TestAnswerCutInItsHeadIsAFault guards against an answer of a server that is taken for
// whole although the server stopped within its head.
func TestAnswerCutInItsHeadIsAFault(t *testing.T) {
	mangorest.DisableFrameworkLog()
	const chunk = `{"Request":"r","Attempt":1,"Offset":0,"Text":"a","Last":true}`
	for name, exchange := range exchanges {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(chunk)), "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				head, body := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+framing+"\r\n", chunk
				if strings.Contains(framing, "chunked") {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(chunk), chunk)
				}
				g := gomega.NewWithT(t)
				host, answer := serveAnswer(t)
				send := func(text string, reset bool) error {
					answer.Store(&cutAnswer{text, reset})
					return exchange(t.Context(), New(), host)
				}
				for n := range head {
					for _, reset := range []bool{false, true} {
						err := send(head[:n], reset)
						g.Expect(err).To(gomega.HaveOccurred(), "reset %v after %q", reset, head[:n])
						g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
					}
				}
				g.Expect(send(head+body, false)).To(gomega.Succeed())
			})
		}
	}
}

// cutAnswer is the beginning of an answer, after which the connection ends.
type cutAnswer struct {
	text  string
	reset bool
}

// serveAnswer starts a server that answers each request with the stored answer.
func serveAnswer(t *testing.T) (mangoconfig.Host, *atomic.Pointer[cutAnswer]) {
	answer := new(atomic.Pointer[cutAnswer])
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		a := answer.Load()
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, a.text)
		if a.reset {
			// A reset discards what the peer has not read yet.
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}))
	t.Cleanup(server.Close)
	return mangoconfig.Host{ID: "s0", Address: mangomodel.Address(server.Listener.Addr().String())}, answer
}
