package mangoengine

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

// Marks in a prompt that crash every engine which does the named work for it.
const (
	PoisonPrefill = "!poison-prefill"
	PoisonDecode  = "!poison-decode"
)

// Profile is an engine's size and speed.
type Profile struct {
	// PrefillRate is the speed of prefill; one prompt is computed at a time.
	PrefillRate mangomodel.TokensPerSecond
	// StepBase and StepPerSequence give the time of a decode step.
	StepBase, StepPerSequence time.Duration
	Slots                     mangomodel.Slots
	Pieces                    mangomodel.Pieces
	PieceTokens               mangomodel.Tokens
	// ResultTTL is how long a prefill's result survives.
	ResultTTL time.Duration
	// KVBytesPerToken and LinkRate give the time of a transfer.
	KVBytesPerToken mangomodel.Bytes
	LinkRate        mangomodel.BytesPerSecond
	// CachedPrefixes is how many prefix blocks the cache holds.
	CachedPrefixes int
	// RestartTime is how long a crashed engine is away.
	RestartTime time.Duration
}

// DefaultProfile returns an engine that decodes 20 requests at 20 to 30 ms a
// token and prefills 2,000 tokens in 0.1 s.
func DefaultProfile() Profile {
	return Profile{
		PrefillRate: 20000, StepBase: 10 * time.Millisecond, StepPerSequence: 750 * time.Microsecond,
		Slots: 20, Pieces: 60, PieceTokens: 2000, ResultTTL: 800 * time.Millisecond,
		KVBytesPerToken: 128 << 10, LinkRate: 10 << 30, CachedPrefixes: 2048, RestartTime: 2 * time.Second,
	}
}

// Faults are the failures that an engine shows.
type Faults struct {
	// StallTransfers makes exports never answer.
	StallTransfers bool
	// CrossChunks puts a chunk of another request before each chunk.
	CrossChunks bool
	// RepeatChunks delivers each chunk twice.
	RepeatChunks bool
	// Draining makes the engine ask for no new work.
	Draining bool
	// Down makes the engine refuse connections.
	Down bool
}

// Token returns the token of an answer at an offset.
func Token(prompt string, offset mangomodel.Tokens) string {
	return fmt.Sprintf("%04x", uint16(xxhash.Sum64String(fmt.Sprintf("%d|%s", offset, prompt))))
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt string, n mangomodel.Tokens) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
