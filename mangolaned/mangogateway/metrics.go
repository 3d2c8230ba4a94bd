package mangogateway

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/mangolaned/mangotrace"
)

const (
	// pathMetrics is the path of the metrics.
	pathMetrics = "/metrics"
	// pathSpans is the path of the spans of requests, as JSON.
	pathSpans = "/spans"
	// sampleSize and sampleAlpha are the size and the decay factor of the
	// exponentially decaying latency samples.
	sampleSize  = 256
	sampleAlpha = 0.015
)

// metrics counts calls and exchanges.
type metrics struct {
	registry   gometrics.Registry
	workspaces *workspaceCounts
	// closed are the connections that were closed since the last log line of each cause.
	closed occurrences
}

func newMetrics() *metrics {
	return &metrics{registry: gometrics.NewRegistry(), workspaces: newWorkspaceCounts()}
}

func (m *metrics) route() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: pathMetrics, Handler: func(w http.ResponseWriter, _ *http.Request) {
		gometrics.WriteOnce(m.registry, w)
		gometrics.WriteOnce(m.workspaces.registry(), w)
	}}
}

// spansRoute returns the route of the recorded spans of one request or of all.
func (g *Gateway) spansRoute() rest.Route {
	return mangorest.Query(pathSpans, func(r *http.Request) ([]mangotrace.Span, error) {
		id := r.URL.Query().Get("Request")
		if id == "" {
			return g.recorder.Spans(""), nil
		}
		return g.recorder.Spans(mangotrace.TraceIDOf(mangomodel.RequestID(id))), nil
	})
}

func (m *metrics) exchangeFinished(e mangoexchange.Exchange) {
	name := "Exchanges." + e.Phase.String()
	if e.Err != nil {
		m.count(name+".Failed."+mangomodel.AsFault(e.Err, mangomodel.StepCall).Code.String(), 1)
		m.count(name+".EndedBy."+e.EndedBy.String(), 1)
		return
	}
	m.count(name+".Done", 1)
	m.sample(name+".Microseconds", e.Took.Microseconds())
}

func (m *metrics) callFinished(r mangoexchange.Result) {
	kind := "NoRoute"
	if r.Route != nil {
		kind = r.Route.Kind.String()
	}
	m.count("Calls."+kind+"."+outcome(r), 1)
	m.workspaces.add(r.Call.Workspace, outcome(r))
	if refusedKey(r) {
		m.count("Keys."+mangomodel.AsFault(r.Err, mangomodel.StepCall).Code.String(), 1)
	}
	if r.TimeToFirstByte > 0 {
		m.sample("Calls."+kind+".FirstMicroseconds", r.TimeToFirstByte.Microseconds())
	}
}

// refusedKey reports whether a call was refused because of its key.
func refusedKey(r mangoexchange.Result) bool {
	return r.Err != nil && mangomodel.AsFault(r.Err, mangomodel.StepCall).Step == mangomodel.StepAuthorise
}

func outcome(r mangoexchange.Result) string {
	switch {
	case r.OnTime():
		return "OnTime"
	case r.Err == nil:
		return "Late"
	case mangomodel.HasCode(r.Err, mangomodel.CodeCancelled):
		return "Cancelled"
	case r.Status != 0:
		return "Aborted"
	case mangomodel.AsFault(r.Err, mangomodel.StepCall).Run == mangomodel.RunNot:
		return "Refused"
	default:
		return "Failed"
	}
}

func (m *metrics) count(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

func (m *metrics) sample(name string, v int64) {
	h := m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	h.(gometrics.Histogram).Update(v)
}
