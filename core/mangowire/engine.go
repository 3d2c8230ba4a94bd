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

// Prefill requests that an engine compute the KV cache of Prompt followed by
// Generated, the text that earlier attempts generated.
type Prefill struct {
	Sequence  mangomodel.Sequence
	Rank      mangomodel.Rank
	Prompt    string
	Generated string
	MaxTokens mangomodel.Tokens
}

// Export requests the KV cache of a sequence from a prefill engine.
type Export struct{ Sequence mangomodel.Sequence }

// Exported describes a KV cache that is transferred to another engine.
type Exported struct {
	Prefill Prefill
	Bytes   mangomodel.Bytes
}

// Import requests that a decode engine fetch a KV cache from the prefill engine
// at From.
type Import struct {
	Sequence mangomodel.Sequence
	From     mangomodel.Address
}

// Decode requests the stream of a sequence from an offset, in tokens. The
// response has one Chunk on each line.
type Decode struct {
	Sequence  mangomodel.Sequence
	Rank      mangomodel.Rank
	MaxTokens mangomodel.Tokens
	Offset    mangomodel.Tokens
}

// Chunk is one token of a stream. Build is the software of the engine that generated it;
// the tokens of one response have the same.
type Chunk struct {
	Request mangomodel.RequestID
	Attempt mangomodel.Attempt
	Offset  mangomodel.Tokens
	Text    string
	Last    bool             `json:",omitempty"`
	Build   mangomodel.Build `json:",omitempty"`
}

// Cancel requests that an engine free all resources of a sequence.
type Cancel struct{ Sequence mangomodel.Sequence }

// Load is a backend server's load report.
type Load struct {
	Boot       string
	Build      mangomodel.Build `json:",omitempty"`
	Draining   bool
	Running    []mangomodel.Sequence
	FreePieces mangomodel.Pieces
}
