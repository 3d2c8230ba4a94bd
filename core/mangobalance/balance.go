// Package mangobalance decides how many of a service's engines prefill and how
// many decode.
//
// The throughput of the whole is that of the scarcer stage. The capacity of a
// stage follows from measured rates and from the mean work of a request, not
// from the queue, so that the decision does not swing with bursts.
//
// # Usage
//
//	n, ok := mangobalance.Prefillers(mangobalance.Workload{...}, 6, 12)
package mangobalance

import (
	"time"

	"mangolane/core/mangomodel"
)

const (
	// prefillMargin is how much more prefill than decode capacity there has to
	// be: prompts arrive in bursts, and a waiting prefill idles a slot.
	prefillMargin = 1.15
	// leastGain is the gain in throughput below which no engine is moved. A
	// move takes an engine away for some seconds.
	leastGain = 0.1
	// lossShare is the share of the time in which one engine of a stage is
	// taken to be missing.
	lossShare = 0.25
)

// Workload is the mean request and what an engine does with it.
type Workload struct {
	// Prompt and Output are the tokens of the mean request.
	Prompt, Output mangomodel.Tokens
	// PrefillRate and DecodeRate, the latter of one request, are those of an
	// engine.
	PrefillRate, DecodeRate mangomodel.TokensPerSecond
	// Slots and KVTokens bound the requests that decode at once.
	Slots    mangomodel.Slots
	KVTokens mangomodel.Tokens
}

// Prefillers returns how many of the engines should prefill, given how many of
// them do now. It reports false if a change would gain too little.
func Prefillers(w Workload, prefillers, decoders int) (int, bool) {
	total := prefillers + decoders
	if total < 2 || w.Prompt <= 0 || w.Output <= 0 {
		return prefillers, false
	}
	best, most := prefillers, w.expected(prefillers, decoders)*(1+leastGain)
	for n := 1; n < total; n++ {
		if t := w.expected(n, total-n); t > most {
			best, most = n, t
		}
	}
	return best, best != prefillers
}

// expected returns the throughput with the loss of one engine reckoned in:
// engines come and go, and a stage of few suffers most from that.
func (w Workload) expected(prefillers, decoders int) float64 {
	return (1-2*lossShare)*w.throughput(prefillers, decoders) +
		lossShare*w.throughput(prefillers-1, decoders) + lossShare*w.throughput(prefillers, decoders-1)
}

// throughput returns the requests a second that the engines can carry.
func (w Workload) throughput(prefillers, decoders int) float64 {
	prefill := float64(prefillers) * float64(w.PrefillRate) / float64(w.Prompt) / prefillMargin
	return min(prefill, float64(decoders)*w.decodeThroughput())
}

// decodeThroughput returns the requests a second of one decode engine. A
// request keeps half of its output in memory on average.
func (w Workload) decodeThroughput() float64 {
	memory := float64(w.Prompt) + float64(w.Output)/2
	concurrent := min(float64(w.Slots), float64(w.KVTokens)/memory)
	duration := float64(w.Output) / float64(w.DecodeRate)
	return concurrent / duration
}

// ReversalCooldown is how long no engine is moved the other way. Measured rates differ
// between the splits, so that the decision would swing.
const ReversalCooldown = 20 * time.Second

// SettleTime is how long a move has to have been over before the next one to the
// same engine.
const SettleTime = 12 * time.Second
