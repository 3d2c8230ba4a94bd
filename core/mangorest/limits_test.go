package mangorest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startLimitedServer starts a server with an idle limiter. It returns the
// server's address and a function that returns the number of served requests.
func startLimitedServer(t *testing.T, idle time.Duration) (string, func() int) {
	var (
		mu     sync.Mutex
		served int
	)
	l := newIdleLimiter(func() time.Duration { return idle }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		served++
	}))
	server := httptest.NewUnstartedServer(l)
	l.install(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return served
	}
}

// TestIdleLimit covers idle times before and between the requests of a
// connection. Each part is sent after its pause.
func TestIdleLimit(t *testing.T) {
	const limit = 200 * time.Millisecond
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := []struct {
		name   string
		idle   time.Duration
		parts  []string
		pauses []time.Duration
		served int
	}{
		{"reused within the limit", limit, []string{request, request}, []time.Duration{0, limit / 2}, 2},
		{"idle beyond the limit", limit, []string{request, request}, []time.Duration{0, 3 * limit}, 1},
		{"no request after connecting", limit, []string{request}, []time.Duration{3 * limit}, 0},
		{"no limit", 0, []string{request, request}, []time.Duration{limit, 3 * limit}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			addr, served := startLimitedServer(t, test.idle)
			conn, err := net.Dial("tcp", addr)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			for i, part := range test.parts {
				time.Sleep(test.pauses[i])
				// A write after the close fails or is reset later.
				_, _ = fmt.Fprint(conn, part)
			}
			g.Expect(conn.SetReadDeadline(time.Now().Add(limit))).To(gomega.Succeed())
			responses, r := 0, bufio.NewReader(conn)
			for {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				resp.Body.Close()
				responses++
			}
			g.Expect(responses).To(gomega.Equal(test.served))
			g.Expect(served()).To(gomega.Equal(test.served))
		})
	}
}
