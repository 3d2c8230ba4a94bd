package mangoconn

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Mirror is a service that returns what it gets.
type Mirror struct{}

// Send returns its argument.
func (Mirror) Send(in []byte, out *[]byte) error {
	*out = in
	return nil
}

func serveMirror(t *testing.T, limits Limits) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := rpc.NewServer()
	if err := s.Register(Mirror{}); err != nil {
		t.Fatal(err)
	}
	go Serve(l, func(conn net.Conn) { s.ServeConn(conn) }, WithLimits(limits))
	return l.Addr().String()
}

// TestAnnouncedMessagesStayWithinTheMemory guards against the decoder of gob, which
// allocates what a message announces before the message has come.
func TestAnnouncedMessagesStayWithinTheMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	var refused atomic.Int64
	addr := serveMirror(t, Limits{Messages: 2 << 20, Closed: func(r Reason) {
		if r == ReasonMessage {
			refused.Add(1)
		}
	}})
	huge := dialPeer(t, addr)
	_, err := huge.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(huge)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(refused.Load()).To(gomega.BeEquivalentTo(1))
	// Four times 600 KB exceed the share of 1.5 MiB for large messages.
	for range 4 {
		_, err := dialPeer(t, addr).Write([]byte{0xfd, 0x09, 0x27, 0xc0})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(refused.Load, 5*time.Second).Should(gomega.BeEquivalentTo(3))
	client := rpc.NewClient(dialPeer(t, addr))
	var out []byte
	g.Expect(client.Call("Mirror.Send", make([]byte, 32<<10), &out)).To(gomega.Succeed())
	g.Expect(out).To(gomega.HaveLen(32 << 10))
}

// TestSilentPeersKeepNoDaemonOut guards against connections that send nothing, and against a
// connection in use that is closed for them.
func TestSilentPeersKeepNoDaemonOut(t *testing.T) {
	g := gomega.NewWithT(t)
	addr := serveMirror(t, Limits{Connections: 10})
	client := rpc.NewClient(dialPeer(t, addr))
	var out []byte
	g.Expect(client.Call("Mirror.Send", []byte("x"), &out)).To(gomega.Succeed())
	for range 50 {
		dialPeer(t, addr)
	}
	other := rpc.NewClient(dialPeer(t, addr))
	g.Expect(other.Call("Mirror.Send", []byte("x"), &out)).To(gomega.Succeed())
	g.Expect(client.Call("Mirror.Send", []byte("x"), &out)).To(gomega.Succeed())
}

func dialPeer(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// FuzzFrames checks that messages of gob are followed whatever the pieces, and that no
// bytes end the process.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("abc"), byte(1))
	f.Add(bytes.Repeat([]byte{0xff}, 300), byte(200))
	f.Fuzz(func(t *testing.T, data []byte, piece byte) {
		scan := func(data []byte) (size uint64, ok bool) {
			var x frames
			for ok = true; len(data) > 0 && ok; data = data[min(int(piece)+1, len(data)):] {
				size, ok = x.scan(data[:min(int(piece)+1, len(data))])
			}
			return size, ok
		}
		scan(data)
		var buf bytes.Buffer
		enc := gob.NewEncoder(&buf)
		for range 2 {
			if err := enc.Encode(data); err != nil {
				t.Fatal(err)
			}
		}
		if size, ok := scan(buf.Bytes()); size != 0 || !ok {
			t.Errorf("whole messages are taken for incomplete: %d, %t", size, ok)
		}
	})
}
