package mangobroker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	// fetchTimeout bounds a fetch: some dozen KB, while others fetch the same
	// over the same link.
	fetchTimeout = 2 * time.Second
	// offerTime is how long offers are gathered, so that a near daemon is asked
	// rather than the first that was heard: a round trip between regions.
	offerTime = 30 * time.Millisecond
)

// StateVersion says which configuration and which position of the list of servers a
// daemon knows.
type StateVersion struct {
	Revision mangomodel.Revision
	Cursor   mangotraffic.Cursor
}

// Snapshot is what a daemon knows beyond what another one does.
type Snapshot struct {
	// Routing is nil if the other daemon has it.
	Routing *mangotraffic.Document
	// List is the whole list, or its changes; its cursor is 0 if the other daemon
	// has it.
	List mangofleet.ChangeServers
}

// offer is a daemon that knows more.
type offer struct {
	from  mangoroster.Member
	known StateVersion
}

// WithRegions says which region each data centre is in.
func WithRegions(regions map[mangomodel.DataCentreID]mangomodel.RegionID) Option {
	return func(b *Broker) { b.regions = regions }
}

// offered notes what a daemon knows.
func (b *Broker) offered(o offer) {
	if !o.known.beyond(b.known()) {
		return
	}
	b.mu.Lock()
	b.offers[o.from.Address] = o
	b.mu.Unlock()
	select {
	case b.fetching <- struct{}{}:
	default:
	}
}

// known returns what this daemon knows.
func (b *Broker) known() StateVersion {
	view := b.fleet.View()
	k := StateVersion{Cursor: view.ListCursor}
	if view.Routing != nil {
		k.Revision = view.Routing.Revision
	}
	return k
}

// beyond reports whether there is something that the other one does not know.
func (k StateVersion) beyond(other StateVersion) bool {
	return k.Revision > other.Revision || k.Cursor > other.Cursor
}

// Snapshot returns what this daemon knows beyond what another one does.
func (b *Broker) Snapshot(other StateVersion) Snapshot {
	view, now := b.fleet.View(), time.Now()
	var s Snapshot
	if view.Routing != nil && view.Routing.Revision > other.Revision {
		s.Routing = view.Routing.Document()
	}
	if view.ListCursor <= other.Cursor || view.Stale(now) {
		return s
	}
	var ok bool
	if s.List, ok = view.ChangesAfter(other.Cursor, now); !ok {
		s.List = view.List(now)
	}
	return s
}

// fetch fetches what others know beyond this daemon, from one at a time, until
// ctx ends. It is no part of the news: it is large, and a renewal is not.
func (b *Broker) fetch(ctx context.Context) {
	for {
		select {
		case <-b.fetching:
		case <-ctx.Done():
			return
		}
		time.Sleep(offerTime)
		for {
			o, ok := b.bestOffer()
			if !ok || ctx.Err() != nil {
				break
			}
			if err := b.fetchFrom(ctx, o.from); err != nil && ctx.Err() == nil {
				b.log.FetchFailed(o.from.Address, err)
			}
		}
	}
}

// bestOffer takes the nearest newer offer. Strong daemons have the links to
// serve many.
func (b *Broker) bestOffer() (offer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known()
	maps.DeleteFunc(b.offers, func(_ mangomodel.Address, o offer) bool { return !o.known.beyond(known) })
	if len(b.offers) == 0 {
		return offer{}, false
	}
	best := slices.MinFunc(slices.Collect(maps.Values(b.offers)), func(x, y offer) int {
		return cmp.Or(
			cmp.Compare(b.distance(x.from), b.distance(y.from)),
			compareTrue(x.from.Strong, y.from.Strong),
			cmp.Compare(y.known.Revision, x.known.Revision),
		)
	})
	delete(b.offers, best.from.Address)
	return best, true
}

// distance is 0 within the data centre, 1 within the region, 2 beyond.
func (b *Broker) distance(m mangoroster.Member) int {
	switch {
	case m.DataCentre == b.self.DataCentre:
		return 0
	case b.regions[m.DataCentre] == b.regions[b.self.DataCentre]:
		return 1
	default:
		return 2
	}
}

// compareTrue orders true before false.
func compareTrue(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

func (b *Broker) fetchFrom(ctx context.Context, m mangoroster.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	snapshot, err := b.peers.Snapshot(ctx, m.Address, b.known())
	if err != nil {
		return err
	}
	from := mangomodel.PeerName(m.Holder.Daemon)
	if snapshot.List.Cursor > 0 {
		// It may have been as old when it was sent.
		snapshot.List.Age += time.Since(began)
		snapshot.List.From = from
		if err := b.fleet.Do(ctx, snapshot.List); err != nil {
			return err
		}
	}
	return b.takeRouting(ctx, snapshot.Routing, from)
}

func (b *Broker) takeRouting(ctx context.Context, document *mangotraffic.Document, from mangomodel.PeerName) error {
	if document == nil {
		return nil
	}
	routing, err := document.Routing()
	if err != nil {
		return err
	}
	err = b.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing, From: from})
	if mangomodel.HasCode(err, mangomodel.CodeConflict) {
		// A newer one came meanwhile.
		return nil
	}
	return err
}
