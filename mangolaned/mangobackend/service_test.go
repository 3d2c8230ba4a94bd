package mangobackend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
)

// droppingServer starts a server that responds to the first request of each
// connection and closes the connection after it has read the second. It returns
// the server and the number of requests read.
func droppingServer(t *testing.T) (mangoconfig.Host, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveDropping(conn, requests)
		}
	}()
	return mangoconfig.Host{ID: "s0", Address: mangomodel.Address(l.Addr().String())}, requests
}

func serveDropping(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for responded := false; ; responded = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(req.Body).Discard(int(req.ContentLength))
		requests.Add(1)
		if responded {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// TestAtMostOnceCallIsNotReplayed covers a server that closes a reused connection
// without responding, after which the transport would replay the call. A call has a
// connection of its own and must not be replayed.
func TestAtMostOnceCallIsNotReplayed(t *testing.T) {
	mangorest.DisableFrameworkLog()
	g := gomega.NewWithT(t)
	server, requests := droppingServer(t)
	b := New()
	call := mangoentry.OutgoingCall{Path: "/retire", Body: []byte("hat 7"), Key: "k"}
	for range 2 {
		_, _ = b.Send(context.Background(), server, call)
	}
	g.Expect(requests.Load()).To(gomega.BeEquivalentTo(2), "requests that the server read for two calls")
}

// TestSendFaultRun checks whether the fault of a failed call says that the call
// may have run.
func TestSendFaultRun(t *testing.T) {
	mangorest.DisableFrameworkLog()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	tests := []struct {
		name string
		addr string
		want mangomodel.Run
	}{
		{"nothing listens", "127.0.0.1:1", mangomodel.RunNot},
		{"no response", unresponsive.Addr().String(), mangomodel.RunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			server := mangoconfig.Host{ID: "s0", Address: mangomodel.Address(tt.addr)}
			_, err := New().Send(ctx, server, mangoentry.OutgoingCall{Path: "/retire"})
			g.Expect(mangomodel.AsFault(err, mangomodel.StepCall).Run).To(gomega.Equal(tt.want))
		})
	}
}
