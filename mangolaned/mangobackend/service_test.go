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

// droppingServer answers the first request of each connection and drops the
// connection after it has read the second. It counts the requests it read.
func droppingServer(t *testing.T) (mangoconfig.Host, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	read := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveDropping(conn, read)
		}
	}()
	return mangoconfig.Host{ID: "s0", Address: mangomodel.Address(l.Addr().String())}, read
}

func serveDropping(conn net.Conn, read *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(req.Body).Discard(int(req.ContentLength))
		read.Add(1)
		if answered {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

func TestCallThatMustNotRepeatIsSentOnce(t *testing.T) {
	mangorest.DisableFrameworkLog()
	tests := []struct {
		name string
		once bool
		// want is how often the server reads the second call at least.
		replayed bool
	}{
		{"idempotent", false, true},
		{"not idempotent", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, read := droppingServer(t)
			b := New()
			call := mangoentry.OutgoingCall{Path: "/retire", Body: []byte("hat 7"), AtMostOnce: tt.once, Key: "k"}
			for range 2 {
				_, _ = b.Send(context.Background(), server, call)
			}
			g.Expect(read.Load() > 2).To(gomega.Equal(tt.replayed), "the server read %d requests for two calls", read.Load())
		})
	}
}

func TestSendTellsWhetherTheCallMayHaveRun(t *testing.T) {
	mangorest.DisableFrameworkLog()
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	tests := []struct {
		name string
		addr string
		want mangomodel.Run
	}{
		{"nothing listens", "127.0.0.1:1", mangomodel.RunNot},
		{"nothing answers", mute.Addr().String(), mangomodel.RunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			server := mangoconfig.Host{ID: "s0", Address: mangomodel.Address(tt.addr)}
			_, err := New().Send(ctx, server, mangoentry.OutgoingCall{Path: "/retire", AtMostOnce: true})
			g.Expect(mangomodel.AsFault(err, mangomodel.StepCall).Run).To(gomega.Equal(tt.want))
		})
	}
}
