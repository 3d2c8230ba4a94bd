// Package mangoconn keeps net/rpc connections to other daemons.
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
	"time"

	"mangolane/core/mangomodel"
)

// dialTimeout bounds the making of a connection.
const dialTimeout = time.Second

// Lane separates calls that are answered at once, those that may wait for a
// grant and large ones, so that none hides that another's connection is silent.
type Lane int

const (
	// LaneControl is for calls that are answered at once.
	LaneControl Lane = iota
	// LaneAdmission is for calls that may wait.
	LaneAdmission
	// LaneBulk is for large answers, which would hold up the others.
	LaneBulk
)

// Endpoint names one connection.
type Endpoint struct {
	Address mangomodel.Address
	Lane    Lane
}

// Dial makes a connection to a daemon.
type Dial func(ctx context.Context, addr mangomodel.Address) (net.Conn, error)

// TCP makes a TCP connection.
func TCP(ctx context.Context, addr mangomodel.Address) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", string(addr))
}

// Pool holds one connection to each endpoint. It is a connection pool
// and holds no control state, so a lock guards it.
type Pool struct {
	dial Dial
	mu   sync.Mutex
	open map[Endpoint]*rpc.Client
}

// New returns an empty pool.
func New(dial Dial) *Pool { return &Pool{dial: dial, open: make(map[Endpoint]*rpc.Client)} }

// Call makes one call. When ctx ends first, the connection is closed if it
// is due to answer at once. After an error the reply must not be touched, since
// a late answer may still be written into it.
func (c *Pool) Call(ctx context.Context, to Endpoint, step mangomodel.Step, method string, args, reply any) error {
	client, call, err := c.start(ctx, to, method, args, reply)
	if err != nil {
		return UnreachableFault(step, to.Address, mangomodel.RunNot, err)
	}
	select {
	case <-call.Done:
		if call.Error != nil {
			c.drop(to, client)
			return UnreachableFault(step, to.Address, mangomodel.RunUnknown, call.Error)
		}
		return nil
	case <-ctx.Done():
		if to.Lane != LaneAdmission {
			c.drop(to, client)
		}
		return UnreachableFault(step, to.Address, mangomodel.RunUnknown, context.Cause(ctx))
	}
}

// start sends a call. A connection that was closed before the call, as by a
// daemon that has started again, is replaced once.
func (c *Pool) start(ctx context.Context, to Endpoint, method string, args, reply any) (*rpc.Client, *rpc.Call, error) {
	for again := false; ; again = true {
		client, err := c.get(ctx, to)
		if err != nil {
			return nil, nil, err
		}
		call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if errors.Is(call.Error, rpc.ErrShutdown) && !again {
				c.drop(to, client)
				continue
			}
			call.Done <- call
		default:
		}
		return client, call, nil
	}
}

// get returns the open connection or makes one. Dialling happens without the
// lock, so that an unreachable peer holds nobody up.
func (c *Pool) get(ctx context.Context, to Endpoint) (*rpc.Client, error) {
	c.mu.Lock()
	client, ok := c.open[to]
	c.mu.Unlock()
	if ok {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	return c.keep(to, rpc.NewClient(WithWriteTimeout(conn))), nil
}

const (
	// writeTimeout bounds the writing of one part. A peer that reads nothing
	// for so long is unreachable, and the writer holds up all others of its
	// connection.
	writeTimeout = 500 * time.Millisecond
	// writePart is what a link of 10 Mbit/s carries within writeTimeout while
	// a dozen others use it.
	writePart = 32 << 10
)

// WithWriteTimeout returns the connection with a bound on the writing of each part.
func WithWriteTimeout(conn net.Conn) net.Conn { return boundedConn{conn} }

type boundedConn struct{ net.Conn }

// Write writes p part by part or fails in time.
func (c boundedConn) Write(p []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(p, writePart) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// keep stores a new connection unless another one was stored meanwhile.
func (c *Pool) keep(to Endpoint, client *rpc.Client) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.open[to]; ok {
		client.Close()
		return other
	}
	c.open[to] = client
	return client
}

// drop closes a connection, which ends all its calls.
func (c *Pool) drop(to Endpoint, client *rpc.Client) {
	c.mu.Lock()
	if c.open[to] == client {
		delete(c.open, to)
	}
	c.mu.Unlock()
	client.Close()
}

// CloseAddress closes all connections to an address.
func (c *Pool) CloseAddress(addr mangomodel.Address) {
	for _, l := range []Lane{LaneControl, LaneAdmission} {
		to := Endpoint{addr, l}
		c.mu.Lock()
		client, ok := c.open[to]
		c.mu.Unlock()
		if ok {
			c.drop(to, client)
		}
	}
}

// UnreachableFault returns the fault for a daemon that cannot be reached.
func UnreachableFault(step mangomodel.Step, addr mangomodel.Address, run mangomodel.Run, err error) error {
	return mangomodel.NewFault(step, mangomodel.PeerName(addr), mangomodel.CodeUnavailable, run, err)
}
