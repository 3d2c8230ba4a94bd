package mangopeer

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"mangolane/core/mangoagent"
	"mangolane/core/mangocommand"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoquery"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangoconn"
	"mangolane/mangolaned/mangotrace"
)

// reachTimeout bounds a probe on behalf of another daemon.
const reachTimeout = 400 * time.Millisecond

// Control is the daemon's control state.
type Control interface {
	Do(ctx context.Context, cmd mangocommand.Command) error
	Snapshot() *mangoquery.Snapshot
}

// Tracer records a span for each hop.
type Tracer interface {
	Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error))
}

// Server serves the calls of other daemons.
type Server struct{ rpc *rpc.Server }

// ServerOption configures a Server.
type ServerOption func(*Command)

// WithPanicObserver sets the observer of panics. A panic then fails the one call in
// which it happens; without an observer it ends the process.
func WithPanicObserver(o mangopanic.Observer) ServerOption { return func(c *Command) { c.panics = o } }

// NewServer returns a server over a daemon's control state.
func NewServer(control Control, peers *Peers, follower *mangoagent.Follower, tracer Tracer, opts ...ServerOption) *Server {
	s := &Server{rpc: rpc.NewServer()}
	command := &Command{control: control, peers: peers, follower: follower, tracer: tracer, panics: mangopanic.Rethrow{}}
	for _, opt := range opts {
		opt(command)
	}
	// Registration fails only for a type without suitable methods.
	must(s.rpc.RegisterName("Command", command))
	must(s.rpc.RegisterName("Query", &Query{control, peers, command.panics}))
	return s
}

