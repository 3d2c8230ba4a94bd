package mangopeer

import (
	"context"
	"time"

	"mangolane/core/mangoagent"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/mangolaned/mangoconn"
	"mangolane/mangolaned/mangotrace"
)

const (
	// acquireSlack is added to the wait limit of a demand to get the timeout
	// after which its scheduler counts as unreachable.
	acquireSlack = 500 * time.Millisecond
	// watchInterval is the pause between two pings of a daemon during a call
	// to it, and pingTimeout bounds a ping.
	watchInterval = 150 * time.Millisecond
	pingTimeout   = 200 * time.Millisecond
	// releaseTimeout bounds the release, renewal or transfer of grants.
	releaseTimeout = 2 * time.Second
)

// Peers makes calls to other daemons.
type Peers struct{ connections *mangoconn.Pool }

// Option configures Peers.
type Option func(*Peers)

// WithDial sets the function that opens connections; the default dials TCP.
func WithDial(d mangoconn.Dial) Option { return func(p *Peers) { p.connections = mangoconn.New(d) } }

// NewPeers returns Peers without connections.
func NewPeers(opts ...Option) *Peers {
	p := &Peers{connections: mangoconn.New(mangoconn.TCP)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Probe performs a state exchange with a daemon. A failure closes the control and
// admission connections to it, which cancels their calls.
func (p *Peers) Probe(ctx context.Context, to mangomember.Member, msg mangoagent.ExchangeMessage) (mangoagent.ExchangeMessage, error) {
	var reply ProbeReply
	err := p.callControl(ctx, to.Address, mangomodel.StepProbe, methodProbe, ProbeArgs{News: msg}, &reply)
	if err != nil {
		p.connections.CloseAddress(to.Address)
		return mangoagent.ExchangeMessage{}, err
	}
	return reply.News, nil
}

// Notify performs a state exchange outside of the regular probes.
func (p *Peers) Notify(ctx context.Context, to mangomember.Member, msg mangoagent.ExchangeMessage) (mangoagent.ExchangeMessage, error) {
	return p.Probe(ctx, to, msg)
}

// ProbeThrough requests that a helper probe a target.
func (p *Peers) ProbeThrough(ctx context.Context, helper, target mangomember.Member) error {
	var reply ReachReply
	if err := p.callControl(ctx, helper.Address, mangomodel.StepProbe, methodReach, ReachArgs{Target: target}, &reply); err != nil {
		return err
	}
	if !reply.Reached {
		return mangomodel.Faultf(mangomodel.StepProbe, mangomodel.PeerName(target.Daemon),
			mangomodel.CodeUnavailable, mangomodel.RunUnknown, "helper %s did not reach the target", helper.Daemon)
	}
	return nil
}

// ChangesAfter returns the changes after a revision that a daemon keeps. It
// fails with CodeNotFound if the daemon does not have them all.
func (p *Peers) ChangesAfter(ctx context.Context, from mangomember.Member, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error) {
	var reply ChangesReply
	if err := p.callControl(ctx, from.Address, mangomodel.StepConfigure, methodChanges, ChangesArgs{After: rev}, &reply); err != nil {
		return nil, err
	}
	if !reply.Known {
		return nil, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(from.Daemon),
			mangomodel.CodeNotFound, mangomodel.RunNot, "the changes after revision %d are no longer available", rev)
	}
	return reply.Changes, nil
}

// Catalog returns all documents that are active at a daemon.
func (p *Peers) Catalog(ctx context.Context, from mangomember.Member) (mangoconfig.Documents, error) {
	var reply CatalogReply
	if err := p.callControl(ctx, from.Address, mangomodel.StepConfigure, methodCatalog, Empty{}, &reply); err != nil {
		return mangoconfig.Documents{}, err
	}
	return reply.Documents, nil
}

// Renew renews all grants that a holder has from a scheduler. It returns the
// numbers of the grants that the scheduler has not recorded.
func (p *Peers) Renew(ctx context.Context, scheduler mangomember.Member, holder mangomodel.Holder, lists []mangomodel.ShardGrants) ([]uint64, error) {
	var reply RenewReply
	args := RenewArgs{Holder: holder, Lists: lists}
	if err := p.callControl(ctx, scheduler.Address, mangomodel.StepRelease, methodRenew, args, &reply); err != nil {
		return nil, err
	}
	return reply.Unknown, nil
}

// Adopt transfers grants to a scheduler that has not recorded them.
func (p *Peers) Adopt(ctx context.Context, scheduler mangomember.Member, grants []mangomodel.Grant) error {
	return p.callControl(ctx, scheduler.Address, mangomodel.StepRelease, methodAdopt, AdoptArgs{Grants: grants}, &Empty{})
}

// Acquire requests a grant from a daemon. If the call fails or is cancelled, the
// demand is withdrawn. One whose wait limit has passed is decided at once there.
func (p *Peers) Acquire(ctx context.Context, owner mangomember.Member, shard mangomodel.ShardID, d mangomodel.Demand) (mangomodel.Grant, error) {
	d.Sequence.Holder = mangomodel.Holder{}
	args := AcquireArgs{Trace: mangotrace.Inject(ctx), Shard: shard, Demand: d, Timeout: max(d.Patience, 0) + acquireSlack}
	return p.acquire(ctx, owner, args)
}

func (p *Peers) acquire(ctx context.Context, owner mangomember.Member, args AcquireArgs) (mangomodel.Grant, error) {
	callCtx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	go p.watchOwner(callCtx, owner)
	var reply AcquireReply
	to := mangoconn.Endpoint{Address: owner.Address, Lane: mangoconn.LaneAdmission}
	if err := p.connections.Call(callCtx, to, mangomodel.StepProbe, methodAcquire, args, &reply); err != nil {
		p.withdraw(ctx, owner, args)
		return mangomodel.Grant{}, err
	}
	if reply.Fault != nil {
		return mangomodel.Grant{}, reply.Fault.Fault()
	}
	return reply.grant(args), nil
}

// watchOwner pings a daemon until ctx ends, while a call to it waits for a grant.
// If a ping fails, it closes the connections to the daemon, which ends the call.
func (p *Peers) watchOwner(ctx context.Context, owner mangomember.Member) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := p.callControl(pingCtx, owner.Address, mangomodel.StepProbe, methodPing, Empty{}, &Empty{})
		cancel()
		if err != nil && ctx.Err() == nil {
			p.connections.CloseAddress(owner.Address)
			return
		}
	}
}

