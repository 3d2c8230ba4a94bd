// Package mangoending decides whether a response is complete although its server has
// not stated where it ends.
//
// A response with neither a length nor chunks ends with its connection. The operating
// system closes the connections of a process that ends, so a close between two events
// does not tell a finished stream from a crash. What the server does after the close
// tells them apart. A load report of the same incarnation shows that the process that
// closed the connection was still running. A server without load reports, and one that
// must not be sent a request now, is asked for a connection only. A server that refuses
// connections has ended, and so has one whose id or address belongs to another
// incarnation. A server that does not reply is asked again until Patience has passed,
// since a sound one may be silent for a while.
//
// The token counts of a call are no evidence: an event may hold several tokens or
// none, and a generation may end before its limit. Only a generation without any event
// is known to be incomplete.
//
// # Usage
//
//	event, err := events.Next()
//	if errors.Is(err, io.EOF) {
//		err = mangoending.Confirm(ctx, servers, mangoending.Close{Server: server})
//	}
package mangoending

import (
	"context"
	"errors"
	"syscall"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Evidence -trimprefix=Evidence -text -output=evidence_string.go

const (
	// Patience is how long a server may take to reply. Servers are silent for a second
	// and a half at most, and clients leave a stream after two seconds without an event.
	Patience = 2 * time.Second
	// queryInterval is the pause between two queries.
	queryInterval = 100 * time.Millisecond
)

// Evidence is what a query after the close shows about the server.
type Evidence int

const (
	// EvidenceNone shows nothing.
	EvidenceNone Evidence = iota
	// EvidenceRunning shows that the process that sent the response still runs.
	EvidenceRunning
	// EvidenceEnded shows that the process has ended.
	EvidenceEnded
)

var (
	errNoEvent = errors.New("the connection was closed before the first event")
	errEnded   = errors.New("the connection was closed, and the server has ended")
	errSilent  = errors.New("the connection was closed, and the server does not reply")
	errLeft    = errors.New("the connection was closed, and the call ended before the server replied")
)

// Close is the end of a response by a close of its connection.
type Close struct {
	Server mangotraffic.Server
	// WithoutEvents is set if the response has no event although it is a generation from
	// its beginning.
	WithoutEvents bool
	// WithoutRequest is set if the server must not be sent a request, or has no load
	// reports.
	WithoutRequest bool
}

// Servers queries servers.
type Servers interface {
	// Report returns a load report.
	Report(ctx context.Context, server mangotraffic.Server) (mangotraffic.LoadReport, error)
	// Connect opens a connection and closes it without a request.
	Connect(ctx context.Context, server mangotraffic.Server) error
}

// Confirm returns nil if a response that ended with its connection is complete, and a
// fault if that is not known.
func Confirm(ctx context.Context, s Servers, c Close) error {
	if c.WithoutEvents {
		return fault(c.Server.ID, errNoEvent)
	}
	patience, cancel := context.WithTimeout(ctx, Patience)
	defer cancel()
	for {
		report, err := query(patience, s, c)
		switch Weigh(c.Server, report, err) {
		case EvidenceRunning:
			return nil
		case EvidenceEnded:
			return fault(c.Server.ID, errors.Join(errEnded, err))
		}
		select {
		case <-time.After(queryInterval):
		case <-patience.Done():
			if ctx.Err() != nil {
				return fault(c.Server.ID, errors.Join(errLeft, err))
			}
			return fault(c.Server.ID, errors.Join(errSilent, err))
		}
	}
}

func query(ctx context.Context, s Servers, c Close) (mangotraffic.LoadReport, error) {
	if c.WithoutRequest {
		return mangotraffic.LoadReport{}, s.Connect(ctx, c.Server)
	}
	return s.Report(ctx, c.Server)
}

func fault(id mangomodel.ServerID, err error) error {
	return mangomodel.NewFault(mangomodel.StepCall, mangomodel.PeerName(id), mangomodel.CodeUnavailable, mangomodel.RunUnknown, err)
}

// Weigh returns what the outcome of a query shows about an incarnation of a server.
func Weigh(server mangotraffic.Server, report mangotraffic.LoadReport, err error) Evidence {
	switch {
	case err == nil && isKnown(report.Born) && isKnown(server.Born) && !report.Born.Equal(server.Born):
		return EvidenceEnded
	case err == nil:
		return EvidenceRunning
	case errors.Is(err, syscall.ECONNREFUSED), mangomodel.HasCode(err, mangomodel.CodeNotFound):
		return EvidenceEnded
	case mangomodel.HasCode(err, mangomodel.CodeOverloaded), mangomodel.HasCode(err, mangomodel.CodeBackend):
		// The server replies, though not with a report.
		return EvidenceRunning
	default:
		return EvidenceNone
	}
}

// isKnown reports whether a server states when it started.
func isKnown(born time.Time) bool { return born.UnixMilli() > 0 }
