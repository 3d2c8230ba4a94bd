package mangotraffic

import (
	"time"

	"mangolane/core/mangomodel"
)

// EventID numbers the events of a stream.
type EventID int64

// HeaderFields are the fields of a message that pass through unchanged.
type HeaderFields map[string][]string

// Call is one request of a client.
type Call struct {
	// ID is the client's own; each of its attempts has another one. It may be
	// empty.
	ID     mangomodel.RequestID
	Method string
	// Target is the path with its query as the client sent it.
	Target string
	Host   HostName
	Header HeaderFields
	Body   []byte
	// Arrived is when the call was read.
	Arrived time.Time
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Generation is set for calls that carry a prompt.
	Generation *Generation
	// LastEventID is the last event that the client holds of an earlier stream.
	LastEventID EventID
	// Fingerprint is the same for all resends of a call by its client.
	Fingerprint mangomodel.Fingerprint
}

// Generation describes the work of a generation request.
type Generation struct {
	Prompt mangomodel.Tokens
	// MaxOutput bounds the generated tokens.
	MaxOutput mangomodel.Tokens
	// OutputHint is the client's estimate of the generated tokens, often far
	// off; zero when there is none.
	OutputHint mangomodel.Tokens
}

// usualOutput is the share of MaxOutput that is expected without a hint.
const usualOutput = 0.5

// ExpectedOutput returns the number of tokens that a generation probably makes, when
// it has made some already.
func (g *Generation) ExpectedOutput(made mangomodel.Tokens) mangomodel.Tokens {
	expected := mangomodel.Tokens(float64(g.MaxOutput) * usualOutput)
	if g.OutputHint > 0 {
		expected = (expected + g.OutputHint) / 2
	}
	// One that has outlived the expectation goes on for a while.
	const goesOn = 5
	expected = max(expected, made+made/goesOn)
	return min(expected, max(g.MaxOutput, made))
}

// KVSource is a KV cache that a server fetches before it generates.
type KVSource struct {
	Server mangomodel.Address
	Handle HandleID
}

// HandleID names a prefilled KV cache at the engine that holds it.
type HandleID string

// Event is one event of a stream with the bytes that carry it.
type Event struct {
	ID  EventID
	Raw []byte
}

// LoadReport is what a server says of its load.
type LoadReport struct {
	Running, Waiting int
	Slots            mangomodel.Slots
	// KVUsed is the KV memory that is in use, for engines.
	KVUsed mangomodel.Tokens
	// Orders is how many orders an engine has accepted since its start.
	Orders int64
}
