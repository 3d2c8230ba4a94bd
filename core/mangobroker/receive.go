package mangobroker

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// Receive applies another daemon's message and returns the response.
func (b *Broker) Receive(ctx context.Context, msg ExchangeMessage) (ExchangeMessage, error) {
	// The list of a request is not applied. It may be older than its age says,
	// since the request may have been delayed in transit. Responses arrive within
	// exchangeTimeout or not at all.
	msg.List.Changes, msg.List.Full, msg.RevisionAge = nil, false, 0
	position := msg.List.Cursor
	msg.List.Cursor = mangotraffic.Cursor{}
	if err := b.applyMessage(ctx, msg); err != nil {
		return ExchangeMessage{}, err
	}
	msg.List.Cursor = position
	renew := mangofleet.Renew{Holder: msg.From.Holder, Leases: msg.Leases, Usages: msg.Usages, Outcomes: msg.Outcomes, Backoffs: msg.Backoffs, Loads: msg.Loads}
	if err := b.fleet.Do(ctx, renew); err != nil {
		return ExchangeMessage{}, err
	}
	response := b.Compose(msg)
	response.Allowances = b.fleet.View().Allowances(msg.From.Holder)
	response.Ejections = b.fleet.View().Ejections
	response.QuotaLoans = b.renewQuota(ctx, msg.From, msg.Quota)
	if len(msg.Loads) > 0 {
		response.Loads = b.fleet.View().SharedLoads(time.Now())
	}
	return response, nil
}

// applyMessage applies the members, the crashes, the reads, the age of the configuration,
// the list changes and the announcements of a message, and records the sender as an offer
// if it has newer state.
func (b *Broker) applyMessage(ctx context.Context, msg ExchangeMessage) error {
	sightings := append([]mangoroster.Sighting{{Member: msg.From}}, msg.Members...)
	if err := b.fleet.Do(ctx, mangofleet.UpdateMembers{Sightings: sightings}); err != nil {
		return err
	}
	if msg.Suspects.Adds(b.fleet.View().Crashes(true)) {
		if err := b.fleet.Do(ctx, mangofleet.MergeCrashes{Message: msg.Suspects}); err != nil {
			return err
		}
	}
	if !msg.Quarantine.Empty() {
		if err := b.fleet.Do(ctx, mangofleet.MergeQuarantine{Message: msg.Quarantine}); err != nil {
			return err
		}
	}
	if b.fleet.View().Informs(msg.Reads, time.Now()) {
		if err := b.fleet.Do(ctx, mangofleet.RecordReads{Daemon: msg.From.Holder.Daemon, Reads: msg.Reads}); err != nil {
			return err
		}
	}
	if msg.RevisionAge > 0 {
		if err := b.fleet.Do(ctx, mangofleet.RoutingConfirmed{Revision: msg.Revision, Age: msg.RevisionAge}); err != nil {
			return err
		}
	}
	if err := b.applyList(ctx, msg); err != nil {
		return err
	}
	if err := b.applyAnnouncements(ctx, msg); err != nil {
		return err
	}
	version := StateVersion{Revision: msg.Revision, Cursor: msg.List.Cursor}
	if msg.From.Stale {
		version.Cursor = mangotraffic.Cursor{}
	}
	b.addOffer(offer{from: msg.From, version: version})
	return nil
}

// applyList applies the list changes of a message. A message without changes
// confirms that the list at the message's position is current.
func (b *Broker) applyList(ctx context.Context, msg ExchangeMessage) error {
	if msg.List.Cursor.IsZero() || msg.From.Stale {
		return nil
	}
	msg.List.From = mangomodel.PeerName(msg.From.Holder.Daemon)
	return b.fleet.Do(ctx, msg.List)
}
