package mangoagent

import (
	"context"
	"math/rand/v2"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

const (
	// DefaultProbeInterval is the pause between two probes.
	DefaultProbeInterval = 500 * time.Millisecond
	// probeTimeout bounds a direct probe.
	probeTimeout = 300 * time.Millisecond
	// indirectTimeout bounds a probe through helpers.
	indirectTimeout = 700 * time.Millisecond
	// remoteTimeout bounds a probe of another data centre.
	remoteTimeout = time.Second
	// maxHelpers is how many helpers probe a target that does not respond.
	maxHelpers = 2
	// remoteEvery is the number of probe intervals between probes of other data
	// centres, of daemons that are recorded as dead and of seed addresses.
	remoteEvery = 4
)

// Prober determines which daemons are alive and exchanges state with them.
type Prober struct {
	control  Control
	probes   Probes
	follower *Follower
	interval time.Duration
	seeds    []mangomodel.Address
	rng      *rand.Rand
	// round holds the peers that remain to be probed in this round.
	round []mangomember.Member
	// turn counts the probe intervals.
	turn uint64
}

// ProberOption configures a Prober.
type ProberOption func(*Prober)

// WithProbeInterval sets the pause between two probes.
func WithProbeInterval(d time.Duration) ProberOption { return func(p *Prober) { p.interval = d } }

// WithSeeds sets addresses that are probed while no member has them.
func WithSeeds(addrs []mangomodel.Address) ProberOption { return func(p *Prober) { p.seeds = addrs } }

// WithRandomSeed sets the seed for the order of probes.
func WithRandomSeed(seed uint64) ProberOption {
	return func(p *Prober) { p.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// NewProber returns a Prober. It passes hints of newer configuration to the
// follower.
func NewProber(control Control, probes Probes, follower *Follower, opts ...ProberOption) *Prober {
	p := &Prober{
		control: control, probes: probes, follower: follower,
		interval: DefaultProbeInterval, rng: rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) { every(ctx, p.interval, p.probeNext) }

// probeNext probes the next peer of the round and, in every remoteEvery-th
// interval, the remote targets.
func (p *Prober) probeNext(ctx context.Context) {
	p.turn++
	if p.turn%remoteEvery == 1 {
		p.probeRemote(ctx, p.turn/remoteEvery)
	}
	target, ok := p.next()
	if !ok {
		return
	}
	if p.probe(ctx, target, probeTimeout) == nil || ctx.Err() != nil {
		return
	}
	if p.probeThroughHelpers(ctx, target) {
		return
	}
	// Fails only if ctx or the control goroutine has ended.
	_ = p.control.Do(ctx, mangocommand.ProbeFailed{Daemon: target.Daemon})
}

// next returns the next peer of the own data centre. A round covers each peer
// that is not recorded as dead once, in random order.
func (p *Prober) next() (mangomember.Member, bool) {
	snap := p.control.Snapshot()
	if len(p.round) == 0 {
		for _, m := range snap.Peers() {
			if m.State != mangomember.Dead {
				p.round = append(p.round, m)
			}
		}
		p.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	if len(p.round) == 0 {
		return mangomember.Member{}, false
	}
	target := p.round[0]
	p.round = p.round[1:]
	return target, true
}

// probeRemote probes daemons that the rounds do not cover: one daemon of each
// other data centre, one that is recorded as dead and may be reachable again,
// and a seed address that no member has yet.
func (p *Prober) probeRemote(ctx context.Context, turn uint64) {
	snap := p.control.Snapshot()
	targets := append(snap.RemoteTargets(turn), snap.RejoinCandidates(turn)...)
	if seed, ok := p.unknownSeed(turn); ok {
		targets = append(targets, mangomember.Member{Address: seed})
	}
	for _, target := range targets {
		go p.probeRemoteMember(ctx, target)
	}
}

// unknownSeed returns a seed address that no member has.
func (p *Prober) unknownSeed(turn uint64) (mangomodel.Address, bool) {
	snap := p.control.Snapshot()
	var unknown []mangomodel.Address
	for _, addr := range p.seeds {
		if !snap.HasAddress(addr) {
			unknown = append(unknown, addr)
		}
	}
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[turn%uint64(len(unknown))], true
}

// probeRemoteMember probes a target of probeRemote, without helpers.
func (p *Prober) probeRemoteMember(ctx context.Context, target mangomember.Member) {
	err := p.probe(ctx, target, remoteTimeout)
	if err != nil && target.Daemon != "" && ctx.Err() == nil {
		// Fails only if ctx or the control goroutine has ended.
		_ = p.control.Do(ctx, mangocommand.ProbeFailed{Daemon: target.Daemon})
	}
}

// probe performs a state exchange with one daemon.
func (p *Prober) probe(ctx context.Context, target mangomember.Member, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	msg := NewExchangeMessage(p.control, target)
	reply, err := p.probes.Probe(ctx, target, msg)
	if err != nil {
		return err
	}
	return p.HandleReply(ctx, msg, reply)
}

// HandleReply applies the reply to a probe and records the member updates that
// were sent.
func (p *Prober) HandleReply(ctx context.Context, sent, reply ExchangeMessage) error {
	if err := p.control.Do(ctx, mangocommand.MarkSent{Members: sent.Members}); err != nil {
		return err
	}
	return ApplyMessage(ctx, p.control, p.follower, reply)
}

func (p *Prober) probeThroughHelpers(ctx context.Context, target mangomember.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	peers := p.control.Snapshot().Peers()
	p.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	results := make(chan error, len(peers))
	sent := 0
	for _, helper := range peers {
		if sent < maxHelpers && helper.Daemon != target.Daemon && helper.State == mangomember.Alive {
			sent++
			go func() { results <- p.probes.ProbeThrough(ctx, helper, target) }()
		}
	}
	for range sent {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}

// NewExchangeMessage returns the exchange message for a daemon.
func NewExchangeMessage(control Control, to mangomember.Member) ExchangeMessage {
	snap := control.Snapshot()
	return ExchangeMessage{
		Members: snap.UpdatesFor(to), Suspicions: snap.SuspicionsToSend(), Revision: snap.Catalog.Revision(),
		Hosts: snap.HostList,
	}
}

// ApplyMessage turns an exchange message of another daemon into commands. The
// first member of the message is the sender.
func ApplyMessage(ctx context.Context, control Control, follower *Follower, msg ExchangeMessage) error {
	if len(msg.Members) > 0 {
		if err := control.Do(ctx, mangocommand.MergeMembers{Members: msg.Members}); err != nil {
			return err
		}
		follower.Hint(msg.Members[0], msg.Revision)
	}
	if len(msg.Suspicions) > 0 {
		if err := control.Do(ctx, mangocommand.MergeSuspicions{Suspicions: msg.Suspicions}); err != nil {
			return err
		}
	}
	if !msg.Hosts.At.After(control.Snapshot().HostList.At) {
		return nil
	}
	return control.Do(ctx, mangocommand.SetHostList{Reading: msg.Hosts})
}
