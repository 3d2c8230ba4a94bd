package mangomesh

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobroker"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
)

// brokenBroker panics.
type brokenBroker struct{}

func (brokenBroker) Receive(context.Context, mangobroker.ExchangeMessage) (mangobroker.ExchangeMessage, error) {
	panic("malformed message")
}

func (brokenBroker) Snapshot(mangobroker.StateVersion) mangobroker.Snapshot {
	panic("malformed version")
}

// TestPanicFailsOneCall guards against a message of another daemon that ends the
// process: net/rpc does not recover from panics of its methods.
func TestPanicFailsOneCall(t *testing.T) {
	g := gomega.NewWithT(t)
	server, err := NewServer(nil, brokenBroker{}, mangopanic.Nop{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go server.Serve(l)
	addr, peers := mangomodel.Address(l.Addr().String()), NewPeers()
	for range 3 {
		_, err = peers.Exchange(t.Context(), addr, mangobroker.ExchangeMessage{})
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("malformed message")))
		_, err = peers.Snapshot(t.Context(), addr, mangobroker.StateVersion{})
		g.Expect(err).To(gomega.HaveOccurred())
		_, err = peers.Acquire(t.Context(), mangoroster.Member{Address: addr}, mangolease.ID{}, mangolease.Demand{Patience: time.Second})
		g.Expect(err).To(gomega.HaveOccurred())
	}
}

// TestMalformedMessagesEndTheirConnection guards against bytes that are no message,
// also without end, from another process at the port of the daemons.
func TestMalformedMessagesEndTheirConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, _, addr := serve(t, g)
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", string(addr))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
		go func() {
			_, _ = io.WriteString(conn, text)
			chunk := make([]byte, 64<<10)
			for {
				if _, err := conn.Write(chunk); err != nil {
					return
				}
			}
		}()
		_, err = io.Copy(io.Discard, conn)
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "%q: the connection stays open", text)
	}
	_, err := NewPeers().Snapshot(t.Context(), addr, mangobroker.StateVersion{})
	g.Expect(err).NotTo(gomega.HaveOccurred(), "other calls are served")
}
