package mangopeer

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// scheduler grants every demand.
type scheduler struct{}

func (scheduler) Acquire(AcquireArgs, *AcquireReply) error { return nil }

func TestLateDemandDoesNotLoseItsScheduler(t *testing.T) {
	server := rpc.NewServer()
	if err := server.RegisterName("Command", scheduler{}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	owner := mangomember.Member{Address: mangomodel.Address(l.Addr().String())}
	for _, patience := range []time.Duration{0, -time.Second, -time.Minute} {
		_, err := NewPeers().Acquire(t.Context(), owner, mangomodel.ShardID{}, mangomodel.Demand{Patience: patience})
		if err != nil {
			t.Errorf("wait limit %v: %v", patience, err)
		}
	}
}
