package mangoagent

import (
	"context"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

// Control is the daemon's control state.
type Control interface {
	Do(ctx context.Context, cmd mangocommand.Command) error
	Snapshot() *mangoquery.Snapshot
}

// ExchangeMessage is the state that a daemon sends to another one with each
// probe.
type ExchangeMessage struct {
	Members    []mangomember.Member
	Suspicions []mangomodel.Suspicion
	// Revision is the revision of the sender's active configuration.
	Revision mangomodel.Revision
	// Hosts is the sender's newest reading of the platform's host list.
	Hosts mangoquery.HostListReading
}

// Probes sends probes to other daemons.
type Probes interface {
	// Probe performs a state exchange with the daemon at the member's address.
	Probe(ctx context.Context, to mangomember.Member, msg ExchangeMessage) (ExchangeMessage, error)
	// ProbeThrough requests that a helper probe a target.
	ProbeThrough(ctx context.Context, helper, target mangomember.Member) error
}

// Catalogs reads configuration from other daemons.
type Catalogs interface {
	// ChangesAfter returns the changes after a revision that a daemon keeps.
	// It fails with CodeNotFound if the daemon does not have them all.
	ChangesAfter(ctx context.Context, from mangomember.Member, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error)
	// Catalog returns all documents that are active at a daemon.
	Catalog(ctx context.Context, from mangomember.Member) (mangoconfig.Documents, error)
}

// Changes reads configuration from the platform.
type Changes interface {
	// After returns the accepted changes that follow a revision.
	After(ctx context.Context, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error)
	// Bootstrap returns the newest catalog.
	Bootstrap(ctx context.Context) (*mangoconfig.Catalog, error)
}

// Renewals sends renewals to the schedulers of other daemons.
type Renewals interface {
	// Renew renews all grants that a holder has from a scheduler. It returns
	// the numbers of the grants that the scheduler has not recorded.
	Renew(ctx context.Context, scheduler mangomember.Member, holder mangomodel.Holder, lists []mangomodel.ShardGrants) ([]uint64, error)
	// Adopt transfers grants to a scheduler that has not recorded them.
	Adopt(ctx context.Context, scheduler mangomember.Member, grants []mangomodel.Grant) error
}

// Servers sends requests to backend servers.
type Servers interface {
	// Load returns a server's load report. Refused is true if the connection
	// was refused: the host is reachable and no process listens at the address.
	Load(ctx context.Context, server mangoconfig.Host) (load mangomodel.Load, refused bool, err error)
	// Cancel frees all resources of a server for a sequence.
	Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error
}

// HostList reads the platform's list of hosts.
type HostList interface {
	// Leaving returns the backend servers that are listed as leaving.
	Leaving(ctx context.Context) ([]mangomodel.ServerID, error)
}

// Reporter receives the failures of exchanges. Every worker repeats its
// exchanges, so a failure needs no handling beyond a log line.
type Reporter interface {
	ExchangeFailed(step mangomodel.Step, err error)
}

// every calls f at once and then after each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
