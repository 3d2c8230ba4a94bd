package mangopeer

import (
	"time"

	"mangolane/core/mangoagent"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangotrace"
)

// Names of the methods.
const (
	methodProbe   = "Command.Probe"
	methodAcquire = "Command.Acquire"
	methodRelease = "Command.Release"
	methodRenew   = "Command.Renew"
	methodAdopt   = "Command.Adopt"
	methodPing    = "Query.Ping"
	methodReach   = "Query.Reach"
	methodChanges = "Query.Changes"
	methodCatalog = "Query.Catalog"
)

// ProbeArgs are the sender's news; its first member is the sender.
type ProbeArgs struct{ News mangoagent.ExchangeMessage }

// ProbeReply are the receiver's news.
type ProbeReply struct{ News mangoagent.ExchangeMessage }

// ReachArgs asks whether the receiver reaches a daemon.
type ReachArgs struct{ Target mangomember.Member }

// ReachReply says whether it does.
type ReachReply struct{ Reached bool }

// AcquireArgs asks for a grant. The holder travels once, in the grant's id.
type AcquireArgs struct {
	Trace   mangotrace.Carrier
	Shard   mangomodel.ShardID
	Demand  mangomodel.Demand
	Timeout time.Duration
	// Forwarded is set on a demand that a contact passes on to the owner, so
	// that it is passed on once at most.
	Forwarded bool
}

// AcquireReply holds what the scheduler chose, or its refusal. The rest of the
// grant is known from the demand.
type AcquireReply struct {
	Prefill, Decode mangomodel.ServerID
	Pieces          mangomodel.Pieces
	Expected        time.Duration
	Fault           *mangowire.FaultBody
}

// grant completes a reply to a grant.
func (r AcquireReply) grant(args AcquireArgs) mangomodel.Grant {
	d := args.Demand
	d.Sequence.Holder = d.Grant.Holder
	return mangomodel.Grant{
		ID: d.Grant, Shard: args.Shard, Sequence: d.Sequence, Workspace: d.Workspace, Rank: d.Rank,
		Prefill: r.Prefill, Decode: r.Decode, Pieces: r.Pieces, Fingerprint: d.Fingerprint,
		TPOT: d.TPOT, Expected: r.Expected,
	}
}

// replyOf returns the reply for a grant.
func replyOf(g mangomodel.Grant) AcquireReply {
	return AcquireReply{Prefill: g.Prefill, Decode: g.Decode, Pieces: g.Pieces, Expected: g.Expected}
}

// ReleaseArgs gives a grant back, or withdraws a demand whose fate is open.
type ReleaseArgs struct {
	Trace     mangotrace.Carrier
	Grant     mangomodel.GrantID
	Shard     mangomodel.ShardID
	Usage     mangomodel.Usage
	Withdraw  bool
	Forwarded bool
}

// ReleaseReply holds the scheduler's fault, such as that the grant had been
// taken back.
type ReleaseReply struct{ Fault *mangowire.FaultBody }

// RenewArgs names the grants of a holder.
type RenewArgs struct {
	Holder    mangomodel.Holder
	Lists     []mangomodel.ShardGrants
	Forwarded bool
}

// RenewReply names the grants that the scheduler does not know.
type RenewReply struct{ Unknown []uint64 }

// AdoptArgs hands over grants that a scheduler does not know.
type AdoptArgs struct {
	Grants    []mangomodel.Grant
	Forwarded bool
}

// ChangesArgs asks for the changes after a revision.
type ChangesArgs struct{ After mangomodel.Revision }

// ChangesReply holds them; Known is false when some are no longer there.
type ChangesReply struct {
	Known   bool
	Changes []mangoconfig.AcceptedChange
}

// CatalogReply holds all documents in force.
type CatalogReply struct{ Documents mangoconfig.Documents }

// Empty is an argument or reply without content.
type Empty struct{}
