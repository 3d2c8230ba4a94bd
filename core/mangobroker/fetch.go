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
	// fetchTimeout bounds the fetch of some dozen KB while other daemons fetch
	// the same over the same link.
	fetchTimeout = 2 * time.Second
	// offerWindow is how long offers are collected before a fetch, so that it
	// goes to a near daemon and not to the first that offered: a round trip
	// between regions.
	offerWindow = 30 * time.Millisecond
)

// StateVersion is the configuration revision and the position in the list of
// servers that a daemon has reached.
type StateVersion struct {
	Revision mangomodel.Revision
	Cursor   mangotraffic.Cursor
}

// Snapshot is the state of a daemon that is newer than another daemon's.
type Snapshot struct {
	// Routing is nil if the other daemon has the same revision or a newer one.
	Routing *mangotraffic.Document
	// RoutingAge is the time since the daemon knew its configuration to be the newest one.
	RoutingAge time.Duration
	// List is the whole list or the changes to it. Its cursor is zero if the other
	// daemon is up to date or the list of this daemon is stale.
	List mangofleet.ChangeServers
}

// offer is a daemon that has newer state.
type offer struct {
	from    mangoroster.Member
	version StateVersion
}

// WithRegions sets the region of each data centre.
func WithRegions(regions map[mangomodel.DataCentreID]mangomodel.RegionID) Option {
	return func(b *Broker) { b.regions = regions }
}

// addOffer records a daemon that has newer state and wakes the fetch goroutine.
func (b *Broker) addOffer(o offer) {
	if !o.version.newerThan(b.stateVersion()) {
		return
	}
	b.mu.Lock()
	b.offers[o.from.Address] = o
	b.mu.Unlock()
	select {
	case b.wakeFetch <- struct{}{}:
	default:
	}
}

// stateVersion returns the state version of this daemon.
func (b *Broker) stateVersion() StateVersion {
	view := b.fleet.View()
	v := StateVersion{Cursor: view.ListCursor}
	if view.Routing != nil {
		v.Revision = view.Routing.Revision
	}
	return v
}

// newerThan reports whether the revision or the cursor is greater than that of
// other.
func (v StateVersion) newerThan(other StateVersion) bool {
	return v.Revision > other.Revision || v.Cursor.After(other.Cursor)
}

// Snapshot returns the state of this daemon that is newer than other.
func (b *Broker) Snapshot(other StateVersion) Snapshot {
	view, now := b.fleet.View(), time.Now()
	var s Snapshot
	if view.Routing != nil && view.Routing.Revision > other.Revision {
		s.Routing, s.RoutingAge = view.Routing.Document(), now.Sub(view.RoutingRead)
	}
	if !view.ListCursor.After(other.Cursor) || view.Stale(now) {
		return s
	}
	var ok bool
	if s.List, ok = view.ChangesAfter(other.Cursor, now); !ok {
		s.List = view.List(now)
	}
	return s
}

// fetch fetches newer state from other daemons, one at a time, until ctx ends.
// Snapshots are large and renewals are small, so exchange messages do not carry
// them.
func (b *Broker) fetch(ctx context.Context) {
	for {
		select {
		case <-b.wakeFetch:
		case <-ctx.Done():
			return
		}
		time.Sleep(offerWindow)
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

// bestOffer removes and returns the nearest offer of newer state. Daemons with
// the capacity to schedule are preferred, since their links can serve many.
func (b *Broker) bestOffer() (offer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.stateVersion()
	maps.DeleteFunc(b.offers, func(_ mangomodel.Address, o offer) bool { return !o.version.newerThan(own) })
	if len(b.offers) == 0 {
		return offer{}, false
	}
	best := slices.MinFunc(slices.Collect(maps.Values(b.offers)), func(x, y offer) int {
		return cmp.Or(
			cmp.Compare(b.distance(x.from), b.distance(y.from)),
			mangomodel.TrueFirst(x.from.Strong, y.from.Strong),
			cmp.Compare(y.version.Revision, x.version.Revision),
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

func (b *Broker) fetchFrom(ctx context.Context, m mangoroster.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	start := time.Now()
	snapshot, err := b.peers.Snapshot(ctx, m.Address, b.stateVersion())
	if err != nil {
		return err
	}
	from := mangomodel.PeerName(m.Holder.Daemon)
	// The state may have aged for as long as the call took.
	took := mangomodel.Elapsed(start, time.Now())
	if !snapshot.List.Cursor.IsZero() {
		snapshot.List = snapshot.List.Delayed(took)
		snapshot.List.Age += took
		snapshot.List.From = from
		if err := b.fleet.Do(ctx, snapshot.List); err != nil {
			return err
		}
	}
	return b.installRouting(ctx, snapshot.Routing, snapshot.RoutingAge+took, from)
}

func (b *Broker) installRouting(ctx context.Context, document *mangotraffic.Document, age time.Duration, from mangomodel.PeerName) error {
	if document == nil {
		return nil
	}
	routing, err := document.Routing()
	if err != nil {
		return err
	}
	err = b.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing, Age: age, From: from})
	if mangomodel.HasCode(err, mangomodel.CodeConflict) {
		// A newer revision was installed in the meantime.
		return nil
	}
	return err
}
