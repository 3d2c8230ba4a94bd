// Package mangobalance decides how many of a service's engines prefill and how
// many decode.
//
// The throughput of a service is that of its scarcer stage. The capacity of a
// stage is computed from measured rates and the mean request, not from the queue,
// so the decision does not oscillate with bursts.
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
	// prefillMargin is the required ratio of prefill to decode capacity: prompts
	// arrive in bursts, and a waiting prefill leaves a decode slot idle.
	prefillMargin = 1.15
	// minGain is the gain in throughput below which no engine changes its stage.
	// A change takes the engine out of service for some seconds.
	minGain = 0.1
	// failureShare is the share of the time in which one engine of a stage is
	// assumed to be missing.
	failureShare = 0.25
)

// Workload is the mean request of a service and the capacity of one engine.
type Workload struct {
	// Prompt and Output are the tokens of the mean request.
	Prompt, Output mangomodel.Tokens
	// PrefillRate and DecodeRate are the rates of one engine; DecodeRate is that
	// of a single request.
	PrefillRate, DecodeRate mangomodel.TokensPerSecond
	// Slots and KVTokens limit the requests that an engine decodes concurrently.
	Slots    mangomodel.Slots
	KVTokens mangomodel.Tokens
}

// Prefillers returns how many of the engines should prefill, given how many
// prefill and decode now. It reports false if a change would gain too little.
func Prefillers(w Workload, prefillers, decoders int) (int, bool) {
	total := prefillers + decoders
	if total < 2 || w.Prompt <= 0 || w.Output <= 0 {
		return prefillers, false
	}
	best, most := prefillers, w.expectedThroughput(prefillers, decoders)*(1+minGain)
	for n := 1; n < total; n++ {
		if t := w.expectedThroughput(n, total-n); t > most {
			best, most = n, t
		}
	}
	return best, best != prefillers
}

// expectedThroughput returns the throughput with the loss of one engine of either
// stage included: engines come and go, and a stage of few engines suffers most.
func (w Workload) expectedThroughput(prefillers, decoders int) float64 {
	return (1-2*failureShare)*w.throughput(prefillers, decoders) +
		failureShare*w.throughput(prefillers-1, decoders) + failureShare*w.throughput(prefillers, decoders-1)
}

// throughput returns the requests per second that the engines can serve.
func (w Workload) throughput(prefillers, decoders int) float64 {
	prefill := float64(prefillers) * float64(w.PrefillRate) / float64(w.Prompt) / prefillMargin
	return min(prefill, float64(decoders)*w.decodeThroughput())
}

// decodeThroughput returns the requests per second of one decode engine. A
// request holds its prompt and on average half of its output in memory.
func (w Workload) decodeThroughput() float64 {
	memory := float64(w.Prompt) + float64(w.Output)/2
	concurrent := min(float64(w.Slots), float64(w.KVTokens)/memory)
	duration := float64(w.Output) / float64(w.DecodeRate)
	return concurrent / duration
}

// ReversalCooldown is how long after a stage change no engine is changed in the
// opposite direction. Measured rates differ between the splits, so the decision
// would oscillate without it.
const ReversalCooldown = 20 * time.Second

// SettleTime is the longest time after the order for a stage change in which the
// engine counts under its new stage and gets no new work. It ends early once the
// engine is listed with its new stage.
const SettleTime = 12 * time.Second
