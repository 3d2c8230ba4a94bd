package mangoload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"mangolane/core/mangomodel"
)

// Plan says what to send.
type Plan struct {
	Fronts    []mangomodel.Address
	Workspace mangomodel.WorkspaceID
	Key       string
	Model     mangomodel.ModelID
	// Rates are requests a second by rank.
	Rates [mangomodel.Ranks]float64
	// Prompt and Answer are mean lengths.
	Prompt, Answer mangomodel.Tokens
	Duration       time.Duration
	Seed           uint64
}

// Arrival is one request to send.
type Arrival struct {
	At     time.Duration
	Rank   mangomodel.Rank
	Prompt string
	Answer mangomodel.Tokens
}

// spread bounds the lengths around their mean, as factors.
const (
	shortest = 0.5
	longest  = 1.5
)

// Arrivals returns the requests of a plan in order of time.
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
			Prompt: promptOf(rank, len(list), length(rng, p.Prompt)), Answer: length(rng, p.Answer),
		})
	}
}

func length(rng *rand.Rand, mean mangomodel.Tokens) mangomodel.Tokens {
	factor := shortest + (longest-shortest)*rng.Float64()
	return max(1, mangomodel.Tokens(factor*float64(mean)))
}

// promptOf returns a prompt of n tokens that no other request has.
func promptOf(rank mangomodel.Rank, i int, n mangomodel.Tokens) string {
	head := fmt.Sprintf("%s %d ", rank, i)
	const filler = "log "
	return head + strings.Repeat(filler, max(0, int(n)-len(head)/len(filler)))
}