// Serve serves until the listener is closed.
func (s *Server) Serve(l net.Listener, opts ...mangoconn.ServeOption) error {
	return mangoconn.Serve(l, func(conn net.Conn) { s.rpc.ServeConn(conn) }, opts...)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Command serves the calls that change the control state.
type Command struct {
	control  Control
	peers    *Peers
	follower *mangoagent.Follower
	tracer   Tracer
	panics   mangopanic.Observer
}

// Probe applies the exchange message of a daemon and replies with this daemon's.
func (c *Command) Probe(args ProbeArgs, reply *ProbeReply) (err error) {
	defer mangopanic.CatchError(c.panics, "Probe", &err)
	ctx := context.Background()
	sender := mangomember.Member{}
	if len(args.News.Members) > 0 {
		sender = args.News.Members[0]
	}
	reply.News = mangoagent.NewExchangeMessage(c.control, sender)
	if err := mangoagent.ApplyMessage(ctx, c.control, c.follower, args.News); err != nil {
		return err
	}
	return c.control.Do(ctx, mangocommand.MarkSent{Members: reply.News.Members})
}

// Acquire requests a grant from this daemon's scheduler, or forwards the demand
// to the owner of the shard.
func (c *Command) Acquire(args AcquireArgs, reply *AcquireReply) (err error) {
	defer mangopanic.CatchError(c.panics, "Acquire", &err)
	ctx, cancel := context.WithTimeout(mangotrace.Extract(context.Background(), args.Trace), args.Timeout)
	defer cancel()
	ctx, end := c.tracer.Start(ctx, mangomodel.StepAdmission, mangomodel.PeerName(args.Shard.String()))
	grant, err := c.acquire(ctx, args)
	end(err)
	if err != nil {
		body := mangowire.FaultBodyOf(mangomodel.AsFault(err, mangomodel.StepAdmission))
		reply.Fault = &body
		return nil
	}
	*reply = replyOf(grant)
	return nil
}

func (c *Command) acquire(ctx context.Context, args AcquireArgs) (mangomodel.Grant, error) {
	if owner, ok := c.otherOwner(args.Shard, args.Forwarded); ok {
		args.Forwarded = true
		args.Trace = mangotrace.Inject(ctx)
		return c.peers.acquire(ctx, owner, args)
	}
	args.Demand.Sequence.Holder = args.Demand.Grant.Holder
	if err := c.control.Do(ctx, mangocommand.Acquire{Shard: args.Shard, Demand: args.Demand}); err != nil {
		return mangomodel.Grant{}, err
	}
	grant, ok := c.control.Snapshot().Grant(args.Demand.Grant)
	if !ok {
		return grant, mangomodel.Faultf(mangomodel.StepAdmission, mangomodel.PeerName(args.Shard.String()),
			mangomodel.CodeUnavailable, mangomodel.RunNot, "the grant ended before it was used")
	}
	return grant, nil
}

// Release releases a grant or withdraws a demand, here or at the owner of the
// shard.
func (c *Command) Release(args ReleaseArgs, reply *ReleaseReply) (err error) {
	defer mangopanic.CatchError(c.panics, "Release", &err)
	ctx, cancel := context.WithTimeout(mangotrace.Extract(context.Background(), args.Trace), releaseTimeout)
	defer cancel()
	if err := c.release(ctx, args); err != nil {
		body := mangowire.FaultBodyOf(mangomodel.AsFault(err, mangomodel.StepRelease))
		reply.Fault = &body
	}
	return nil
}

func (c *Command) release(ctx context.Context, args ReleaseArgs) error {
	if owner, ok := c.otherOwner(args.Shard, args.Forwarded); ok {
		args.Forwarded = true
		return c.peers.release(ctx, owner, args)
	}
	if args.Withdraw {
		return c.control.Do(ctx, mangocommand.Withdraw{Grant: args.Grant})
	}
	return c.control.Do(ctx, mangocommand.Release{Grant: args.Grant, Usage: args.Usage})
}

// Renew renews a holder's grants. Those of shards that other daemons schedule
// are forwarded to them, since a holder in another data centre has recorded only
// some members of this one.
func (c *Command) Renew(args RenewArgs, reply *RenewReply) (err error) {
	defer mangopanic.CatchError(c.panics, "Renew", &err)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	shardOf := func(l mangomodel.ShardGrants) mangomodel.ShardID { return l.Shard }
	local, others := splitByOwner(c, args.Lists, args.Forwarded, shardOf)
	for owner, lists := range others {
		forward := RenewArgs{Holder: args.Holder, Lists: lists, Forwarded: true}
		var ownerReply RenewReply
		// After a lost renewal the holder's next one renews the grants.
		if c.peers.callControl(ctx, owner, mangomodel.StepRelease, methodRenew, forward, &ownerReply) == nil {
			reply.Unknown = append(reply.Unknown, ownerReply.Unknown...)
		}
	}
	if err := c.control.Do(ctx, mangocommand.Renew{Holder: args.Holder, Lists: local}); err != nil {
		return err
	}
	reply.Unknown = append(reply.Unknown, c.control.Snapshot().UnknownGrants(args.Holder, local)...)
	return nil
}

// Adopt takes over grants, or forwards them to the owners of their shards.
func (c *Command) Adopt(args AdoptArgs, _ *Empty) (err error) {
	defer mangopanic.CatchError(c.panics, "Adopt", &err)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	local, others := splitByOwner(c, args.Grants, args.Forwarded, func(g mangomodel.Grant) mangomodel.ShardID { return g.Shard })
	for owner, grants := range others {
		// After a lost transfer the holder's next renewal leads to a retry.
		_ = c.peers.callControl(ctx, owner, mangomodel.StepRelease, methodAdopt, AdoptArgs{Grants: grants, Forwarded: true}, &Empty{})
	}
	return c.control.Do(ctx, mangocommand.Adopt{Grants: local})
}

// splitByOwner returns the items of the shards that this daemon schedules, and
// those of other owners by the owner's address.
func splitByOwner[T any](c *Command, items []T, forwarded bool, shardOf func(T) mangomodel.ShardID) ([]T, map[mangomodel.Address][]T) {
	var local []T
	others := make(map[mangomodel.Address][]T)
	for _, item := range items {
		if owner, ok := c.otherOwner(shardOf(item), forwarded); ok {
			others[owner.Address] = append(others[owner.Address], item)
			continue
		}
		local = append(local, item)
	}
	return local, others
}

// otherOwner returns the owner of a shard if it is another daemon of the own data
// centre and the message was not forwarded before.
func (c *Command) otherOwner(shard mangomodel.ShardID, forwarded bool) (mangomember.Member, bool) {
	snap := c.control.Snapshot()
	owner, ok := snap.Owner(shard)
	return owner, ok && !forwarded && shard.DataCentre == snap.Self.DataCentre && owner.Daemon != snap.Self.Daemon
}

// Query serves the calls that only read.
type Query struct {
	control Control
	peers   *Peers
	panics  mangopanic.Observer
}

// Ping returns an empty reply, which shows that the daemon is reachable.
func (q *Query) Ping(_ Empty, _ *Empty) error { return nil }

// Reach probes a daemon on behalf of another one.
func (q *Query) Reach(args ReachArgs, reply *ReachReply) (err error) {
	defer mangopanic.CatchError(q.panics, "Reach", &err)
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	_, reached := q.peers.Probe(ctx, args.Target, mangoagent.ExchangeMessage{})
	reply.Reached = reached == nil
	return nil
}

// Changes returns the changes after a revision that this daemon keeps.
func (q *Query) Changes(args ChangesArgs, reply *ChangesReply) (err error) {
	defer mangopanic.CatchError(q.panics, "Changes", &err)
	reply.Changes, reply.Known = q.control.Snapshot().ChangesAfter(args.After)
	return nil
}

// Catalog returns all active documents.
func (q *Query) Catalog(_ Empty, reply *CatalogReply) (err error) {
	defer mangopanic.CatchError(q.panics, "Catalog", &err)
	reply.Documents = q.control.Snapshot().Catalog.Documents()
	return nil
}
