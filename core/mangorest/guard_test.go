package mangorest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoclients"
	"mangolane/core/mangomodel"
)

// testClients counts what a guard reports.
type testClients struct {
	charged atomic.Int64
	mu      sync.Mutex
	reasons map[Reason]int
}

func (c *testClients) Charge(n mangomodel.Bytes) { c.charged.Add(int64(n)) }

func (c *testClients) ClientClosed(_ string, r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reasons[r]++
}

func (c *testClients) count(r Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reasons[r]
}

const testMaxHead mangomodel.Bytes = 16384

// startGuarded starts a server that responds with the length and the rest of each body.
func startGuarded(t *testing.T, l mangoclients.Limits, handler http.HandlerFunc) (string, *testClients) {
	x := &testClients{reasons: make(map[Reason]int)}
	if handler == nil {
		handler = func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "%s %d %d", r.URL.Path, len(body), len(r.Header))
		}
	}
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := probe.Addr().String()
	probe.Close()
	s, err := NewProxyServer("test", mangomodel.Address(addr), handler, unlimitedIdle, WithClients(Clients{
		Limits: l, Memory: x, Observer: x, StallTime: time.Second, MaxHead: func() mangomodel.Bytes { return testMaxHead },
	}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			break
		}
	}
	gomega.NewWithT(t).Eventually(x.charged.Load, 5*time.Second).Should(gomega.BeZero())
	return addr, x
}

func dial(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// responses reads n responses as status and body.
func responses(t *testing.T, r *bufio.Reader, n int) []string {
	var list []string
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%v after %q", err, list)
		}
		body, _ := io.ReadAll(resp.Body)
		list = append(list, fmt.Sprintf("%d %.40s", resp.StatusCode, body))
	}
	return list
}

// TestRequestsPassTheGuardWhateverTheirPieces guards against bytes that are lost, repeated or
// taken for another part of a request: all of a connection's requests are answered in order.
func TestRequestsPassTheGuardWhateverTheirPieces(t *testing.T) {
	addr, x := startGuarded(t, mangoclients.Limits{}, nil)
	const stream = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab\r\n\r" +
		"\r\nPOST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n" +
		"GET /4 HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n" +
		"POST /5 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" +
		"GET /6 HTTP/1.0\r\nHost: x\r\n\r\n"
	for _, size := range []int{1, 2, 3, 7, 50, len(stream)} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			conn := dial(t, addr)
			go func() {
				for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
					_, _ = io.WriteString(conn, rest[:min(size, len(rest))])
					time.Sleep(100 * time.Microsecond)
				}
			}()
			r := bufio.NewReader(conn)
			gomega.NewWithT(t).Expect(responses(t, r, 4)).To(gomega.Equal([]string{"200 /1 0 0", "200 /2 5 1", "200 /3 5 0", "200 /4 0 1"}))
			got := responses(t, r, 1)
			if strings.HasPrefix(got[0], "100") {
				got = responses(t, r, 1)
			}
			got = append(got, responses(t, r, 1)...)
			gomega.NewWithT(t).Expect(got).To(gomega.Equal([]string{"200 /5 1 2", "200 /6 0 0"}))
		})
	}
	gomega.NewWithT(t).Eventually(x.charged.Load, 5*time.Second).Should(gomega.BeZero())
}

// TestHeadIsRefusedOnceItExceedsItsLimit guards against heads that are read up to the
// library's limit of a megabyte, and against heads within the limit that are refused.
func TestHeadIsRefusedOnceItExceedsItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, x := startGuarded(t, mangoclients.Limits{}, nil)
	conn := dial(t, addr)
	const start = "GET /x HTTP/1.1\r\nHost: x\r\n"
	fmt.Fprintf(conn, "%sA: %s\r\n\r\n", start, strings.Repeat("x", int(testMaxHead)-1))
	r := bufio.NewReader(conn)
	g.Expect(responses(t, r, 1)).To(gomega.Equal([]string{"200 /x 0 1"}))
	fmt.Fprintf(conn, "%s%s\r\n", start, strings.Repeat("a:\r\n", int(testMaxHead)))
	g.Expect(responses(t, r, 1)).To(gomega.Equal([]string{"200 /x 0 1"}))
	// Less than 900 KB, so that a reader up to a megabyte would wait for more.
	fmt.Fprintf(conn, "%sA: %s", start, strings.Repeat("x", int(testMaxHead)+1024))
	resp, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, _ := io.ReadAll(resp.Body)
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(string(body)).To(gomega.ContainSubstring(`"Run":"Not"`))
	g.Expect(x.count(ReasonHeadTooLarge)).To(gomega.Equal(1))
}

// TestHeadsBeyondTheMemoryAreRefusedAsNotRun guards against heads that together exceed the
// memory, and against an ordinary request that is refused because of them.
func TestHeadsBeyondTheMemoryAreRefusedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	served := make(chan struct{})
	addr, x := startGuarded(t, mangoclients.Limits{HeadMemory: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		if len(r.Header) > 100 {
			<-served
		}
	})
	var large strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&large, "%x:\r\n", i+0x100)
	}
	first := dial(t, addr)
	fmt.Fprintf(first, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", large.String())
	g.Eventually(x.charged.Load, 5*time.Second).Should(gomega.BeNumerically(">", 700<<10))
	second := dial(t, addr)
	fmt.Fprintf(second, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", large.String())
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, _ := io.ReadAll(resp.Body)
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(string(body)).To(gomega.ContainSubstring(`"Run":"Not"`))
	third := dial(t, addr)
	fmt.Fprint(third, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	g.Expect(responses(t, bufio.NewReader(third), 1)).To(gomega.Equal([]string{"200 "}))
	close(served)
	g.Expect(responses(t, bufio.NewReader(first), 1)).To(gomega.Equal([]string{"200 "}))
	for _, conn := range []net.Conn{first, second, third} {
		conn.Close()
	}
	g.Eventually(x.charged.Load, 5*time.Second).Should(gomega.BeZero())
}

// TestSilentConnectionsKeepNobodyOut guards against connections that send nothing and take
// all that a server has.
func TestSilentConnectionsKeepNobodyOut(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, x := startGuarded(t, mangoclients.Limits{Connections: 20}, nil)
	for range 60 {
		dial(t, addr)
	}
	conn := dial(t, addr)
	fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	g.Expect(responses(t, bufio.NewReader(conn), 1)).To(gomega.Equal([]string{"200 /x 0 0"}))
	g.Expect(x.count(ReasonConnections)).To(gomega.BeNumerically(">=", 40))
	g.Expect(x.charged.Load()).To(gomega.BeNumerically("<=", 20*int64(ConnectionCost)+64<<10))
}

// TestResponseThatIsNotReadEnds guards against a handler that waits for a client that reads
// nothing for as long as the client likes.
func TestResponseThatIsNotReadEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	failed := make(chan error, 1)
	addr, x := startGuarded(t, mangoclients.Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for part := make([]byte, 1<<20); err == nil; {
			_, err = w.Write(part)
		}
		failed <- err
	})
	conn := dial(t, addr)
	fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	g.Eventually(failed, 10*time.Second).Should(gomega.Receive())
	g.Expect(x.count(ReasonNotReading)).To(gomega.Equal(1))
}
