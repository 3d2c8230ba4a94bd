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

// ExchangeMessage is what a daemon tells another one on each probe.
type ExchangeMessage struct {
	Members    []mangomember.Member
	Suspicions []mangomodel.Suspicion
	// Revision is the configuration in force at the sender.
	Revision mangomodel.Revision
	// Hosts is the sender's newest reading of the platform's host list.
	Hosts mangoquery.HostReading
}

// Probes reaches other daemons to learn whether they are alive.
type Probes interface {
	// Probe exchanges news with the daemon at an address.
	Probe(ctx context.Context, to mangomember.Member, msg ExchangeMessage) (ExchangeMessage, error)
	// ProbeThrough asks a helper to probe a target.
	ProbeThrough(ctx context.Context, helper, target mangomember.Member) error
}

// Catalogs reads configuration from other daemons.
type Catalogs interface {
	// ChangesAfter returns the changes that a daemon remembers after a
	// revision. It fails with CodeNotFound when it does not have them all.
	ChangesAfter(ctx context.Context, from mangomember.Member, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error)
	// Catalog returns all documents in force at a daemon.
	Catalog(ctx context.Context, from mangomember.Member) (mangoconfig.Documents, error)
}

// Changes reads configuration from the platform.
type Changes interface {
	// After returns the accepted changes that follow a revision.
	After(ctx context.Context, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error)
	// Bootstrap returns the newest catalog.
	Bootstrap(ctx context.Context) (*mangoconfig.Catalog, error)
}

// Renewals reaches the schedulers of other daemons.
type Renewals interface {
	// Renew names all grants that a holder holds of a scheduler. It returns
	// the numbers of those that the scheduler does not know.
	Renew(ctx context.Context, scheduler mangomember.Member, holder mangomodel.Holder, lists []mangomodel.ShardGrants) ([]uint64, error)
	// Adopt hands grants to a scheduler that does not know them.
	Adopt(ctx context.Context, scheduler mangomember.Member, grants []mangomodel.Grant) error
}

// Servers reaches backend servers.
type Servers interface {
	// Load returns a server's report of itself. Refused says that the
	// server's host answered and no process listens there.
	Load(ctx context.Context, server mangoconfig.Host) (load mangomodel.Load, refused bool, err error)
	// Cancel frees whatever a server holds for a sequence.
	Cancel(ctx context.Context, server mangoconfig.Host, seq mangomodel.Sequence) error
}

// HostList reads the platform's list of hosts.
type HostList interface {
	// Leaving returns the backend servers that are shown as leaving.
	Leaving(ctx context.Context) ([]mangomodel.ServerID, error)
}

// Reporter is told of exchanges that failed. Every worker repeats its
// exchanges, so a failure is worth a line in a log and no more.
type Reporter interface {
	Failed(step mangomodel.Step, err error)
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
