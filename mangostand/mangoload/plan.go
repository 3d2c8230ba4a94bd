package mangoload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"mangolane/core/mangomodel"
)

// Plan describes the requests to send.
type Plan struct {
	Daemons   []mangomodel.Address
	Workspace mangomodel.WorkspaceID
	Key       string
	Model     mangomodel.ModelID
	// Rates are requests per second by rank.
	Rates [mangomodel.Ranks]float64
	// MeanPrompt and MeanOutput are the mean lengths of prompts and responses.
	MeanPrompt, MeanOutput mangomodel.Tokens
	Duration               time.Duration
	Seed                   uint64
}

// Arrival is one request to send. At is the time since the start of the plan, and
// Answer the requested length of the response.
type Arrival struct {
	At     time.Duration
	Rank   mangomodel.Rank
	Prompt string
	Answer mangomodel.Tokens
}

// Lengths are uniformly distributed between these multiples of their mean.
const (
	minLengthFactor = 0.5
	maxLengthFactor = 1.5
)

// Arrivals returns the requests of a plan in order of arrival.
func (p Plan) Arrivals() []Arrival {
	var all []Arrival
	for rank, rate := range p.Rates {
		all = append(all, p.arrivalsOf(mangomodel.Rank(rank), rate)...)
	}
	sortByTime(all)
	return all
}

func (p Plan) arrivalsOf(rank mangomodel.Rank, rate float64) []Arrival {
	if rate <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(p.Seed, uint64(rank)))
	var list []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration {
			return list
		}
		list = append(list, Arrival{
			At: at, Rank: rank,
			Prompt: promptOf(rank, len(list), randomLength(rng, p.MeanPrompt)), Answer: randomLength(rng, p.MeanOutput),
		})
	}
}

func randomLength(rng *rand.Rand, mean mangomodel.Tokens) mangomodel.Tokens {
	factor := minLengthFactor + (maxLengthFactor-minLengthFactor)*rng.Float64()
	return max(1, mangomodel.Tokens(factor*float64(mean)))
}

// promptOf returns a prompt of n tokens that is unique within its plan.
func promptOf(rank mangomodel.Rank, i int, n mangomodel.Tokens) string {
	head := fmt.Sprintf("%s %d ", rank, i)
	const filler = "log "
	return head + strings.Repeat(filler, max(0, int(n)-len(head)/len(filler)))
}
