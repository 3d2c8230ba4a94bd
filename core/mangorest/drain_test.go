package mangorest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomodel"
)

// stopUnderLoad starts a proxy server, sends requests over kept and over new
// connections, and stops the server in between. It returns how many requests were
// served and how many of those were answered.
func stopUnderLoad(t *testing.T, g *gomega.WithT, random *rand.Rand) (served, answered int64) {
	var handled, complete atomic.Int64
	server, addr := startForStop(g)
	handler := server.limiter.handler
	server.limiter.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		handler.ServeHTTP(w, r)
	})
	var clients sync.WaitGroup
	for i := range 16 {
		// Half of the clients open a connection for each request.
		perConn := 1
		if i%2 == 0 {
			perConn = 1 << 20
		}
		clients.Go(func() {
			for request(addr, perConn, &complete) == nil {
			}
		})
	}
	time.Sleep(time.Duration(random.IntN(4_000)) * time.Microsecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	g.Expect(server.Shutdown(ctx)).To(gomega.Succeed())
	clients.Wait()
	return handled.Load(), complete.Load()
}

// request opens a connection, sends requests one after the other and counts the
// complete responses.
func request(addr string, n int, complete *atomic.Int64) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for range n {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "ok" {
			return fmt.Errorf("body %q: %w", body, err)
		}
		complete.Add(1)
		if resp.Close {
			return nil
		}
	}
	return nil
}

// freeAddress returns an address on which nothing listens.
func freeAddress(g *gomega.WithT) mangomodel.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	return mangomodel.Address(l.Addr().String())
}

// TestStopUnderLoadAnswersWhatItServes guards against a stop that closes a kept
// connection as idle whose next request is being read: the request would be served,
// and its response lost.
func TestStopUnderLoadAnswersWhatItServes(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 200 {
		served, answered := stopUnderLoad(t, g, random)
		g.Expect(answered).To(gomega.Equal(served), "round %d", round)
	}
}

// startForStop starts a proxy server whose handler answers "ok", and returns its
// address.
func startForStop(g *gomega.WithT) (*Server, string) {
	s, err := NewProxyServer("front", freeAddress(g), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "ok")
	}), func() time.Duration { return 0 })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go s.Serve()
	<-s.started
	var complete atomic.Int64
	g.Eventually(func() error { return request(s.httpServer.Addr, 1, &complete) }).Should(gomega.Succeed())
	g.Eventually(s.limiter.open).Should(gomega.Equal(0))
	return s, s.httpServer.Addr
}

// TestAcceptedConnectionIsAnsweredDuringAStop guards against a stop that cuts off the
// first request of a connection that was accepted right before: http.Server drops it.
func TestAcceptedConnectionIsAnsweredDuringAStop(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond} {
		g := gomega.NewWithT(t)
		s, addr := startForStop(g)
		conn, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		g.Eventually(s.limiter.open).Should(gomega.Equal(1))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(ctx) }()
		time.Sleep(delay)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "delay %v", delay)
		resp.Body.Close()
		g.Expect(<-stopped).To(gomega.Succeed())
	}
}

// TestStopAnswersKeptConnectionsOfARoutedServer guards against a stop that closes a
// connection without an answer to the request that arrives over it.
func TestStopAnswersKeptConnectionsOfARoutedServer(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := NewServer("front", freeAddress(g), []rest.Route{{Method: http.MethodGet, Path: "/", Handler: func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "ok")
	}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go s.Serve()
	<-s.started
	var conn net.Conn
	g.Eventually(func() (err error) {
		conn, err = net.Dial("tcp", s.httpServer.Addr)
		return err
	}).Should(gomega.Succeed())
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "request %d", i)
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.Close).To(gomega.Equal(i == 1))
		if i == 0 {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			go s.Shutdown(ctx)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestStopRightAfterTheStart covers a stop that begins before the server listens.
func TestStopRightAfterTheStart(t *testing.T) {
	for range 20 {
		g := gomega.NewWithT(t)
		s, err := NewProxyServer("front", freeAddress(g), http.NotFoundHandler(), func() time.Duration { return 0 })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		served := make(chan struct{})
		go func() {
			defer close(served)
			s.Serve()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(s.Shutdown(ctx)).To(gomega.Succeed())
		g.Eventually(func() error {
			conn, err := net.Dial("tcp", s.httpServer.Addr)
			if err == nil {
				conn.Close()
			}
			return err
		}).Should(gomega.HaveOccurred(), "the listener is closed")
	}
}

// TestStopEndsWithSilentConnections covers connections that never carry a request.
func TestStopEndsWithSilentConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s, addr := startForStop(g)
	conn, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	g.Expect(s.Shutdown(ctx)).To(gomega.Succeed())
}

// TestStopTakesNoRequestAfterTheOneInProgress guards against requests that a stop
// cuts off, since they came on the connection of a response that began before it.
func TestStopTakesNoRequestAfterTheOneInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	s, addr := startForStop(g)
	var served atomic.Int64
	s.limiter.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		fmt.Fprint(w, "first")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, "last")
	})
	conn, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	for i := range 2 {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if i == 1 {
			g.Expect(err).To(gomega.HaveOccurred())
			break
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		go s.Shutdown(t.Context())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("firstlast"))
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(served.Load()).To(gomega.BeEquivalentTo(1))
}
