package mangorelay

import (
	"context"
	"time"

	"mangolane/core/mangoending"
	"mangolane/core/mangoexchange"
	"mangolane/core/mangotraffic"
)

// confirmEnd returns a fault unless a response that has ended is known to be complete.
// An incomplete one counts as aborted by its server.
func (j *job) confirmEnd(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response) error {
	if !resp.Unframed {
		return nil
	}
	engine := j.service.Engine != nil
	end := mangoending.Close{
		Server:         server,
		WithoutEvents:  engine && resp.Events != nil && j.received == 0 && j.lastEventID == 0,
		WithoutRequest: !engine || j.relay.fleet.View().Backoff(server.ID, time.Now()) > 0,
	}
	if err := mangoending.Confirm(ctx, j.relay.servers, end); err != nil {
		return j.handleAborted(ctx, server, err)
	}
	return nil
}
