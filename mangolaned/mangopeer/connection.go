package mangopeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"mangolane/core/mangomodel"
)

// dialTimeout bounds the making of a connection.
const dialTimeout = time.Second

// lane separates calls that are answered at once from those that may wait for
// a grant, so that neither hides that the other's connection is silent.
type lane int

const (
	laneControl lane = iota
	laneAdmission
)

// endpoint names one connection.
type endpoint struct {
	addr mangomodel.Address
	lane lane
}

// Dial makes a connection to a daemon.
type Dial func(ctx context.Context, addr mangomodel.Address) (net.Conn, error)

func dialTCP(ctx context.Context, addr mangomodel.Address) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", string(addr))
}

// connections holds one connection to each endpoint. It is a connection pool
// and holds no control state, so a lock guards it.
type connections struct {
	dial Dial
	mu   sync.Mutex
	open map[endpoint]*rpc.Client
}

// call makes one call. When ctx ends first, the connection is closed if it
// is due to answer at once. After an error the reply must not be touched, since
// a late answer may still be written into it.
func (c *connections) call(ctx context.Context, to endpoint, step mangomodel.Step, method string, args, reply any) error {
	client, err := c.get(ctx, to)
	if err != nil {
		return unreachable(step, to.addr, mangomodel.RunNot, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.drop(to, client)
			return unreachable(step, to.addr, mangomodel.RunUnknown, call.Error)
		}
		return nil
	case <-ctx.Done():
		if to.lane == laneControl {
			c.drop(to, client)
		}
		return unreachable(step, to.addr, mangomodel.RunUnknown, context.Cause(ctx))
	}
}

// get returns the open connection or makes one. Dialling happens without the
// lock, so that an unreachable peer holds nobody up.
func (c *connections) get(ctx context.Context, to endpoint) (*rpc.Client, error) {
	c.mu.Lock()
	client, ok := c.open[to]
	c.mu.Unlock()
	if ok {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, to.addr)
	if err != nil {
		return nil, err
	}
	return c.keep(to, rpc.NewClient(conn)), nil
}

// keep stores a new connection unless another one was stored meanwhile.
func (c *connections) keep(to endpoint, client *rpc.Client) *rpc.Client {
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
func (c *connections) drop(to endpoint, client *rpc.Client) {
	c.mu.Lock()
	if c.open[to] == client {
		delete(c.open, to)
	}
	c.mu.Unlock()
	client.Close()
}

// dropAll closes all connections to an address.
func (c *connections) dropAll(addr mangomodel.Address) {
	for _, l := range []lane{laneControl, laneAdmission} {
		to := endpoint{addr, l}
		c.mu.Lock()
		client, ok := c.open[to]
		c.mu.Unlock()
		if ok {
			c.drop(to, client)
		}
	}
}

func unreachable(step mangomodel.Step, addr mangomodel.Address, run mangomodel.Run, err error) error {
	return mangomodel.NewFault(step, mangomodel.PeerName(addr), mangomodel.CodeUnavailable, run, err)
}
