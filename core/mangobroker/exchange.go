package mangobroker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangooutlier"
	"mangolane/core/mangopanic"
	"mangolane/core/mangopool"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// exchangeTimeout is the time without a response after which a daemon counts
	// as unreachable. The round trip to another region takes 24 ms, and a host
	// may stall for 100 ms when its share of the processor is used up.
	exchangeTimeout = 300 * time.Millisecond
	// checkInterval is how often a daemon checks for a new scheduler.
	checkInterval = 50 * time.Millisecond
	// maxNotified is how many daemons are notified of a change at once. The
	// others receive it from the scheduler.
	maxNotified = 16
	// maxChanges is how many changes of the list a message holds, at about 150
	// bytes each.
	maxChanges = 256
	// maxQueried is how many daemons an unsynced daemon queries at a time.
	maxQueried = 6
	// seedInterval is how often join tries addresses of daemons that were not seen
	// recently.
	seedInterval = time.Second
)

// ExchangeMessage is the state that daemons exchange.
type ExchangeMessage struct {
	From mangoroster.Member
	// Leases are all leases of engines that the sender holds, in a request only.
	Leases []mangolease.Progress
	// Usages is what the sender has used of the retry budgets. In a response,
	// Allowances is what the receiver may use next of all budgets; the receiver
	// applies only those of the services that the sender schedules.
	Usages     mangobudget.Usages
	Allowances mangobudget.Allowances
	// Outcomes are the recent outcomes of the sender's calls to plain servers, in a
	// request only. In a response, Ejections are the outliers among these servers.
	Outcomes  map[mangomodel.ServerID]mangooutlier.Counts
	Ejections []mangofleet.Ejection
	// Loads are what calls showed of the plain servers whose service the scheduler of the
	// two schedules: in a request those of the sender, in a response those of all daemons.
	Loads mangoload.Records
	// Withdrawals are the servers that have announced that they leave, as far as the
	// list does not say so: in a request those that announced it to the sender, in a
	// response all that the sender has recorded.
	Withdrawals []mangotraffic.ServerRef
	// Backoffs are the servers that have asked the sender for time, in a request only.
	Backoffs []mangobackoff.Entry
	// Members are the scheduler candidates that the sender has recorded.
	Members []mangoroster.Sighting
	// Suspects is what the sender knows about calls that crash servers.
	Suspects mangocrash.Message
	// Quarantine is what the sender knows about parts of prompts that crash servers.
	Quarantine mangoquarantine.Message
	// Reads is what the sender knows about reads of the list of servers.
	Reads mangofleet.Reads
	// Revision is the revision of the sender's configuration.
	Revision mangomodel.Revision
	// RevisionAge is the time since the sender knew that revision to be the newest one,
	// in a response only. Zero means never.
	RevisionAge time.Duration
	// List is the sender's position in the list of servers. In a response, it
	// brings a receiver that is a few changes behind to that position. A receiver
	// that is further behind fetches a snapshot.
	List mangofleet.ChangeServers
	// Quota is what the sender has used of its quota loans, in a request to the accountant
	// only. In a response to it, QuotaLoans is what the receiver may use. Both are absent
	// without limits.
	Quota      *mangoquota.Report
	QuotaLoans *mangoquota.Loans
}

// Run exchanges state with the other daemons until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { mangopanic.Repeat(ctx, b.log, "renewals", b.renew) })
	running.Go(func() { mangopanic.Repeat(ctx, b.log, "joins", b.join) })
	running.Go(func() { mangopanic.Repeat(ctx, b.log, "snapshot fetches", b.fetch) })
	running.Go(func() { mangopanic.Repeat(ctx, b.log, "quota asks", b.askQuotas) })
	running.Wait()
}

