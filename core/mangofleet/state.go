package mangofleet

import (
	"time"

	"mangolane/core/mangobound"
	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangodeparture"
	"mangolane/core/mangojournal"
	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutage"
	"mangolane/core/mangooutlier"
	"mangolane/core/mangopool"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangoqueue"
	"mangolane/core/mangoreturn"
	"mangolane/core/mangoroster"
	"mangolane/core/mangoshare"
	"mangolane/core/mangotraffic"
)

// waiter is a queued demand with its pending reply.
type waiter struct {
	*mangolease.PendingDemand
	reply mangoloop.Reply
	// queued is set once the demand was not granted when it arrived.
	queued bool
}

// state is the control state. Only the control goroutine accesses it.
type state struct {
	self     Self
	times    mangobound.Times
	observer Observer
	routing  *mangotraffic.Routing
	draining bool
	pool     *mangopool.Pool
	queue    []*waiter
	// unsynced holds the replies to calls that wait for the first sync.
	unsynced []mangoloop.Reply
	// flows measures the demands of each service while some wait.
	flows map[mangotraffic.ServiceName]*mangoqueue.Flow
	// shares is what workspaces and ranks have received, and returns are the clients that
	// were told to return; both are empty without workspaces.
	shares  *mangoshare.Shares
	returns *mangoreturn.Board
	retries *mangobudget.Ledger
	// allowances holds the retry allowance of each daemon incarnation. Views
	// share the map, so it is copied before a change.
	allowances map[mangomodel.Holder]mangobudget.Allowances
	// outcomes counts this daemon's calls to plain servers, board holds the counts
	// of all daemons that renew here, and ejected the outliers found with it.
	outcomes   mangooutlier.Window
	board      *mangooutlier.Board
	ejected    map[mangomodel.ServerID]time.Time
	outliersAt time.Time
	// loads adds up the load records of all daemons that renew here; nil if loads are not
	// estimated.
	loads        *mangoload.Board
	loadObserver LoadObserver
	roster       *mangoroster.Roster
	suspects     *mangocrash.Table
	quarantine   *mangoquarantine.Tracker
	listRead     time.Time
	// routingRead is when the configuration was last known to be current.
	routingRead time.Time
	// readFailed is when this daemon last failed to read the list. outages decides how
	// long servers whose entries vanished are still used.
	readFailed time.Time
	outages    *mangooutage.Record
	departures *mangodeparture.Departures
	restored   restoration
	// listCursor and routingCursor are the positions reached in the platform's
	// records; journal holds the latest changes of the list.
	listCursor, routingCursor mangotraffic.Cursor
	journal                   mangojournal.Journal
	changed                   viewParts
	// lastRenewal is when the last renewal arrived. schedulerSince is when the
	// first one arrived after more than [mangopool.HolderTimeout] without renewals,
	// which made this daemon a scheduler.
	lastRenewal, schedulerSince time.Time
	// membersAt is when the members were last published.
	membersAt time.Time
	// announced counts the announcements of servers in answers to this daemon that
	// schedulers do not know yet.
	announced uint64
	quota     quotas
	archive   archive
}

// viewParts marks the parts of the published view that are out of date.
type viewParts struct{ members, crashes, usage, outcomes, backoffs, parts bool }

// membersInterval is how often views determine the members anew: short against
// [mangoroster.AliveTimeout], long against the interval between the exchanges of
// a large fleet.
const membersInterval = 100 * time.Millisecond

func newState(self Self, limits RetryLimits) *state {
	times := mangobound.Within(mangobound.Standard)
	s := &state{
		self:       self,
		times:      times,
		observer:   nopObserver{},
		pool:       mangopool.New(self.Holder, self.Regions),
		retries:    mangobudget.NewLedger(self.Holder, limits),
		flows:      make(map[mangotraffic.ServiceName]*mangoqueue.Flow),
		shares:     mangoshare.New(mangoshare.DefaultBasicShare),
		returns:    mangoreturn.New(),
		allowances: make(map[mangomodel.Holder]mangobudget.Allowances),
		board:      mangooutlier.NewBoard(),
		ejected:    make(map[mangomodel.ServerID]time.Time),
		roster:     mangoroster.New(self.Holder.Daemon, self.Regions),
		suspects:   mangocrash.New(),
		quarantine: mangoquarantine.New(),
		outages:    mangooutage.New(self.Holder.Daemon, times.Outage()),
		departures: mangodeparture.New(),
		changed:    viewParts{members: true},
	}
	s.quota = newQuotas(s)
	return s
}

