// Package mangometrics records the users' measures: goodput under both latency
// targets, wasted prefill, and requests by rank.
//
// # Usage
//
//	m := mangometrics.New()
//	generator := mangoroute.New(..., mangoroute.WithObserver(m))
//	m.WriteJSON(w)
package mangometrics

import (
	"io"

	"github.com/rcrowley/go-metrics"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoroute"
)

const (
	// sampleSize, in values, and sampleAlpha, the decay factor, configure the
	// exponentially decaying samples of latencies.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics is a registry of counters and latency histograms. Its methods are safe
// for concurrent use.
type Metrics struct{ registry metrics.Registry }

// New returns an empty registry.
func New() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// WriteJSON writes all metrics as one JSON document.
func (m *Metrics) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(m.registry, w) }

// RequestFinished counts a request by outcome for its rank and for its workspace,
// and samples its latencies by rank, in microseconds.
func (m *Metrics) RequestFinished(r mangoroute.Result) {
	rank := "Requests." + r.Request.Rank.String()
	m.count(rank+".Total", 1)
	m.count(rank+"."+outcome(r), 1)
	m.count("Workspaces."+string(r.Request.Workspace.ID)+"."+r.Request.Rank.String()+"."+outcome(r), 1)
	m.count("Tokens.Generated", int64(r.Tokens))
	if r.TTFT > 0 {
		m.sample(rank+".TTFT", r.TTFT.Microseconds())
	}
	if r.TPOT > 0 {
		m.sample(rank+".TPOT", r.TPOT.Microseconds())
	}
}

// PrefillDone counts prefilled tokens.
func (m *Metrics) PrefillDone(n mangomodel.Tokens) { m.count("Tokens.Prefilled", int64(n)) }

// PrefillWasted counts prefilled tokens that were never decoded.
func (m *Metrics) PrefillWasted(n mangomodel.Tokens) { m.count("Tokens.PrefillWasted", int64(n)) }

func outcome(r mangoroute.Result) string {
	switch {
	case r.OnTime():
		return "OnTime"
	case r.Err == nil:
		return "Late"
	case mangomodel.AsFault(r.Err, mangomodel.StepRespond).Run == mangomodel.RunNot:
		return "Refused"
	case mangomodel.HasCode(r.Err, mangomodel.CodeCancelled):
		return "Cancelled"
	default:
		return "Failed"
	}
}

func (m *Metrics) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

func (m *Metrics) sample(name string, v int64) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	h.(metrics.Histogram).Update(v)
}