// renew exchanges messages with all schedulers periodically, and at once when a
// scheduler has changed or a server has announced something to this daemon.
func (b *Broker) renew(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last := make(map[mangotraffic.ServiceName]mangomodel.DaemonID)
	var renewed time.Time
	var announced uint64
	for {
		targets, changed := b.schedulers(last)
		if n := b.fleet.View().Announced; n != announced {
			announced, changed = n, true
		}
		if changed || time.Since(renewed) >= mangopool.RenewInterval-checkInterval/2 {
			renewed = time.Now()
			var exchanges sync.WaitGroup
			for _, m := range targets {
				exchanges.Go(func() {
					defer mangopanic.Catch(b.log, "renewal")
					b.renewAt(ctx, m)
				})
			}
			exchanges.Wait()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// schedulers returns the schedulers of all services and the accountant, and whether a
// scheduler differs from last, which it updates.
func (b *Broker) schedulers(last map[mangotraffic.ServiceName]mangomodel.DaemonID) (map[mangomodel.DaemonID]mangoroster.Member, bool) {
	targets, changed := make(map[mangomodel.DaemonID]mangoroster.Member), false
	for _, name := range b.fleet.View().Services() {
		m := b.scheduler(name)
		targets[m.Holder.Daemon] = m
		if last[name] != m.Holder.Daemon {
			last[name], changed = m.Holder.Daemon, true
			b.log.SchedulerChanged(name, m.Holder.Daemon)
		}
	}
	if m, ok := b.fleet.View().Accountant(); ok {
		targets[m.Holder.Daemon] = m
	}
	return targets, changed
}

func (b *Broker) renewAt(ctx context.Context, m mangoroster.Member) {
	began := time.Now()
	if m.Holder == b.self.Holder {
		leases := b.progress()
		b.apply(mangofleet.Renew{Holder: b.self.Holder, Leases: leases, Outcomes: b.fleet.View().Outcomes, Loads: b.loads(m)})
		b.markRenewed(m, leases, began)
		b.setAllowances(m, b.fleet.View().Allowances(b.self.Holder))
		b.setQuota(b.renewQuota(ctx, m, b.quotaReport(m)), began)
		b.setLoads(b.fleet.View().SharedLoads(time.Now()))
		return
	}
	leases := b.progress()
	response, err := b.exchange(ctx, m.Address, renewal{leases: leases, quota: b.quotaReport(m), loads: b.loads(m)})
	if err == nil {
		b.markRenewed(m, leases, began)
		b.setQuota(response.QuotaLoans, began)
		b.setAllowances(m, response.Allowances)
		b.setLoads(response.Loads)
		if len(response.Ejections) > 0 {
			b.apply(mangofleet.EjectServers{Ejections: response.Ejections})
		}
		return
	}
	if ctx.Err() == nil {
		b.markUnreachable(m, err)
	}
}

// markRenewed records that m has renewed the leases of the services it schedules
// with a message that was sent at a time.
func (b *Broker) markRenewed(m mangoroster.Member, leases []mangolease.Progress, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range leases {
		g, ok := b.held[mangolease.ID{Holder: b.self.Holder, Number: x.Number}]
		if ok && b.scheduler(x.Service).Holder == m.Holder && at.After(*g.renewedAt.Load()) {
			g.renewedAt.Store(&at)
		}
	}
}

// setAllowances applies the allowances of the services that m schedules. A daemon
// that does not schedule a service has not counted all retries of that service.
func (b *Broker) setAllowances(m mangoroster.Member, allowances mangobudget.Allowances) {
	own := maps.Clone(allowances)
	maps.DeleteFunc(own, func(name mangotraffic.ServiceName, _ mangobudget.Allowance) bool {
		return b.scheduler(name).Holder.Daemon != m.Holder.Daemon
	})
	b.apply(mangofleet.SetAllowances{Allowances: own, From: m.Holder.Daemon})
}

// renewal is what a message says beside the state that all messages have.
type renewal struct {
	leases []mangolease.Progress
	// quota is nil except in a message to the accountant.
	quota *mangoquota.Report
	loads mangoload.Records
}

// exchange sends a message with a renewal and applies the response.
func (b *Broker) exchange(ctx context.Context, at mangomodel.Address, r renewal) (ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	msg := b.Compose(ExchangeMessage{})
	msg.Leases, msg.Outcomes, msg.Quota, msg.Loads = r.leases, b.fleet.View().Outcomes, r.quota, r.loads
	began := time.Now()
	response, err := b.peers.Exchange(ctx, at, msg)
	if err != nil {
		return ExchangeMessage{}, err
	}
	// The response may be as old as the call. Otherwise two daemons that confirm the list
	// to each other would keep it current.
	took := mangomodel.Elapsed(began, time.Now())
	response.List = response.List.Delayed(took)
	response.List.Age += took
	response.Reads = response.Reads.Delayed(took)
	if response.RevisionAge > 0 {
		response.RevisionAge += took
	}
	return response, b.applyMessage(ctx, response)
}

// join contacts daemons that renewals do not reach: the seeds, and daemons that
// do not respond, which may be behind a partition that has healed. While this
// daemon is unsynced, join queries the seeds and near daemons more often. When this
// daemon becomes eligible to schedule, or ceases to be, join notifies up to
// maxNotified daemons.
func (b *Broker) join(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	lost := make(map[mangomodel.Address]bool)
	var last time.Time
	ineligible := true
	for {
		var addrs []mangomodel.Address
		now, view := time.Now(), b.fleet.View()
		if was := ineligible; was != (view.Draining || view.Stale(now)) {
			ineligible = !was
			addrs = b.notifyTargets()
		} else if now.Sub(last) >= seedInterval {
			last = now
			addrs = b.rejoinTargets()
		} else if view.Unsynced() && now.Sub(last) >= mangopool.RenewInterval {
			last = now
			addrs = b.syncTargets()
		}
		b.report(ctx, b.exchangeAll(ctx, addrs), lost)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// report notifies the observer of daemons that were lost and regained.
func (b *Broker) report(ctx context.Context, errs map[mangomodel.Address]error, lost map[mangomodel.Address]bool) {
	for addr, err := range errs {
		if err != nil && !lost[addr] && ctx.Err() == nil {
			b.log.PeerLost(addr, err)
		}
		if err == nil && lost[addr] {
			b.log.PeerRegained(addr)
		}
		lost[addr] = err != nil
	}
}

// notifyTargets returns the addresses of at most maxNotified daemons: the seeds,
// and the first members of the unordered list.
func (b *Broker) notifyTargets() []mangomodel.Address {
	list := slices.Clone(b.seeds)
	for _, m := range b.fleet.View().Members[1:] {
		list = append(list, m.Member.Address)
	}
	return b.others(list[:min(len(list), maxNotified)])
}

// syncTargets returns the addresses that an unsynced daemon queries: the seeds,
// and a few daemons of its data centre.
func (b *Broker) syncTargets() []mangomodel.Address {
	list := slices.Clone(b.seeds)
	for _, m := range b.fleet.View().Members[1:] {
		if b.distance(m.Member) == 0 && len(list) < maxQueried {
			list = append(list, m.Member.Address)
		}
	}
	return b.others(list)
}

// others returns the distinct addresses of a list without this daemon's own.
func (b *Broker) others(list []mangomodel.Address) []mangomodel.Address {
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(a mangomodel.Address) bool { return a == b.self.Address })
}

// exchangeAll exchanges messages with all addresses at once.
func (b *Broker) exchangeAll(ctx context.Context, addrs []mangomodel.Address) map[mangomodel.Address]error {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
		errs    = make(map[mangomodel.Address]error, len(addrs))
	)
	for _, addr := range addrs {
		running.Go(func() {
			defer mangopanic.Catch(b.log, "exchange")
			_, err := b.exchange(ctx, addr, renewal{leases: b.progress()})
			mu.Lock()
			defer mu.Unlock()
			errs[addr] = err
		})
	}
	running.Wait()
	return errs
}

// rejoinTargets returns the addresses to try: all recorded ones if no other
// daemon was seen recently, else one of them in rotation.
func (b *Broker) rejoinTargets() []mangomodel.Address {
	list := slices.Clone(b.seeds)
	recent := map[mangomodel.Address]bool{b.self.Address: true}
	for _, s := range b.fleet.View().Sightings(time.Now()) {
		if s.Age < seedInterval {
			recent[s.Member.Address] = true
		} else {
			list = append(list, s.Member.Address)
		}
	}
	slices.Sort(list)
	list = slices.DeleteFunc(slices.Compact(list), func(a mangomodel.Address) bool { return recent[a] })
	if len(recent) == 1 || len(list) == 0 {
		return list
	}
	b.rejoins++
	return list[b.rejoins%len(list):][:1]
}

// progress returns the progress of the leases that this daemon holds.
func (b *Broker) progress() []mangolease.Progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]mangolease.Progress, 0, len(b.held))
	for g := range maps.Values(b.held) {
		p := mangolease.Progress{
			Number: g.ID.Number, Server: g.Lease.Server.ID, Service: g.demand.Service,
			Generation: *g.demand.Generation, Made: mangomodel.Tokens(g.generated.Load()),
		}
		if !g.prefilled.Load() {
			p.Prefill = g.Lease.Prefill.ID
		}
		list = append(list, p)
	}
	return list
}

