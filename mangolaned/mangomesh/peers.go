// Package mangomesh carries the calls between the daemons of a gateway over
// net/rpc: demands for slots, and the exchange of news.
//
// Each exchange applies commands at the receiver; the answer to a demand also
// carries what a query of the lease returns, which saves a round trip.
//
// # Usage
//
//	peers := mangomesh.NewPeers()
//	lease, err := peers.Acquire(ctx, member, id, demand)
//	go mangomesh.NewServer(fleet, broker).Serve(listener)
package mangomesh

import (
	"context"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangoconn"
)

// Names of the calls.
const (
	methodAcquire  = "Command.Acquire"
	methodRelease  = "Command.Release"
	methodPrefill  = "Command.PrefillDone"
	methodExchange = "Command.Exchange"
	methodSnapshot = "Query.Snapshot"
)

// acquireSlack is added to a demand's patience before its scheduler counts as
// unreachable.
const acquireSlack = 500 * time.Millisecond

// AcquireArgs is a demand.
type AcquireArgs struct {
	ID     mangolease.ID
	Demand mangolease.Demand
}

// AcquireReply is the granted lease, or why there is none.
type AcquireReply struct {
	Lease mangolease.Lease
	Fault *mangowire.FaultBody
}

// PrefillDoneArgs says how long a prefill took.
type PrefillDoneArgs struct {
	ID   mangolease.ID
	Took time.Duration
}

// Empty is an answer that says nothing.
type Empty struct{}

// Peers makes calls to other daemons.
type Peers struct{ pool *mangoconn.Pool }

// NewPeers returns Peers without connections.
func NewPeers() *Peers { return &Peers{pool: mangoconn.New(mangoconn.TCP)} }

// Acquire asks a scheduler for a lease.
func (p *Peers) Acquire(ctx context.Context, at mangoroster.Member, id mangolease.ID, d mangolease.Demand) (mangolease.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Patience+acquireSlack)
	defer cancel()
	var reply AcquireReply
	to := mangoconn.Endpoint{Address: at.Address, Lane: mangoconn.LaneAdmission}
	if err := p.pool.Call(ctx, to, mangomodel.StepAdmission, methodAcquire, AcquireArgs{ID: id, Demand: d}, &reply); err != nil {
		return mangolease.Lease{}, err
	}
	if reply.Fault != nil {
		return mangolease.Lease{}, reply.Fault.Fault()
	}
	return reply.Lease, nil
}

// Release gives a lease back.
func (p *Peers) Release(ctx context.Context, at mangoroster.Member, r mangofleet.Release) error {
	return p.control(ctx, at.Address, mangomodel.StepRelease, methodRelease, r, &Empty{})
}

// PrefillDone tells that a lease's prefill server is free again.
func (p *Peers) PrefillDone(ctx context.Context, at mangoroster.Member, id mangolease.ID, took time.Duration) error {
	return p.control(ctx, at.Address, mangomodel.StepRelease, methodPrefill, PrefillDoneArgs{ID: id, Took: took}, &Empty{})
}

// Exchange sends news and returns the answer.
func (p *Peers) Exchange(ctx context.Context, at mangomodel.Address, msg mangobroker.ExchangeMessage) (mangobroker.ExchangeMessage, error) {
	var reply mangobroker.ExchangeMessage
	err := p.control(ctx, at, mangomodel.StepProbe, methodExchange, msg, &reply)
	return reply, err
}

// Snapshot returns what a daemon knows beyond what this one does.
func (p *Peers) Snapshot(ctx context.Context, at mangomodel.Address, known mangobroker.StateVersion) (mangobroker.Snapshot, error) {
	var reply SnapshotReply
	to := mangoconn.Endpoint{Address: at, Lane: mangoconn.LaneBulk}
	if err := p.pool.Call(ctx, to, mangomodel.StepConfigure, methodSnapshot, known, &reply); err != nil {
		return mangobroker.Snapshot{}, err
	}
	return unpack(reply.Packed)
}

// CancelCalls ends all calls that wait for a daemon.
func (p *Peers) CancelCalls(at mangomodel.Address) { p.pool.CloseAddress(at) }

func (p *Peers) control(ctx context.Context, at mangomodel.Address, step mangomodel.Step, method string, args, reply any) error {
	return p.pool.Call(ctx, mangoconn.Endpoint{Address: at, Lane: mangoconn.LaneControl}, step, method, args, reply)
}
