// Package mangoexchange holds the values of exchanges with backend servers:
// what is added to a call, the open answer, and what is told of an exchange and
// of a finished call.
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

// RunOptions are what a relay adds to a call.
type RunOptions struct {
	// Source is where the KV cache is fetched from.
	Source *mangotraffic.KVSource
	// LastEventID is the last event that was passed on.
	LastEventID mangotraffic.EventID
	// Stream is set when the answer is read event by event.
	Stream bool
}

// Head is the status and the fields of an answer.
type Head struct {
	Status int
	Header mangotraffic.HeaderFields
}

// Response is an open answer of a server.
type Response struct {
	Head Head
	// NotRun is set when the server says that it did not run the call.
	NotRun bool
	// Load is what the server says of itself, if anything.
	Load *mangotraffic.LoadReport
	// Misdirected is set when the address belongs to another server now.
	Misdirected bool
	// Body is nil for a stream of events.
	Body io.ReadCloser
	// Events is nil for every other answer.
	Events EventReader
}

// Close ends the exchange. Servers stop the work of an exchange that ends
// early.
func (a *Response) Close() error {
	if a.Events != nil {
		return a.Events.Close()
	}
	return a.Body.Close()
}

// EventReader reads a stream.
type EventReader interface {
	// Next returns the next whole event, and io.EOF after a stream that ended
	// as complete.
	Next() (mangotraffic.Event, error)
	Close() error
}

// Phase is what an exchange with a server was for.
type Phase int

const (
	// PhasePrefill computes a KV cache.
	PhasePrefill Phase = iota
	// PhaseRun runs the call.
	PhaseRun
)

// NumPhases is the number of phases.
const NumPhases = 2

// Exchange is one exchange with a server, for an Observer.
type Exchange struct {
	Call   *mangotraffic.Call
	Route  *mangotraffic.Route
	Server mangotraffic.Server
	Phase  Phase
	// Attempt counts the call's leases from 1.
	Attempt mangomodel.Attempt
	// Lease is what the scheduler granted, and by which inputs.
	Lease mangolease.Lease
	// Took is the time to the answer's head.
	Took time.Duration
	// ListAge is the age of the list of servers that was used.
	ListAge time.Duration
	Err     error
}

// Result sums up a call, for an Observer.
type Result struct {
	Call  *mangotraffic.Call
	Route *mangotraffic.Route
	// Revision is the configuration that was used.
	Revision mangomodel.Revision
	Status   int
	Attempts mangomodel.Attempt
	// TimeToFirstByte is the time to the answer, or to the first event.
	TimeToFirstByte time.Duration
	Took            time.Duration
	// Events counts the passed events.
	Events int
	// LongestPause is the longest time between two events.
	LongestPause time.Duration
	Err          error
}

// OnTime reports whether the call met its route's targets.
func (r *Result) OnTime() bool {
	if r.Err != nil || r.Route == nil || r.TimeToFirstByte > r.Route.TargetLatency {
		return false
	}
	return r.Route.MaxPause == 0 || r.LongestPause <= r.Route.MaxPause
}
