package mangobroker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// exchangeTimeout is when a daemon counts as silent. Daemons of another
	// region are 24 ms away there and back, and a host may stall for 100 ms
	// when its share of the processor is used up.
	exchangeTimeout = 300 * time.Millisecond
	// changeInterval is how often a daemon looks for a new scheduler.
	changeInterval = 50 * time.Millisecond
	// mostTold is how many daemons are told at once of a change. The others
	// learn of it from the scheduler.
	mostTold = 16
	// mostChanges is how many changes of the list a message names, at about 150
	// bytes each.
	mostChanges = 256
	// mostAsked is how many daemons an unsynced one asks at a time.
	mostAsked = 6
	// seedInterval is how often an address that no live daemon has is tried.
	seedInterval = time.Second
)

// ExchangeMessage is what daemons tell each other.
type ExchangeMessage struct {
	From mangoroster.Member
	// Leases are those of the sender at the receiver's services.
	Leases []mangolease.Progress
	// Usages is what the sender has used of the retry budgets. An answer's
	// Allowances is what the other daemon may use next, of the services that the
	// sender schedules.
	Usages     mangobudget.Usages
	Allowances mangobudget.Allowances
	// Members are the daemons that the sender knows.
	Members []mangoroster.Sighting
	Crashes []mangocrash.Crash
	// Revision is the sender's configuration.
	Revision mangomodel.Revision
	// List brings a receiver to the sender's position in the list of servers, if
	// it is a few changes behind. One that is further behind fetches a snapshot.
	List mangofleet.ChangeServers
}

// Run exchanges news until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { b.renew(ctx) })
	running.Go(func() { b.join(ctx) })
	running.Go(func() { b.fetch(ctx) })
	running.Wait()
}

