package mangotraffic

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

// EventID numbers the events of a stream.
type EventID int64

// HeaderFields are the header fields that are forwarded unchanged.
type HeaderFields map[string][]string

// Call is a client request.
type Call struct {
	// ID is chosen by the client, which uses a new one for each attempt. It may
	// be empty.
	ID     mangomodel.RequestID
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   HostName
	Header HeaderFields
	Body   Body
	// Arrived is when the call was read.
	Arrived time.Time
	// Deadline is when the client stops waiting, or earlier once the relay has
	// applied the route's timeout.
	Deadline time.Time
	// Generation is set for calls that carry a prompt.
	Generation *Generation
	// Parts are the parts of the prompt that other calls may share, in order.
	Parts []mangomodel.PartID
	// LastEventID is the last event that the client received of an earlier stream.
	LastEventID EventID
	// Resumes is the ID of the client's attempt that received the first event of that
	// stream; empty if the client does not say.
	Resumes mangomodel.RequestID
	// Content is set once the whole call has been read. Fingerprint is the same for all
	// retries of a call by its client, and differs between callers; Identify sets it.
	Content     ContentHash
	Fingerprint mangomodel.Fingerprint
	// Key is the digest of the key that the client sent, if HasKey is set.
	Key    mangoworkspace.Digest
	HasKey bool
	// Restricted is set if the configuration has workspaces: servers must not see what
	// the client sent as its key or as its workspace.
	Restricted bool
	// Workspace is the one that the key belongs to; empty on a public route and without
	// workspaces.
	Workspace mangomodel.WorkspaceID
	// Priority is the rank of the call once the relay has determined it. Servers receive it
	// if Restricted is set.
	Priority Priority
}

// Generation describes the work of a generation request.
type Generation struct {
	Prompt mangomodel.Tokens
	// MaxOutput bounds the generated tokens.
	MaxOutput mangomodel.Tokens
	// OutputHint is the client's estimate of the generated tokens, often
	// inaccurate. Zero means none.
	OutputHint mangomodel.Tokens
}

// defaultOutputShare is the share of MaxOutput that is expected without a hint.
const defaultOutputShare = 0.5

// ExpectedOutput returns the estimated total number of output tokens of a
// generation, given the number generated so far.
func (g *Generation) ExpectedOutput(generated mangomodel.Tokens) mangomodel.Tokens {
	expected := mangomodel.Tokens(float64(g.MaxOutput) * defaultOutputShare)
	if g.OutputHint > 0 {
		expected = (expected + g.OutputHint) / 2
	}
	// A generation that exceeds the estimate is expected to add a fifth of its
	// output so far.
	const overrunDivisor = 5
	expected = max(expected, generated+generated/overrunDivisor)
	return min(expected, max(g.MaxOutput, generated))
}

// StreamID identifies a stream by the client's attempt that received its first event.
type StreamID struct {
	Service ServiceName
	Request mangomodel.RequestID
}

// KVSource is a KV cache that a server fetches before it generates.
type KVSource struct {
	// Server is the server that holds it.
	Server ServerRef
	Handle HandleID
}

// HandleID identifies a prefilled KV cache at the engine that holds it.
type HandleID string

// Event is one event of a stream with its encoded bytes.
type Event struct {
	// ID is zero for an event without an id.
	ID  EventID
	Raw []byte
	// Comment is set if the event carries no data.
	Comment bool
}

// LoadReport is the load that a server reports.
type LoadReport struct {
	Running, Waiting int
	Slots            mangomodel.Slots
	// KVUsed is the KV memory in use at an engine.
	KVUsed mangomodel.Tokens
	// Slowdown is how long work takes on the server's host at this moment, relative
	// to the usual time; zero if the server does not say.
	Slowdown float64
	// Orders is the number of orders that an engine has accepted since its start.
	Orders int64
	// Born is when an engine started; zero if it does not say.
	Born time.Time
}
