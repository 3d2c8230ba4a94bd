package mangoengine

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

// Substrings of a prompt that crash every engine that runs the named phase of
// it.
const (
	PoisonPrefill = "!poison-prefill"
	PoisonDecode  = "!poison-decode"
)

// Profile is an engine's size, speed and software.
type Profile struct {
	// Build is the version of the software. Builds generate different tokens: those of
	// [Token] for the prompt after the build.
	Build mangomodel.Build
	// PrefillRate is the speed of prefill. Prompts are computed one at a time.
	PrefillRate mangomodel.TokensPerSecond
	// StepBase and StepPerSequence determine the duration of a decode step:
	// StepBase plus StepPerSequence for each sequence that is decoded.
	StepBase, StepPerSequence time.Duration
	Slots                     mangomodel.Slots
	Pieces                    mangomodel.Pieces
	PieceTokens               mangomodel.Tokens
	// ResultTTL is how long a prefill result is kept unless it is exported.
	ResultTTL time.Duration
	// KVBytesPerToken and LinkRate determine the duration of a KV transfer.
	KVBytesPerToken mangomodel.Bytes
	LinkRate        mangomodel.BytesPerSecond
	// CachedPrefixes is how many prefix blocks the cache holds.
	CachedPrefixes int
	// RestartTime is how long an engine is down after a crash.
	RestartTime time.Duration
}

// DefaultProfile returns the profile of an engine that decodes 20 requests at
// 20 to 30 ms per token and prefills 2,000 tokens in 0.1 s.
func DefaultProfile() Profile {
	return Profile{
		PrefillRate: 20000, StepBase: 10 * time.Millisecond, StepPerSequence: 750 * time.Microsecond,
		Slots: 20, Pieces: 60, PieceTokens: 2000, ResultTTL: 800 * time.Millisecond,
		KVBytesPerToken: 128 << 10, LinkRate: 10 << 30, CachedPrefixes: 2048, RestartTime: 2 * time.Second,
	}
}

// Faults selects the failures that an engine emulates.
type Faults struct {
	// StallTransfers makes exports block until their context ends.
	StallTransfers bool
	// CrossChunks delivers a chunk of another request before each chunk.
	CrossChunks bool
	// RepeatChunks delivers each chunk twice.
	RepeatChunks bool
	// Draining marks the engine as draining in its load reports, so that it
	// gets no new work.
	Draining bool
	// Down makes the engine refuse connections.
	Down bool
}

// Token returns the token at an offset of the response to a prompt.
func Token(prompt string, offset mangomodel.Tokens) string {
	return fmt.Sprintf("%04x", uint16(xxhash.Sum64String(fmt.Sprintf("%d|%s", offset, prompt))))
}

// ExpectedOutput returns the first n tokens of the response to a prompt.
func ExpectedOutput(prompt string, n mangomodel.Tokens) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
