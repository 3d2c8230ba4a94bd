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
	// acquireSlack is added to a demand's patience before its scheduler
	// counts as unreachable.
	acquireSlack = 500 * time.Millisecond
	// watchInterval is the pause between two checks of a daemon that a call
	// waits for, and pingTimeout bounds a check.
	watchInterval = 150 * time.Millisecond
	pingTimeout   = 200 * time.Millisecond
	// releaseTimeout bounds the giving back of a grant.
	releaseTimeout = 2 * time.Second
)

// Peers makes calls to other daemons.
type Peers struct{ connections *mangoconn.Pool }

// Option configures Peers.
type Option func(*Peers)

// WithDial sets how connections are made; the default is TCP.
func WithDial(d mangoconn.Dial) Option { return func(p *Peers) { p.connections = mangoconn.New(d) } }

// NewPeers returns Peers without connections.
func NewPeers(opts ...Option) *Peers {
	p := &Peers{connections: mangoconn.New(mangoconn.TCP)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Probe exchanges news with a daemon. A failure closes all connections to it.
func (p *Peers) Probe(ctx context.Context, to mangomember.Member, msg mangoagent.ExchangeMessage) (mangoagent.ExchangeMessage, error) {
	var reply ProbeReply
	err := p.control(ctx, to.Address, mangomodel.StepProbe, methodProbe, ProbeArgs{News: msg}, &reply)
	if err != nil {
		p.connections.CloseAddress(to.Address)
		return mangoagent.ExchangeMessage{}, err
	}
	return reply.News, nil
}

// Notify exchanges news outside of the probing.
func (p *Peers) Notify(ctx context.Context, to mangomember.Member, msg mangoagent.ExchangeMessage) (mangoagent.ExchangeMessage, error) {
	return p.Probe(ctx, to, msg)
}

// ProbeThrough asks a helper to probe a target.
func (p *Peers) ProbeThrough(ctx context.Context, helper, target mangomember.Member) error {
	var reply ReachReply
	if err := p.control(ctx, helper.Address, mangomodel.StepProbe, methodReach, ReachArgs{Target: target}, &reply); err != nil {
		return err
	}
	if !reply.Reached {
		return mangomodel.Faultf(mangomodel.StepProbe, mangomodel.PeerName(target.Daemon),
			mangomodel.CodeUnavailable, mangomodel.RunUnknown, "helper %s does not reach it", helper.Daemon)
	}
	return nil
}

// ChangesAfter returns the changes that a daemon remembers after a revision.
func (p *Peers) ChangesAfter(ctx context.Context, from mangomember.Member, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error) {
	var reply ChangesReply
	if err := p.control(ctx, from.Address, mangomodel.StepConfigure, methodChanges, ChangesArgs{After: rev}, &reply); err != nil {
		return nil, err
	}
	if !reply.Known {
		return nil, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(from.Daemon),
			mangomodel.CodeNotFound, mangomodel.RunNot, "the changes after %d are no longer there", rev)
	}
	return reply.Changes, nil
}

// Catalog returns all documents in force at a daemon.
func (p *Peers) Catalog(ctx context.Context, from mangomember.Member) (mangoconfig.Documents, error) {
	var reply CatalogReply
	if err := p.control(ctx, from.Address, mangomodel.StepConfigure, methodCatalog, Empty{}, &reply); err != nil {
		return mangoconfig.Documents{}, err
	}
	return reply.Documents, nil
}

// Renew names the grants that a holder holds of a scheduler.
func (p *Peers) Renew(ctx context.Context, scheduler mangomember.Member, holder mangomodel.Holder, lists []mangomodel.ShardGrants) ([]uint64, error) {
	var reply RenewReply
	args := RenewArgs{Holder: holder, Lists: lists}
	if err := p.control(ctx, scheduler.Address, mangomodel.StepRelease, methodRenew, args, &reply); err != nil {
		return nil, err
	}
	return reply.Unknown, nil
}

// Adopt hands grants to a scheduler that does not know them.
func (p *Peers) Adopt(ctx context.Context, scheduler mangomember.Member, grants []mangomodel.Grant) error {
	return p.control(ctx, scheduler.Address, mangomodel.StepRelease, methodAdopt, AdoptArgs{Grants: grants}, &Empty{})
}

// Acquire asks a daemon for a grant. When the caller gives up, the demand is
// withdrawn.
func (p *Peers) Acquire(ctx context.Context, owner mangomember.Member, shard mangomodel.ShardID, d mangomodel.Demand) (mangomodel.Grant, error) {
	d.Sequence.Holder = mangomodel.Holder{}
	args := AcquireArgs{Trace: mangotrace.Inject(ctx), Shard: shard, Demand: d, Timeout: d.Patience + acquireSlack}
	return p.acquire(ctx, owner, args)
}

func (p *Peers) acquire(ctx context.Context, owner mangomember.Member, args AcquireArgs) (mangomodel.Grant, error) {
	callCtx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	go p.watch(callCtx, owner)
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

// watch checks that a daemon is there while a call to it waits for a grant,
// and closes the connections to it if not, which ends the call.
func (p *Peers) watch(ctx context.Context, owner mangomember.Member) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := p.control(pingCtx, owner.Address, mangomodel.StepProbe, methodPing, Empty{}, &Empty{})
		cancel()
		if err != nil && ctx.Err() == nil {
			p.connections.CloseAddress(owner.Address)
			return
		}
	}
}

// withdraw gives up a demand whose fate is open.
func (p *Peers) withdraw(ctx context.Context, owner mangomember.Member, args AcquireArgs) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		// A lost withdrawal is made up for by the next renewal.
		_ = p.release(ctx, owner, ReleaseArgs{Grant: args.Demand.Grant, Shard: args.Shard, Withdraw: true})
	}()
}

// Release gives a grant back.
func (p *Peers) Release(ctx context.Context, owner mangomember.Member, grant mangomodel.Grant, u mangomodel.Usage) error {
	return p.release(ctx, owner, ReleaseArgs{Trace: mangotrace.Inject(ctx), Grant: grant.ID, Shard: grant.Shard, Usage: u})
}

func (p *Peers) release(ctx context.Context, owner mangomember.Member, args ReleaseArgs) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var reply ReleaseReply
	if err := p.control(ctx, owner.Address, mangomodel.StepRelease, methodRelease, args, &reply); err != nil {
		return err
	}
	if reply.Fault != nil {
		return reply.Fault.Fault()
	}
	return nil
}

func (p *Peers) control(ctx context.Context, addr mangomodel.Address, step mangomodel.Step, method string, args, reply any) error {
	return p.connections.Call(ctx, mangoconn.Endpoint{Address: addr, Lane: mangoconn.LaneControl}, step, method, args, reply)
}
