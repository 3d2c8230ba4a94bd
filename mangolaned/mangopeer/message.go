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

// ProbeArgs holds the exchange message of the sender in News; its first member
// is the sender.
type ProbeArgs struct{ News mangoagent.ExchangeMessage }

// ProbeReply holds the exchange message of the receiver in News.
type ProbeReply struct{ News mangoagent.ExchangeMessage }

// ReachArgs requests that the receiver probe the target.
type ReachArgs struct{ Target mangomember.Member }

// ReachReply reports whether the probe of the target succeeded.
type ReachReply struct{ Reached bool }

// AcquireArgs requests a grant. The holder is encoded only once, in the grant's
// id.
type AcquireArgs struct {
	Trace  mangotrace.Carrier
	Shard  mangomodel.ShardID
	Demand mangomodel.Demand
	// Timeout bounds the call at each daemon that handles it.
	Timeout time.Duration
	// Forwarded is set on a demand that was forwarded to the shard's owner. A
	// forwarded demand is not forwarded again.
	Forwarded bool
}

// AcquireReply holds the fields of the grant that the scheduler sets, or the
// fault of a refusal. The other fields follow from the demand.
type AcquireReply struct {
	Prefill, Decode mangomodel.ServerID
	Pieces          mangomodel.Pieces
	Expected        time.Duration
	Fault           *mangowire.FaultBody
}

// grant returns the grant that a reply and its arguments describe.
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

// ReleaseArgs releases a grant, or withdraws a demand whose outcome is unknown.
type ReleaseArgs struct {
	Trace     mangotrace.Carrier
	Grant     mangomodel.GrantID
	Shard     mangomodel.ShardID
	Usage     mangomodel.Usage
	Withdraw  bool
	Forwarded bool
}

// ReleaseReply holds the scheduler's fault, for example CodePreempted for a
// grant that was revoked.
type ReleaseReply struct{ Fault *mangowire.FaultBody }

// RenewArgs lists the grants of a holder by shard.
type RenewArgs struct {
	Holder    mangomodel.Holder
	Lists     []mangomodel.ShardGrants
	Forwarded bool
}

// RenewReply lists in Unknown the numbers of the grants that the scheduler has
// not recorded.
type RenewReply struct{ Unknown []uint64 }

// AdoptArgs transfers grants that a scheduler has not recorded.
type AdoptArgs struct {
	Grants    []mangomodel.Grant
	Forwarded bool
}

// ChangesArgs requests the changes after a revision.
type ChangesArgs struct{ After mangomodel.Revision }

// ChangesReply holds the requested changes. Known is false if the daemon no
// longer keeps some of them.
type ChangesReply struct {
	Known   bool
	Changes []mangoconfig.AcceptedChange
}

// CatalogReply holds all active documents.
type CatalogReply struct{ Documents mangoconfig.Documents }

// Empty is an argument or reply without content.
type Empty struct{}
