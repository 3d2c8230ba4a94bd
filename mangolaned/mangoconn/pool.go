// Package mangoconn pools net/rpc connections to other daemons.
//
// # Usage
//
//	pool := mangoconn.New(mangoconn.TCP)
//	err := pool.Call(ctx, mangoconn.Endpoint{Address: addr}, mangomodel.StepProbe, "Command.Probe", args, &reply)
package mangoconn

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangolane/core/mangomodel"
)

// dialTimeout bounds the establishment of a connection.
const dialTimeout = time.Second

// Lane selects one of the connections to a daemon. Calls that complete at once,
// calls that may wait for a grant and large calls use separate connections, so a
// waiting or large call does not conceal that a connection is dead.
type Lane int

const (
	// LaneControl is for calls that complete without waiting.
	LaneControl Lane = iota
	// LaneAdmission is for calls that may wait for a grant.
	LaneAdmission
	// LaneBulk is for large replies, which would delay other calls.
	LaneBulk
)

// Endpoint identifies a connection.
type Endpoint struct {
	Address mangomodel.Address
	Lane    Lane
}

// Dial connects to a daemon.
type Dial func(ctx context.Context, addr mangomodel.Address) (net.Conn, error)

// TCP is a Dial over TCP.
func TCP(ctx context.Context, addr mangomodel.Address) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", string(addr))
}

// Pool holds one connection per endpoint. It holds no control state and is
// guarded by a lock.
type Pool struct {
	dial    Dial
	mu      sync.Mutex
	clients map[Endpoint]*rpc.Client
}

// New returns an empty pool.
func New(dial Dial) *Pool { return &Pool{dial: dial, clients: make(map[Endpoint]*rpc.Client)} }

// Call makes one call. Any failure of the call is reported as an unreachable daemon.
// It closes the connection, which other calls share, unless the method itself
// returned the error. If ctx ends first, the connection is closed unless its calls
// may wait for a grant. After
// an error the caller must not access reply, since a late response may still be
// written to it.
func (p *Pool) Call(ctx context.Context, to Endpoint, step mangomodel.Step, method string, args, reply any) error {
	client, call, err := p.start(ctx, to, method, args, reply)
	if err != nil {
		return UnreachableFault(step, to.Address, mangomodel.RunNot, err)
	}
	select {
	case <-call.Done:
		if call.Error != nil {
			if _, ok := call.Error.(rpc.ServerError); !ok {
				p.closeClient(to, client)
			}
			return UnreachableFault(step, to.Address, mangomodel.RunUnknown, call.Error)
		}
		return nil
	case <-ctx.Done():
		if to.Lane != LaneAdmission {
			p.closeClient(to, client)
		}
		return UnreachableFault(step, to.Address, mangomodel.RunUnknown, context.Cause(ctx))
	}
}

// start sends a call. A connection that was closed before the call, for example
// because the daemon restarted, is replaced once.
func (p *Pool) start(ctx context.Context, to Endpoint, method string, args, reply any) (*rpc.Client, *rpc.Call, error) {
	for retried := false; ; retried = true {
		client, err := p.get(ctx, to)
		if err != nil {
			return nil, nil, err
		}
		call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if errors.Is(call.Error, rpc.ErrShutdown) && !retried {
				p.closeClient(to, client)
				continue
			}
			call.Done <- call
		default:
		}
		return client, call, nil
	}
}

// get returns the open connection or establishes one. It dials without holding
// the lock, so an unreachable peer does not delay calls to others.
func (p *Pool) get(ctx context.Context, to Endpoint) (*rpc.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[to]
	p.mu.Unlock()
	if ok {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	return p.put(to, rpc.NewClient(Bounded(conn))), nil
}

const (
	// writeTimeout bounds the write of one chunk. A peer that reads nothing for
	// that time is treated as unreachable, since the blocked write delays all other
	// calls on the connection.
	writeTimeout = 500 * time.Millisecond
	// writeChunk is the number of bytes that a link of 10 Mbit/s, shared with a
	// dozen others, carries within writeTimeout.
	writeChunk = 32 << 10
	// maxUnanswered bounds the bytes that are received between two writes. Every
	// message is a request or the response to one, so more bytes without a write
	// are no sequence of messages, and the decoder would collect them without end.
	// A snapshot for some thousand routes and servers takes about 200 KB.
	maxUnanswered = 2 << 20
)

var errUnanswered = errors.New("the peer sends without waiting for responses")

// Bounded wraps a connection so that the write of each chunk times out after
// writeTimeout, and a read fails after maxUnanswered bytes without a write.
func Bounded(conn net.Conn) net.Conn { return &boundedConn{Conn: conn} }

type boundedConn struct {
	net.Conn
	// received counts the bytes since the last write.
	received atomic.Int64
}

// Read fails once the peer has sent too much without a write in between.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.received.Add(int64(n)) > maxUnanswered {
		return 0, errUnanswered
	}
	return n, err
}

// Write writes p in chunks. It fails if a chunk is not written within
// writeTimeout.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.received.Store(0)
	written := 0
	for chunk := range slices.Chunk(p, writeChunk) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// put stores a new connection, or closes it and returns the one that was stored
// meanwhile.
func (p *Pool) put(to Endpoint, client *rpc.Client) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.clients[to]; ok {
		client.Close()
		return other
	}
	p.clients[to] = client
	return client
}

// closeClient closes a connection, which cancels all its calls.
func (p *Pool) closeClient(to Endpoint, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[to] == client {
		delete(p.clients, to)
	}
	p.mu.Unlock()
	client.Close()
}

// CloseAddress closes the control and admission connections to an address, which
// cancels their calls. A connection for large replies stays open.
func (p *Pool) CloseAddress(addr mangomodel.Address) {
	for _, l := range []Lane{LaneControl, LaneAdmission} {
		to := Endpoint{addr, l}
		p.mu.Lock()
		client, ok := p.clients[to]
		p.mu.Unlock()
		if ok {
			p.closeClient(to, client)
		}
	}
}

// UnreachableFault returns the fault for a daemon that cannot be reached. Run
// states whether the call may have run there.
func UnreachableFault(step mangomodel.Step, addr mangomodel.Address, run mangomodel.Run, err error) error {
	return mangomodel.NewFault(step, mangomodel.PeerName(addr), mangomodel.CodeUnavailable, run, err)
}
