package mangomodel

import "time"

// Units of counts and rates.
type (
	// Tokens counts tokens of a prompt or of generated text.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
	// BytesPerSecond is the transfer rate of a link.
	BytesPerSecond float64
	// TokensPerSecond is the rate of a prefill engine.
	TokensPerSecond float64
	// Slots counts requests that a server can process concurrently.
	Slots int
	// Pieces counts the units in which an engine allocates KV cache memory.
	Pieces int
	// Share is a fraction between 0 and 1.
	Share float64
)

// PiecesFor returns how many pieces of pieceSize tokens hold n tokens.
func PiecesFor(n, pieceSize Tokens) Pieces {
	if n <= 0 || pieceSize <= 0 {
		return 0
	}
	return Pieces((n + pieceSize - 1) / pieceSize)
}

// Duration is a time.Duration that is encoded as text, such as "340ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText returns d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
