// Package mangomesh implements the calls between the daemons of a gateway over
// net/rpc: demands for leases, the state exchange and snapshots.
//
// All calls except snapshots apply commands at the receiver. The reply to a demand
// also carries the granted lease, which saves the round trip of a separate query.
//
// # Usage
//
//	peers := mangomesh.NewPeers()
//	lease, err := peers.Acquire(ctx, member, id, demand)
//	server, err := mangomesh.NewServer(fleet, broker)
//	go server.Serve(listener)
package mangomesh

import (
	"context"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangoconn"
)

// Names of the net/rpc methods.
const (
	methodAcquire     = "Command.Acquire"
	methodRelease     = "Command.Release"
	methodPrefillDone = "Command.PrefillDone"
	methodExchange    = "Command.Exchange"
	methodAskQuota    = "Command.AskQuota"
	methodSnapshot    = "Query.Snapshot"
)

// acquireSlack is added to a demand's wait limit. A scheduler that has not replied
// by then is treated as unreachable.
const acquireSlack = 500 * time.Millisecond

// AcquireArgs is a demand for a lease with the lease's id.
type AcquireArgs struct {
	ID     mangolease.ID
	Demand mangolease.Demand
}

// AcquireReply is the granted lease, or the fault with which it was refused.
type AcquireReply struct {
	Lease mangolease.Lease
	Fault *mangowire.FaultBody
}

// PrefillDoneArgs names a lease whose prefill has ended. Took is zero if the
// prefill failed.
type PrefillDoneArgs struct {
	ID   mangolease.ID
	Took time.Duration
}

// AskQuotaReply has the answers to an ask.
type AskQuotaReply struct{ Answers []mangoquota.Answer }

// Empty is a reply without content.
type Empty struct{}

// Peers is a client of the other daemons.
type Peers struct{ pool *mangoconn.Pool }

// NewPeers returns Peers without open connections.
func NewPeers() *Peers { return &Peers{pool: mangoconn.New(mangoconn.TCP)} }

// Acquire requests a lease from a scheduler. A demand whose wait limit has passed
// is granted at once or refused there.
func (p *Peers) Acquire(ctx context.Context, at mangoroster.Member, id mangolease.ID, d mangolease.Demand) (mangolease.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, max(d.Patience, 0)+acquireSlack)
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

// Release releases a lease at its scheduler.
func (p *Peers) Release(ctx context.Context, at mangoroster.Member, r mangofleet.Release) error {
	return p.callControl(ctx, at.Address, mangomodel.StepRelease, methodRelease, r, &Empty{})
}

// PrefillDone reports to a scheduler that a lease's prefill server is free again.
func (p *Peers) PrefillDone(ctx context.Context, at mangoroster.Member, id mangolease.ID, took time.Duration) error {
	return p.callControl(ctx, at.Address, mangomodel.StepRelease, methodPrefillDone, PrefillDoneArgs{ID: id, Took: took}, &Empty{})
}

// Exchange sends an exchange message and returns the reply.
func (p *Peers) Exchange(ctx context.Context, at mangomodel.Address, msg mangobroker.ExchangeMessage) (mangobroker.ExchangeMessage, error) {
	var reply mangobroker.ExchangeMessage
	err := p.callControl(ctx, at, mangomodel.StepProbe, methodExchange, msg, &reply)
	return reply, err
}

// AskQuota asks an accountant for the costs of calls that wait. It uses the connection of
// demands, so that renewals don't delay it.
func (p *Peers) AskQuota(ctx context.Context, at mangomodel.Address, ask mangofleet.QuotaAsk) ([]mangoquota.Answer, error) {
	var reply AskQuotaReply
	to := mangoconn.Endpoint{Address: at, Lane: mangoconn.LaneAdmission}
	if err := p.pool.Call(ctx, to, mangomodel.StepAdmission, methodAskQuota, ask, &reply); err != nil {
		// A late reply may still be written.
		return nil, err
	}
	return reply.Answers, nil
}

// Snapshot fetches the state that a daemon has beyond this one's state version.
func (p *Peers) Snapshot(ctx context.Context, at mangomodel.Address, version mangobroker.StateVersion) (mangobroker.Snapshot, error) {
	var reply SnapshotReply
	to := mangoconn.Endpoint{Address: at, Lane: mangoconn.LaneBulk}
	if err := p.pool.Call(ctx, to, mangomodel.StepConfigure, methodSnapshot, version, &reply); err != nil {
		return mangobroker.Snapshot{}, err
	}
	return unpack(reply.Packed)
}

// CancelCalls cancels all pending calls to a daemon except snapshots.
func (p *Peers) CancelCalls(at mangomodel.Address) { p.pool.CloseAddress(at) }

func (p *Peers) callControl(ctx context.Context, at mangomodel.Address, step mangomodel.Step, method string, args, reply any) error {
	return p.pool.Call(ctx, mangoconn.Endpoint{Address: at, Lane: mangoconn.LaneControl}, step, method, args, reply)
}
