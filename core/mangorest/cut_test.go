package mangorest

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

	"mangolane/core/mangomodel"
)

// TestResponseCutInItsHeadIsAFault guards against a response that is taken for whole
// although its peer stopped within it.
func TestResponseCutInItsHeadIsAFault(t *testing.T) {
	DisableFrameworkLog()
	const body = `{"ver":9}`
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	framings := []struct{ field, body string }{
		{fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		{"Transfer-Encoding: chunked\r\n", chunks + "\r\n"},
		{"Trailer: A\r\nTransfer-Encoding: chunked\r\n", chunks + "A: 1\r\n\r\n"},
		{"Connection: close\r\n", ""},
	}
	const step = mangomodel.StepConfigure
	exchanges := map[string]func(*Client, *http.Request) error{
		"exchange without a result": func(c *Client, r *http.Request) error {
			return c.Exchange(r.Context(), step, r.Method, r.URL.Path, nil, nil)
		},
		"fetch": func(c *Client, r *http.Request) error {
			f, err := c.Fetch(step, r, time.Second, time.Second)
			if err == nil && f.Status != http.StatusOK {
				return c.ResponseFault(step, f.Status, nil)
			}
			return err
		},
	}
	for name, exchange := range exchanges {
		for status, success := range map[string]bool{"200 OK": true, "103 Early Hints\r\n\r\nHTTP/1.1 200 OK": true, "410 Gone": false} {
			t.Run(name+", "+status, func(t *testing.T) {
				t.Parallel()
				for _, framing := range framings {
					for _, eol := range []string{"\r\n", "\n"} {
						head := strings.ReplaceAll("HTTP/1.1 "+status+"\r\nContent-Type: application/json\r\n"+framing.field+"\r\n", "\r\n", eol)
						checkCuts(t, exchange, head+framing.body, success)
					}
				}
			})
		}
	}
}

// checkCuts makes an exchange for each beginning of an answer, which a close or a reset
// follows, and one for the whole answer.
func checkCuts(t *testing.T, exchange func(*Client, *http.Request) error, whole string, success bool) {
	g := gomega.NewWithT(t)
	var length atomic.Int64
	var reset atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, whole[:length.Load()])
		if reset.Load() {
			// A reset discards what the peer has not read yet.
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}))
	defer server.Close()
	send := func() error {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return exchange(NewClient("peer", mangomodel.Address(server.Listener.Addr().String()), WithoutReuse()), req)
	}
	for n := range whole {
		for _, r := range []bool{false, true} {
			length.Store(int64(n))
			reset.Store(r)
			err := send()
			g.Expect(err).To(gomega.HaveOccurred(), "reset %v after %q", r, whole[:n])
			g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
		}
	}
	length.Store(int64(len(whole)))
	reset.Store(false)
	g.Expect(send() == nil).To(gomega.Equal(success))
}