// renew exchanges news with all schedulers, at once with a new one.
func (b *Broker) renew(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	last := make(map[mangotraffic.ServiceName]mangomodel.DaemonID)
	var renewed time.Time
	for {
		targets, changed := b.schedulers(last)
		if changed || time.Since(renewed) >= mangopool.RenewInterval-changeInterval/2 {
			renewed = time.Now()
			var exchanges sync.WaitGroup
			for _, m := range targets {
				exchanges.Go(func() { b.renewAt(ctx, m) })
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

// schedulers returns the schedulers of all services, and whether one is new.
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
	return targets, changed
}

func (b *Broker) renewAt(ctx context.Context, m mangoroster.Member) {
	if m.Holder == b.self.Holder {
		b.tell(mangofleet.Renew{Holder: b.self.Holder, Leases: b.progress()})
		b.allow(m, b.fleet.View().Allowances(b.self.Holder))
		return
	}
	answer, err := b.exchange(ctx, m.Address)
	if err == nil {
		b.allow(m, answer.Allowances)
		return
	}
	if ctx.Err() == nil {
		b.lose(m, err)
	}
}

// allow takes the allowances of the services that a daemon schedules. One that
// does not schedule a service does not hear of all repeats there.
func (b *Broker) allow(m mangoroster.Member, allowances mangobudget.Allowances) {
	own := maps.Clone(allowances)
	maps.DeleteFunc(own, func(name mangotraffic.ServiceName, _ int) bool {
		return b.scheduler(name).Holder.Daemon != m.Holder.Daemon
	})
	b.tell(mangofleet.SetAllowances{Allowances: own})
}

// exchange sends news and takes in the answer.
func (b *Broker) exchange(ctx context.Context, at mangomodel.Address) (ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	msg := b.Compose(ExchangeMessage{})
	msg.Leases = b.progress()
	answer, err := b.peers.Exchange(ctx, at, msg)
	if err != nil {
		return ExchangeMessage{}, err
	}
	return answer, b.take(ctx, answer)
}

// join looks for daemons that no exchange reaches: the seeds, and those that
// have gone silent, which may be behind a partition that has healed. When this
// daemon becomes fit to schedule, or ceases to be, it tells those that it knows.
func (b *Broker) join(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	lost := make(map[mangomodel.Address]bool)
	var last time.Time
	unfit := true
	for {
		var addrs []mangomodel.Address
		now, view := time.Now(), b.fleet.View()
		if was := unfit; was != (view.Draining || view.Stale(now)) {
			unfit = !was
			addrs = b.acquainted()
		} else if now.Sub(last) >= seedInterval {
			last = now
			addrs = b.unheard()
		} else if view.Unsynced() && now.Sub(last) >= mangopool.RenewInterval {
			last = now
			addrs = b.near()
		}
		b.report(ctx, b.visit(ctx, addrs), lost)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// report tells the observer of daemons that were lost and regained.
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

// acquainted returns the addresses of some daemons: the seeds and the members first
// in the list, which is in no order.
func (b *Broker) acquainted() []mangomodel.Address {
	list := slices.Clone(b.seeds)
	for _, m := range b.fleet.View().Members[1:] {
		list = append(list, m.Member.Address)
	}
	return b.others(list[:min(len(list), mostTold)])
}

// near returns the addresses that an unsynced daemon asks: the seeds, and a few daemons of its data centre.
func (b *Broker) near() []mangomodel.Address {
	list := slices.Clone(b.seeds)
	for _, m := range b.fleet.View().Members[1:] {
		if b.distance(m.Member) == 0 && len(list) < mostAsked {
			list = append(list, m.Member.Address)
		}
	}
	return b.others(list)
}

// others returns the addresses of a list without this daemon's own, each once.
func (b *Broker) others(list []mangomodel.Address) []mangomodel.Address {
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(a mangomodel.Address) bool { return a == b.self.Address })
}

// visit exchanges news with all addresses at once.
func (b *Broker) visit(ctx context.Context, addrs []mangomodel.Address) map[mangomodel.Address]error {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
		errs    = make(map[mangomodel.Address]error, len(addrs))
	)
	for _, addr := range addrs {
		running.Go(func() {
			_, err := b.exchange(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			errs[addr] = err
		})
	}
	running.Wait()
	return errs
}

// unheard returns the addresses to look at: all that are known while no other
// daemon is heard, else one of them at a time.
func (b *Broker) unheard() []mangomodel.Address {
	list := slices.Clone(b.seeds)
	heard := map[mangomodel.Address]bool{b.self.Address: true}
	for _, s := range b.fleet.View().Sightings(time.Now()) {
		if s.Age < seedInterval {
			heard[s.Member.Address] = true
		} else {
			list = append(list, s.Member.Address)
		}
	}
	slices.Sort(list)
	list = slices.DeleteFunc(slices.Compact(list), func(a mangomodel.Address) bool { return heard[a] })
	if len(heard) == 1 || len(list) == 0 {
		return list
	}
	b.visits++
	return list[b.visits%len(list):][:1]
}

// progress returns what this daemon holds.
func (b *Broker) progress() []mangolease.Progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]mangolease.Progress, 0, len(b.held))
	for g := range maps.Values(b.held) {
		p := mangolease.Progress{
			Number: g.ID.Number, Server: g.Lease.Server.ID, Service: g.demand.Service,
			Generation: *g.demand.Generation, Made: mangomodel.Tokens(g.made.Load()),
		}
		if !g.prefilled.Load() {
			p.Prefill = g.Lease.Prefill.ID
		}
		list = append(list, p)
	}
	return list
}

// Compose returns this daemon's news for a daemon whose news are known.
func (b *Broker) Compose(to ExchangeMessage) ExchangeMessage {
	view := b.fleet.View()
	msg := ExchangeMessage{From: b.self, Usages: view.Usages, Members: view.SchedulerCandidates(time.Now()), Crashes: view.Crashes()}
	msg.From.Draining, msg.From.Stale = view.Draining, view.Stale(time.Now())
	if view.Routing != nil {
		msg.Revision = view.Routing.Revision
	}
	position := view.ListCursor
	if to.From.Holder.Daemon != "" {
		position = to.List.Cursor
	}
	msg.List = changesAfter(view, position)
	return msg
}

// changesAfter returns the changes of the list after a position. For one that
// is far behind it returns none, from this daemon's own position on.
func changesAfter(view *mangofleet.View, position mangotraffic.Cursor) mangofleet.ChangeServers {
	now := time.Now()
	if cmd, ok := view.ChangesAfter(position, now); ok && len(cmd.Changes) <= mostChanges {
		return cmd
	}
	return mangofleet.ChangeServers{After: view.ListCursor, Cursor: view.ListCursor, Age: now.Sub(view.ListRead)}
}

// Receive takes in another daemon's news and answers them.
func (b *Broker) Receive(ctx context.Context, msg ExchangeMessage) (ExchangeMessage, error) {
	// A list in a request may be older than it says, since it may have been
	// long on its way. Answers come in time or not at all.
	msg.List.Changes, msg.List.Full = nil, false
	position := msg.List.Cursor
	msg.List.Cursor = 0
	if err := b.take(ctx, msg); err != nil {
		return ExchangeMessage{}, err
	}
	msg.List.Cursor = position
	if err := b.fleet.Do(ctx, mangofleet.Renew{Holder: msg.From.Holder, Leases: msg.Leases, Usages: msg.Usages}); err != nil {
		return ExchangeMessage{}, err
	}
	answer := b.Compose(msg)
	answer.Allowances = b.fleet.View().Allowances(msg.From.Holder)
	return answer, nil
}

// take applies news.
func (b *Broker) take(ctx context.Context, msg ExchangeMessage) error {
	sightings := append([]mangoroster.Sighting{{Member: msg.From}}, msg.Members...)
	if err := b.fleet.Do(ctx, mangofleet.UpdateMembers{Sightings: sightings}); err != nil {
		return err
	}
	if len(msg.Crashes) > 0 {
		cmd := mangofleet.MergeCrashes{From: msg.From.Holder.Daemon, Crashes: msg.Crashes}
		if err := b.fleet.Do(ctx, cmd); err != nil {
			return err
		}
	}
	if err := b.takeList(ctx, msg); err != nil {
		return err
	}
	known := StateVersion{Revision: msg.Revision, Cursor: msg.List.Cursor}
	if msg.From.Stale {
		known.Cursor = 0
	}
	b.offered(offer{from: msg.From, known: known})
	return nil
}

// takeList applies changes of the list, or that there are none.
func (b *Broker) takeList(ctx context.Context, msg ExchangeMessage) error {
	if msg.List.Cursor == 0 || msg.From.Stale {
		return nil
	}
	msg.List.From = mangomodel.PeerName(msg.From.Holder.Daemon)
	return b.fleet.Do(ctx, msg.List)
}
