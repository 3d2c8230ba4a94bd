package mangowire

import (
	"mangolane/core/mangomodel"
)

// Paths of a backend server.
const (
	PathPrefill = "/engine/prefill"
	PathExport  = "/engine/export"
	PathImport  = "/engine/import"
	PathDecode  = "/engine/decode"
	PathCancel  = "/engine/cancel"
	PathLoad    = "/engine/load"
)

// Prefill asks an engine to compute the KV cache of Prompt followed by
// Generated.
type Prefill struct {
	Sequence  mangomodel.Sequence
	Rank      mangomodel.Rank
	Prompt    string
	Generated string
	MaxTokens mangomodel.Tokens
}

// Export asks a prefill engine for the KV cache of a sequence.
type Export struct{ Sequence mangomodel.Sequence }

// Exported describes a KV cache on its way to another engine.
type Exported struct {
	Prefill Prefill
	Bytes   mangomodel.Bytes
}

// Import asks a decode engine to fetch a KV cache from a prefill engine.
type Import struct {
	Sequence mangomodel.Sequence
	From     mangomodel.Address
}

// Decode asks an engine for the stream of a sequence from an offset. The
// answer is one Chunk on each line.
type Decode struct {
	Sequence  mangomodel.Sequence
	Rank      mangomodel.Rank
	MaxTokens mangomodel.Tokens
	Offset    mangomodel.Tokens
}

// Chunk is one token of a stream.
type Chunk struct {
	Request mangomodel.RequestID
	Attempt mangomodel.Attempt
	Offset  mangomodel.Tokens
	Text    string
	Last    bool `json:",omitempty"`
}

// Cancel asks an engine to free whatever it holds for a sequence.
type Cancel struct{ Sequence mangomodel.Sequence }

// Load is a backend server's report of itself.
type Load struct {
	Boot       string
	Draining   bool
	Running    []mangomodel.Sequence
	FreePieces mangomodel.Pieces
}
