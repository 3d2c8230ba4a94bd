package mangoload

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangolane/core/mangomodel"
)

// Summary aggregates the outcomes of one rank.
type Summary struct {
	Rank mangomodel.Rank
	Sent int
	// Complete counts complete responses; OnTime those within both targets.
	Complete, OnTime int
	// Refused counts requests that ended with a fault and did not run.
	Refused int
	// Failed counts requests that are neither complete nor refused.
	Failed int
	// Wrong counts responses with a wrong, missing or repeated token.
	Wrong int
	// TTFT and TPOT are quantiles over complete responses.
	TTFT, TPOT Quantiles
}

// Quantiles are percentiles of a distribution of durations.
type Quantiles struct{ P50, P95, P99 mangomodel.Duration }

// Targets are the latency targets that a response must meet to count as OnTime.
type Targets struct{ TTFT, TPOT time.Duration }

const (
	// maxSample is the largest duration that a histogram records.
	maxSample = 10 * time.Minute
	// significantDigits is the precision of a histogram, in decimal digits.
	significantDigits = 3
)

// Summarise aggregates outcomes by rank.
func Summarise(outcomes []Outcome, targets [mangomodel.Ranks]Targets) [mangomodel.Ranks]Summary {
	var summaries [mangomodel.Ranks]Summary
	for rank := range summaries {
		summaries[rank] = summariseRank(mangomodel.Rank(rank), outcomes, targets[rank])
	}
	return summaries
}

func summariseRank(rank mangomodel.Rank, outcomes []Outcome, t Targets) Summary {
	s := Summary{Rank: rank}
	ttft := hdrhistogram.New(1, int64(maxSample), significantDigits)
	tpot := hdrhistogram.New(1, int64(maxSample), significantDigits)
	for _, o := range outcomes {
		if o.Arrival.Rank != rank {
			continue
		}
		s.add(o, t)
		if o.Complete {
			// Samples above maxSample are omitted.
			_ = ttft.RecordValue(int64(o.TTFT))
			_ = tpot.RecordValue(int64(o.TPOT))
		}
	}
	s.TTFT, s.TPOT = quantiles(ttft), quantiles(tpot)
	return s
}

func (s *Summary) add(o Outcome, t Targets) {
	s.Sent++
	switch {
	case o.Complete:
		s.Complete++
	case o.Fault.Message != "" && o.Fault.Run == mangomodel.RunNot:
		s.Refused++
	default:
		s.Failed++
	}
	if o.Complete && o.TTFT <= t.TTFT && o.TPOT <= t.TPOT {
		s.OnTime++
	}
	if o.Wrong {
		s.Wrong++
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) mangomodel.Duration { return mangomodel.Duration(h.ValueAtQuantile(q)) }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// defaultTargets are the targets that RunAndReport applies.
var defaultTargets = [mangomodel.Ranks]Targets{
	mangomodel.RankUrgent: {TTFT: 340 * time.Millisecond, TPOT: 31 * time.Millisecond},
	mangomodel.RankBasic:  {TTFT: 5 * time.Second, TPOT: 60 * time.Millisecond},
}

// RunAndReport sends a plan and writes its summary as JSON to standard
// output and, if a path is given, as an HTML report.
func RunAndReport(ctx context.Context, p Plan, path string) error {
	outcomes := Send(ctx, p)
	summaries := Summarise(outcomes, defaultTargets)
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(summaries); err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	if path == "" {
		return nil
	}
	return writeReport(path, outcomes)
}
