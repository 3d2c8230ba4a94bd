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
)

const (
	// fetchTimeout bounds the fetching of a configuration: some dozen KB, while
	// others fetch it over the same link.
	fetchTimeout = 2 * time.Second
	// offerTime is how long offers of a configuration are gathered, so that a
	// near daemon is asked rather than the first that was heard: a round trip
	// between regions.
	offerTime = 30 * time.Millisecond
)

// offer is a daemon that has a newer configuration.
type offer struct {
	from     mangoroster.Member
	revision mangomodel.Revision
}

// WithRegions says which region each data centre is in.
func WithRegions(regions map[mangomodel.DataCentreID]mangomodel.RegionID) Option {
	return func(b *Broker) { b.regions = regions }
}

// offered notes what configuration a daemon has.
func (b *Broker) offered(o offer) {
	if !b.newer(o) {
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

// newer reports whether an offer is newer than the configuration in force.
func (b *Broker) newer(o offer) bool {
	view := b.fleet.View()
	return o.revision > 0 && (view.Routing == nil || o.revision > view.Routing.Revision)
}

// fetch fetches newer configurations, one at a time, until ctx ends. They are
// no part of the news: they are large, and a renewal is not.
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
	maps.DeleteFunc(b.offers, func(_ mangomodel.Address, o offer) bool { return !b.newer(o) })
	if len(b.offers) == 0 {
		return offer{}, false
	}
	best := slices.MinFunc(slices.Collect(maps.Values(b.offers)), func(x, y offer) int {
		return cmp.Or(
			cmp.Compare(b.distance(x.from), b.distance(y.from)),
			compareTrue(x.from.Strong, y.from.Strong),
			cmp.Compare(y.revision, x.revision),
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
	document, err := b.peers.Routing(ctx, m.Address)
	if err != nil {
		return err
	}
	routing, err := document.Routing()
	if err != nil {
		return err
	}
	err = b.fleet.Do(ctx, mangofleet.InstallRouting{Routing: routing, From: mangomodel.PeerName(m.Holder.Daemon)})
	if mangomodel.HasCode(err, mangomodel.CodeConflict) {
		// A newer one came meanwhile.
		return nil
	}
	return err
}
