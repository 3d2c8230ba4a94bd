package mangorelay

import (
	"context"
	"errors"
	"io"
	"time"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangotraffic"
)

// relayEvents relays whole events until the stream is complete. Only progress
// stops the stall timer: a server may repeat events or send comments without end.
func (j *job) relayEvents(ctx context.Context, server mangotraffic.Server, resp *mangoexchange.Response, stall stallTimer) error {
	resumed, begun := j.headSent, false
	begins := j.origin.build.Load() == nil
	for {
		event, err := resp.Events.Next()
		if errors.Is(err, io.EOF) {
			stall.Stop()
			if err := j.confirmEnd(ctx, server, resp); err != nil {
				return err
			}
			j.observeCompletion(server.ID, resp)
			return j.finishStream(resp.Head)
		}
		if err != nil {
			return j.handleAborted(ctx, server, err)
		}
		if !event.Comment {
			j.received++
			j.endWatch()
		}
		progress := j.isProgress(event)
		if what := j.foreign(event, resumed, resumed && !begun); what != "" {
			return j.handleForeign(server, resp, what)
		}
		if progress {
			stall.Stop()
			if !begun {
				j.relay.paces.add(j.service.Name, time.Since(j.sentAt))
			}
			begun = true
		}
		if progress || event.ID == 0 && !resumed {
			if !event.Comment {
				if err := j.acceptEvent(server, begins); err != nil {
					return err
				}
			}
			if err := j.relayEvent(resp.Head, event); err != nil {
				return err
			}
		}
		if j.received == 1 && !event.Comment {
			j.recordStart()
		}
		// A stream without event ids cannot continue elsewhere.
		if progress && !j.unnumbered {
			stall.Reset(j.stallTimeout())
		}
	}
}

// foreign returns why an event has no place in the stream, or an empty text. joins
// is set before the first new event of a resumed stream.
func (j *job) foreign(event mangotraffic.Event, resumed, joins bool) string {
	switch {
	case (resumed || j.isNumbered()) && event.ID == 0 && !event.Comment:
		return "an event without an id"
	case joins && !j.sparse && event.ID > j.lastEventID+1:
		return "an event after a gap"
	default:
		return ""
	}
}

// isNumbered reports whether the client has received events and all of them had ids.
func (j *job) isNumbered() bool { return j.result.Events > 0 && !j.unnumbered }

// isProgress reports whether an event is new to the client. An event without an
// id is, unless the stream numbers its events.
func (j *job) isProgress(event mangotraffic.Event) bool {
	if event.ID == 0 {
		return j.lastEventID == 0 && !event.Comment
	}
	return event.ID > j.lastEventID
}

// finishStream sends the head of a stream that had no event.
func (j *job) finishStream(h mangoexchange.Head) error {
	if j.headSent {
		return nil
	}
	return j.sendHead(h)
}

func (j *job) relayEvent(h mangoexchange.Head, event mangotraffic.Event) error {
	if !j.headSent {
		if err := j.sendHead(h); err != nil {
			return err
		}
	}
	if !event.Comment {
		j.recordEvent(event.ID)
	}
	return clientFault(j.sink.Write(event.Raw))
}

// recordEvent records an event with data that is sent to the client.
func (j *job) recordEvent(id mangotraffic.EventID) {
	now := time.Now()
	j.result.LongestPause = max(j.result.LongestPause, now.Sub(j.lastEventAt))
	j.lastEventAt = now
	j.result.Events++
	if j.service.Engine != nil {
		j.grant.AddGenerated(max(j.service.Engine.TokensPerEvent, 1))
	}
	j.unnumbered = j.unnumbered || id == 0
	j.sparse = j.sparse || id > j.lastEventID+1
	j.lastEventID = max(j.lastEventID, id)
}

func (j *job) stallTimeout() time.Duration {
	if j.route.MaxPause == 0 {
		return defaultStallTimeout
	}
	return stallFactor * j.route.MaxPause
}
