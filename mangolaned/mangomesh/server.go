package mangomesh

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangoconn"
)

// commandTimeout bounds a command that completes without waiting.
const commandTimeout = time.Second

// Fleet is the control state of this daemon.
type Fleet interface {
	Do(ctx context.Context, cmd mangofleet.Command) error
	View() *mangofleet.View
}

// Broker applies exchange messages and returns snapshots.
type Broker interface {
	Receive(ctx context.Context, msg mangobroker.ExchangeMessage) (mangobroker.ExchangeMessage, error)
	Snapshot(version mangobroker.StateVersion) mangobroker.Snapshot
}

// Server serves calls from other daemons.
type Server struct{ rpc *rpc.Server }

// NewServer returns a Server that is not listening yet. A panic in a call fails that
// call and is reported to o.
func NewServer(fleet Fleet, broker Broker, o mangopanic.Observer) (*Server, error) {
	s := &Server{rpc: rpc.NewServer()}
	if err := s.rpc.RegisterName("Command", &Command{fleet, broker, o}); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	if err := s.rpc.RegisterName("Query", &Query{broker: broker, observer: o}); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	return s, nil
}

// Serve serves until the listener is closed.
func (s *Server) Serve(l net.Listener, opts ...mangoconn.ServeOption) error {
	return mangoconn.Serve(l, func(conn net.Conn) { s.rpc.ServeConn(conn) }, opts...)
}

// Command serves the calls that change the control state.
type Command struct {
	fleet    Fleet
	broker   Broker
	observer mangopanic.Observer
}

// Acquire acquires a lease from this daemon.
func (c *Command) Acquire(args AcquireArgs, reply *AcquireReply) (err error) {
	defer mangopanic.CatchError(c.observer, methodAcquire, &err)
	ctx, cancel := context.WithTimeout(context.Background(), max(args.Demand.Patience, 0)+commandTimeout)
	defer cancel()
	if err := c.fleet.Do(ctx, mangofleet.Acquire{Lease: args.ID, Demand: args.Demand}); err != nil {
		fault := *mangomodel.AsFault(err, mangomodel.StepAdmission)
		if ctx.Err() != nil {
			// Only the daemon that holds the call knows whether its client has left.
			fault.Code = mangomodel.CodeOverloaded
		}
		body := mangowire.FaultBodyOf(&fault)
		reply.Fault = &body
		return nil
	}
	reply.Lease, _ = c.fleet.View().Lease(args.ID)
	return nil
}

// Release releases a lease.
func (c *Command) Release(r mangofleet.Release, _ *Empty) error {
	return c.do(r)
}

// PrefillDone frees the prefill server of a lease.
func (c *Command) PrefillDone(args PrefillDoneArgs, _ *Empty) error {
	return c.do(mangofleet.PrefillDone{Lease: args.ID, Took: args.Took})
}

// AskQuota grants the costs of calls that wait at another daemon, or tells when they
// should return.
func (c *Command) AskQuota(ask mangofleet.QuotaAsk, reply *AskQuotaReply) (err error) {
	defer mangopanic.CatchError(c.observer, methodAskQuota, &err)
	if err := c.do(mangofleet.GrantQuota{Ask: ask}); err != nil {
		return err
	}
	if r := c.fleet.View().QuotaReply(ask.Holder); r.Number == ask.Number {
		reply.Answers = r.Answers
	}
	return nil
}

// Exchange applies an exchange message of another daemon and replies with one.
func (c *Command) Exchange(msg mangobroker.ExchangeMessage, reply *mangobroker.ExchangeMessage) (err error) {
	defer mangopanic.CatchError(c.observer, methodExchange, &err)
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	*reply, err = c.broker.Receive(ctx, msg)
	return err
}

func (c *Command) do(cmd mangofleet.Command) (err error) {
	defer mangopanic.CatchError(c.observer, "command of another daemon", &err)
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return c.fleet.Do(ctx, cmd)
}