// Tick removes expired entries and leases, and serves the queue.
func (s *state) Tick(now time.Time) {
	s.removeExpired(now)
	s.pool.ExpireHolders(now)
	s.expireQuotaWaiters(now)
	s.serveQueue(now)
}

// NextDue returns when Tick has to be called next, if ever.
func (s *state) NextDue() (time.Time, bool) {
	due := earliest(earliest(s.pool.NextDue(), s.quotaDue()), s.departures.NextDue())
	for _, w := range s.queue {
		due = earliest(due, w.Deadline)
	}
	if len(s.queue) > 0 {
		due = earliest(due, time.Now().Add(queueInterval))
	}
	if s.pool.Leases() > 0 {
		due = earliest(due, time.Now().Add(mangopool.HolderTimeout))
	}
	return due, !due.IsZero()
}

// earliest returns the earlier of two times. The zero time means none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// View returns a new view, which shares unchanged parts with the last one.
func (s *state) View(last *View, now time.Time) *View {
	v := &View{
		Routing: s.routing, Draining: s.draining, Waiting: len(s.queue), Leases: s.pool.Leases(),
		ListRead: s.listRead, RoutingRead: s.routingRead, granted: s.pool.Granted(), allowances: s.allowances,
		ListCursor: s.listCursor, RoutingCursor: s.routingCursor, journal: s.journal, self: s.self.Holder.Daemon, times: s.times,
		quotaAsk: s.quota.ask, quotaReport: s.quota.report, quotaReplies: s.quota.replies,
		deferred: s.departures.Deferred(), left: s.departures.Known(), restored: s.restored, Announced: s.announced, readFailed: s.readFailed, returned: s.outages.Returned(),
	}
	if last != nil {
		v.Listed, v.Members, v.schedulers = last.Listed, last.Members, last.schedulers
		v.crashRequest, v.crashResponse = last.crashRequest, last.crashResponse
		v.expired, v.withdrawn, v.unconfirmed = last.expired, last.withdrawn, last.unconfirmed
		v.backoffs = last.backoffs
		v.stageChanges, v.defaultScheduler, v.accountant = last.stageChanges, last.defaultScheduler, last.accountant
		v.Usages, v.Outcomes, v.quarantineMessage = last.Usages, last.Outcomes, last.quarantineMessage
	}
	v.Ejections = s.ejections(now)
	s.publishLoads(v, last, now)
	s.reportMeasures()
	if list, ok := s.pool.Listed(); ok {
		v.Listed, v.expired = list.Servers, list.Expired
		v.withdrawn, v.unconfirmed = list.Withdrawn, list.Unconfirmed
		s.changed.members, s.changed.backoffs = true, true
	}
	if s.changed.backoffs {
		v.backoffs = s.pool.Backoffs()
	}
	if s.changed.usage {
		v.Usages = s.retries.Usage(now, s.daemonCount())
	}
	if s.changed.crashes || now.Sub(s.membersAt) >= membersInterval {
		v.crashRequest, v.crashResponse = s.suspects.Message(now, false), s.suspects.Message(now, true)
	}
	v.refusedCalls = s.suspects.Verdicts()
	s.publishUnsaved(v)
	if s.changed.outcomes || now.Sub(s.membersAt) >= membersInterval {
		v.Outcomes = s.outcomes.Counts(now)
	}
	if s.changed.parts || now.Sub(s.membersAt) >= membersInterval {
		s.judgeParts(now)
		v.quarantineMessage = s.quarantine.Message(now)
	}
	v.quarantine = s.quarantine.Records()
	s.changed = viewParts{members: s.changed.members}
	if s.changed.members || now.Sub(s.membersAt) >= membersInterval {
		self := s.selfMember(now)
		v.Members, v.stageChanges = s.roster.Members(self, now), s.pool.StageChanges(now)
		v.schedulers = s.roster.Schedulers(self, s.pool.PerRegion(), now)
		v.defaultScheduler = s.roster.DefaultScheduler(self, now)
		v.accountant = mangoroster.Member{}
		if s.limited() {
			v.accountant = s.roster.Accountant(self, now)
		}
		s.changed.members, s.membersAt = false, now
	}
	return v
}

func (s *state) service(name mangotraffic.ServiceName) (*mangotraffic.Service, bool) {
	if s.routing == nil {
		return nil, false
	}
	return s.routing.Service(name)
}
