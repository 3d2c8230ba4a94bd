package mangoexchange

import (
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=WasteCause -trimprefix=Waste -text -output=wastecause_string.go

// WasteCause is why a prefill was wasted.
type WasteCause int

const (
	// WasteClientLeft is the disconnect of the client before it received anything.
	WasteClientLeft WasteCause = iota
	// WasteEngineLost is a crash, an error or the leaving of an engine, or one that stopped
	// responding.
	WasteEngineLost
	// WasteHandleExpired is a KV cache that was not fetched within its lifetime.
	WasteHandleExpired
	// WasteDecodeRefused is a KV cache that no decode engine had room for, or could fetch.
	WasteDecodeRefused
	// WasteStopped is the stop of this daemon.
	WasteStopped
	// WastePreempted is a stream that an engine which still responds left waiting, and that
	// went on elsewhere.
	WastePreempted
	// WasteLate is a call whose deadline, or whose limit for its start, had passed.
	WasteLate
)

// Waste records a prefill whose KV cache was not used, or that had to be repeated.
type Waste struct {
	Call   *mangotraffic.Call
	Route  *mangotraffic.Route
	Server mangomodel.ServerID
	Cause  WasteCause
	// Tokens is the length of the prompt.
	Tokens mangomodel.Tokens
	// Attempt is the number of the lease that the prefill had.
	Attempt mangomodel.Attempt
}
