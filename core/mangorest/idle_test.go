package mangorest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestBegunRequestIsServed guards against a connection that is closed for being idle
// while a request arrives: the daemon has read it, and its client gets no answer.
func TestBegunRequestIsServed(t *testing.T) {
	const limit = 200 * time.Millisecond
	g := gomega.NewWithT(t)
	addr, served := startLimitedServer(t, limit)
	conn, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
		time.Sleep(limit * 6 / 10)
		fmt.Fprint(conn, "Host: x\r\n\r\n")
		g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
		resp, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "request %d", i)
		resp.Body.Close()
		time.Sleep(limit * 6 / 10)
	}
	g.Expect(served()).To(gomega.Equal(2))
}

// TestRaisedIdleLimitHoldsForIdleConnections guards against a connection that is
// closed at the limit that held when it became idle. Its client reuses it within the
// limit in force.
func TestRaisedIdleLimitHoldsForIdleConnections(t *testing.T) {
	const low, high = 200 * time.Millisecond, 2 * time.Second
	g := gomega.NewWithT(t)
	var limit atomic.Int64
	limit.Store(int64(low))
	l := newIdleLimiter(func() time.Duration { return time.Duration(limit.Load()) }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server := httptest.NewUnstartedServer(l)
	l.install(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
		resp, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "request %d", i)
		resp.Body.Close()
		limit.Store(int64(high))
		time.Sleep(3 * low)
	}
}
