// Package mangoexchange holds the values of exchanges with backend servers: the
// options of a request, the open response, and the records of an exchange and of
// a finished call.
//
// An exchange is one request to a backend server and its response.
//
// # Usage
//
//	resp, err := servers.Run(ctx, server, call, mangoexchange.RunOptions{Stream: true})
//	defer resp.Close()
//	event, err := resp.Events.Next()
package mangoexchange

import (
	"io"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Phase -trimprefix=Phase -text -output=phase_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=End -trimprefix=End -text -output=end_string.go

// RunOptions are the options that a relay adds to a call.
type RunOptions struct {
	// Source is the KV cache to fetch, or nil.
	Source *mangotraffic.KVSource
	// LastEventID is the last event that the client has received.
	LastEventID mangotraffic.EventID
	// Stream is set if the response is read event by event.
	Stream bool
}

// Head is the status and the header of a response.
type Head struct {
	Status int
	Header mangotraffic.HeaderFields
}

// Response is a server's response with an open body.
type Response struct {
	Head Head
	// NotRun is set if the server states that it did not run the call.
	NotRun bool
	// Refusal is set if the status tells clients that the call did not run.
	Refusal bool
	// Load is the load that the server reports, or nil.
	Load *mangotraffic.LoadReport
	// AsksForTime is set if the server wants nothing from this daemon for some time.
	AsksForTime bool
	// Misdirected is set if the address belongs to another server now.
	Misdirected bool
	// Unframed is set if only the end of the connection ends the response.
	Unframed bool
	// Body is nil for a stream of events.
	Body io.ReadCloser
	// Events is nil for every other response.
	Events EventReader
}

// Close ends the exchange. Servers cancel the work of an exchange that is closed
// early.
func (r *Response) Close() error {
	if r.Events != nil {
		return r.Events.Close()
	}
	return r.Body.Close()
}

// EventReader reads a stream of events.
type EventReader interface {
	// Next returns the next whole event, or io.EOF at the end of a complete
	// stream.
	Next() (mangotraffic.Event, error)
	Close() error
}

// Phase is the purpose of an exchange with a server.
type Phase int

const (
	// PhasePrefill computes a KV cache. A failed release of a KV cache is recorded
	// under this phase too.
	PhasePrefill Phase = iota
	// PhaseRun runs the call.
	PhaseRun
)

// NumPhases is the number of phases.
const NumPhases = 2

// End is who or what ended an exchange or a call.
type End int

const (
	// EndServer is the end by the server: its response, its error or its silence.
	EndServer End = iota
	// EndAdmission is a refusal by a daemon.
	EndAdmission
	// EndClient is the client's disconnect.
	EndClient
	// EndDeadline is the deadline of the call or of its start.
	EndDeadline
	// EndWatchdog is the cancellation in favour of another server.
	EndWatchdog
	// EndQuarantine is the quarantine of a part of the prompt.
	EndQuarantine
	// EndStop is the stop of this daemon.
	EndStop
)

// Exchange records one exchange with a server.
type Exchange struct {
	Call   *mangotraffic.Call
	Route  *mangotraffic.Route
	Server mangotraffic.Server
	Phase  Phase
	// Attempt counts the call's leases from 1.
	Attempt mangomodel.Attempt
	// Lease is the granted lease with the inputs of the scheduler's decision.
	Lease mangolease.Lease
	// Took is the time to the end of the exchange, with the response body or the
	// whole stream. For a plain call it includes the time in the queue.
	Took time.Duration
	// ListAge is the age of the server list that was used.
	ListAge time.Duration
	// Age is the time since the call arrived.
	Age time.Duration
	// Events counts the events that this exchange has relayed.
	Events  int
	EndedBy End
	Err     error
}

// Result records a finished call.
type Result struct {
	Call  *mangotraffic.Call
	Route *mangotraffic.Route
	// Revision is the revision of the configuration that was used.
	Revision mangomodel.Revision
	Status   int
	Attempts mangomodel.Attempt
	// Place is the place that the call's last lease had in the queue.
	Place mangolease.Place
	// TimeToFirstByte is the time to the response head or, for a stream, to the
	// first event.
	TimeToFirstByte time.Duration
	// Took is the time from the arrival of the call to its end.
	Took time.Duration
	// Events counts the events sent to the client.
	Events int
	// LongestPause is the longest time between two events.
	LongestPause time.Duration
	EndedBy      End
	Err          error
}

// OnTime reports whether the call met its route's targets.
func (r *Result) OnTime() bool {
	if r.Err != nil || r.Route == nil || r.TimeToFirstByte > r.Route.TargetLatency {
		return false
	}
	return r.Route.MaxPause == 0 || r.LongestPause <= r.Route.MaxPause
}
