package mangopeer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"mangolane/core/mangoagent"
	"mangolane/core/mangocommand"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangotrace"
)

// reachTimeout bounds a probe for another daemon.
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

// NewServer returns a server over a daemon's control state.
func NewServer(control Control, peers *Peers, follower *mangoagent.Follower, tracer Tracer) *Server {
	s := &Server{rpc: rpc.NewServer()}
	// Registering fails only for a type without suitable methods.
	must(s.rpc.RegisterName("Command", &Command{control, peers, follower, tracer}))
	must(s.rpc.RegisterName("Query", &Query{control, peers}))
	return s
}

// Serve serves until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return mangomodel.Errors.Wrap(err)
		}
		go s.rpc.ServeConn(conn)
	}
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
}

// Probe takes in a daemon's news and answers with this daemon's.
func (c *Command) Probe(args ProbeArgs, reply *ProbeReply) error {
	ctx := context.Background()
	sender := mangomember.Member{}
	if len(args.News.Members) > 0 {
		sender = args.News.Members[0]
	}
	reply.News = mangoagent.Compose(c.control, sender)
	if err := mangoagent.Take(ctx, c.control, c.follower, args.News); err != nil {
		return err
	}
	return c.control.Do(ctx, mangocommand.Spread{Members: reply.News.Members})
}

// Acquire asks this daemon's scheduler for a grant, or passes the demand on
// to the owner of the shard.
func (c *Command) Acquire(args AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(mangotrace.Extract(context.Background(), args.Trace), args.Timeout)
	defer cancel()
	ctx, end := c.tracer.Start(ctx, mangomodel.StepAdmission, mangomodel.PeerName(args.Shard.String()))
	grant, err := c.acquire(ctx, args)
	end(err)
	if err != nil {
		body := mangowire.FaultBodyOf(mangomodel.AsFault(err, mangomodel.StepAdmission))
		reply.Fault = &body
	}
	reply.Grant = grant
	return nil
}

func (c *Command) acquire(ctx context.Context, args AcquireArgs) (mangomodel.Grant, error) {
	if owner, ok := c.elsewhere(args.Shard, args.Forwarded); ok {
		args.Forwarded = true
		args.Trace = mangotrace.Inject(ctx)
		return c.peers.acquire(ctx, owner, args)
	}
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

// Release ends a grant or a demand.
func (c *Command) Release(args ReleaseArgs, _ *Empty) error {
	ctx, cancel := context.WithTimeout(mangotrace.Extract(context.Background(), args.Trace), releaseTimeout)
	defer cancel()
	if owner, ok := c.elsewhere(args.Shard, args.Forwarded); ok {
		args.Forwarded = true
		return c.peers.release(ctx, owner, args)
	}
	if args.Withdraw {
		return c.control.Do(ctx, mangocommand.Withdraw{Grant: args.Grant})
	}
	return c.control.Do(ctx, mangocommand.Release{Grant: args.Grant, Usage: args.Usage})
}

// Renew renews a holder's grants. Those of shards that other daemons schedule
// are passed on, since a holder in another data centre knows contacts only.
func (c *Command) Renew(args RenewArgs, _ *Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	here, elsewhere := c.split(args)
	for owner, grants := range elsewhere {
		to, ok := c.control.Snapshot().Member(owner)
		if ok {
			onward := RenewArgs{Holder: args.Holder, Grants: grants, Forwarded: true}
			// A lost renewal is made up for by the next one.
			_ = c.peers.control(ctx, to.Address, mangomodel.StepRelease, methodRenew, onward, &Empty{})
		}
	}
	return c.control.Do(ctx, mangocommand.Renew{Holder: args.Holder, Grants: here})
}

// split groups grants into those scheduled here and those of other owners.
func (c *Command) split(args RenewArgs) ([]mangomodel.Grant, map[mangomodel.DaemonID][]mangomodel.Grant) {
	var here []mangomodel.Grant
	elsewhere := make(map[mangomodel.DaemonID][]mangomodel.Grant)
	for _, g := range args.Grants {
		if owner, ok := c.elsewhere(g.Shard, args.Forwarded); ok {
			elsewhere[owner.Daemon] = append(elsewhere[owner.Daemon], g)
			continue
		}
		here = append(here, g)
	}
	return here, elsewhere
}

// elsewhere returns the owner of a shard if it is another daemon and the
// message was not passed on before.
func (c *Command) elsewhere(shard mangomodel.ShardID, forwarded bool) (mangomember.Member, bool) {
	snap := c.control.Snapshot()
	owner, ok := snap.Owner(shard)
	return owner, ok && !forwarded && shard.DataCentre == snap.Self.DataCentre && owner.Daemon != snap.Self.Daemon
}

// Query serves the calls that only read.
type Query struct {
	control Control
	peers   *Peers
}

// Reach probes a daemon for another one.
func (q *Query) Reach(args ReachArgs, reply *ReachReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	_, err := q.peers.Probe(ctx, args.Target, mangoagent.News{})
	reply.Reached = err == nil
	return nil
}

// Changes returns the remembered changes after a revision.
func (q *Query) Changes(args ChangesArgs, reply *ChangesReply) error {
	reply.Changes, reply.Known = q.control.Snapshot().ChangesAfter(args.After)
	return nil
}

// Catalog returns all documents in force.
func (q *Query) Catalog(_ Empty, reply *CatalogReply) error {
	reply.Documents = q.control.Snapshot().Catalog.Documents()
	return nil
}
