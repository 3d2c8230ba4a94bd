package mangoconn

import (
	"context"
	"net"
	"net/rpc"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// Echo is an RPC service that returns its arguments.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(args []byte, reply *[]byte) error {
	*reply = args
	return nil
}

type server struct {
	listener net.Listener
	conns    chan net.Conn
}

func serve(t *testing.T, addr string) *server {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, conns: make(chan net.Conn, 16)}
	r := rpc.NewServer()
	if err := r.RegisterName("Command", Echo{}); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
			go r.ServeConn(conn)
		}
	}()
	return s
}

// slowConn delays each write by pause and fails it after the write deadline.
type slowConn struct {
	net.Conn
	pause    time.Duration
	deadline time.Time
	written  int
}

func (c *slowConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	if time.Now().After(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	c.written += len(p)
	return len(p), nil
}

// TestLargeWriteOverASlowLink checks that the timeout applies to each chunk and not
// to the whole write, and that a peer that reads nothing still causes a timeout.
func TestLargeWriteOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		data := make([]byte, 8*writeChunk+1)
		slow := &slowConn{pause: writeTimeout / 2}
		n, err := WithWriteTimeout(slow).Write(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect([]int{n, slow.written}).To(gomega.Equal([]int{len(data), len(data)}))
		_, err = WithWriteTimeout(&slowConn{pause: 2 * writeTimeout}).Write(data)
		g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
	})
}

// stop closes the listener and all connections, like the exit of a process.
func (s *server) stop() {
	s.listener.Close()
	for {
		select {
		case conn := <-s.conns:
			conn.Close()
		default:
			return
		}
	}
}

func echo(p *Pool, to Endpoint, text []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply []byte
	return p.Call(ctx, to, mangomodel.StepProbe, "Command.Say", text, &reply)
}

// TestReconnectAfterPeerRestart covers the stale connection that a restarted peer
// leaves in the pool.
func TestReconnectAfterPeerRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	first := serve(t, "127.0.0.1:0")
	to := Endpoint{Address: mangomodel.Address(first.listener.Addr().String())}
	p := New(TCP)
	g.Expect(echo(p, to, []byte("a"), time.Second)).To(gomega.Succeed())
	first.stop()
	second := serve(t, string(to.Address))
	defer second.stop()
	time.Sleep(50 * time.Millisecond)
	g.Expect(echo(p, to, []byte("b"), time.Second)).To(gomega.Succeed())
}

// TestPeerThatReadsNothingTimesOut fills the TCP window of a connection to a peer
// that does not read, like one behind a network partition.
func TestPeerThatReadsNothingTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	to := Endpoint{Address: mangomodel.Address(l.Addr().String())}
	p := New(TCP)
	began := time.Now()
	g.Expect(echo(p, to, make([]byte, 64<<20), 200*time.Millisecond)).NotTo(gomega.Succeed())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*writeTimeout))
}

func TestUnreachableIsNotRun(t *testing.T) {
	s := serve(t, "127.0.0.1:0")
	to := Endpoint{Address: mangomodel.Address(s.listener.Addr().String())}
	s.stop()
	err := echo(New(TCP), to, nil, time.Second)
	gomega.NewWithT(t).Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
}
