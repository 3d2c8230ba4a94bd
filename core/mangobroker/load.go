package mangobroker

import (
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangoload"
	"mangolane/core/mangoroster"
)

// loads returns the load records that a renewal at a scheduler reports.
func (b *Broker) loads(m mangoroster.Member) mangoload.Records {
	return b.fleet.View().Loads(m.Holder.Daemon, time.Now())
}

// setLoads applies the load records of a scheduler's response. Those of a daemon that does
// not schedule a service miss the calls of others.
func (b *Broker) setLoads(list mangoload.Records) {
	if len(list) > 0 {
		b.apply(mangofleet.SetSharedLoads{Loads: list})
	}
}