// withdraw withdraws a demand whose outcome is unknown.
func (p *Peers) withdraw(ctx context.Context, owner mangomember.Member, args AcquireArgs) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		// After a lost withdrawal the scheduler frees the grant at the next
		// renewal, which does not list it.
		_ = p.release(ctx, owner, ReleaseArgs{Grant: args.Demand.Grant, Shard: args.Shard, Withdraw: true})
	}()
}

// Release releases a grant.
func (p *Peers) Release(ctx context.Context, owner mangomember.Member, grant mangomodel.Grant, u mangomodel.Usage) error {
	return p.release(ctx, owner, ReleaseArgs{Trace: mangotrace.Inject(ctx), Grant: grant.ID, Shard: grant.Shard, Usage: u})
}

func (p *Peers) release(ctx context.Context, owner mangomember.Member, args ReleaseArgs) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var reply ReleaseReply
	if err := p.callControl(ctx, owner.Address, mangomodel.StepRelease, methodRelease, args, &reply); err != nil {
		return err
	}
	if reply.Fault != nil {
		return reply.Fault.Fault()
	}
	return nil
}

func (p *Peers) callControl(ctx context.Context, addr mangomodel.Address, step mangomodel.Step, method string, args, reply any) error {
	return p.connections.Call(ctx, mangoconn.Endpoint{Address: addr, Lane: mangoconn.LaneControl}, step, method, args, reply)
}
