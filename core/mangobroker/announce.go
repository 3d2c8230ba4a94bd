package mangobroker

import (
	"context"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
)

// applyAnnouncements applies what servers have announced to the sender of a message. The
// list of the message was applied before, so that it is compared with newer entries.
func (b *Broker) applyAnnouncements(ctx context.Context, msg ExchangeMessage) error {
	if b.fleet.View().HasWithdrawn(msg.Withdrawals) {
		return nil
	}
	return b.fleet.Do(ctx, mangofleet.Withdraw{Servers: msg.Withdrawals, From: mangomodel.PeerName(msg.From.Holder.Daemon)})
}