// Compose returns this daemon's response to a received message, or its request to
// any daemon if received is zero. The caller adds Leases and Allowances.
func (b *Broker) Compose(received ExchangeMessage) ExchangeMessage {
	view := b.fleet.View()
	msg := ExchangeMessage{From: b.self, Usages: view.Usages, Members: view.SchedulerCandidates(time.Now()), Quarantine: view.Quarantine()}
	msg.From.Draining, msg.From.Stale = view.Draining, view.Stale(time.Now())
	msg.Reads = view.Reads(time.Now())
	if view.Routing != nil {
		msg.Revision = view.Routing.Revision
		msg.RevisionAge = max(time.Since(view.RoutingRead), 1)
	}
	position, isRequest := view.ListCursor, received.From.Holder.Daemon == ""
	if !isRequest {
		position = received.List.Cursor
	}
	msg.Withdrawals = view.Withdrawals(isRequest)
	msg.Suspects = view.Crashes(isRequest)
	if !isRequest && received.Suspects.Digest == msg.Suspects.Digest {
		msg.Suspects.Table = nil
	}
	if isRequest {
		msg.Backoffs = view.Backoffs(time.Now())
	}
	msg.List = changesAfter(view, position)
	return msg
}

// changesAfter returns the changes of the list after a position. If they are too
// many or no longer kept, it returns an empty change at this daemon's own
// position.
func changesAfter(view *mangofleet.View, position mangotraffic.Cursor) mangofleet.ChangeServers {
	now := time.Now()
	if cmd, ok := view.ChangesAfter(position, now); ok && len(cmd.Changes) <= maxChanges {
		return cmd
	}
	return mangofleet.ChangeServers{After: view.ListCursor, Cursor: view.ListCursor, Age: now.Sub(view.ListRead)}
}
