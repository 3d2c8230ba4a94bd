package mangotrace

import (
	"context"
	"slices"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
)

// Span is a finished span.
type Span struct {
	Trace    string
	Span     string
	Parent   string `json:",omitempty"`
	Name     string
	Peer     string `json:",omitempty"`
	Start    time.Time
	Duration mangomodel.Duration
	Error    string `json:",omitempty"`
}

// Recorder keeps the last finished spans. It implements
// [sdktrace.SpanExporter].
type Recorder struct {
	loop *mangoloop.Loop[*state, []Span]
}

// NewRecorder returns a recorder that keeps up to n spans. It records spans
// while Run runs.
func NewRecorder(n int) *Recorder {
	return &Recorder{loop: mangoloop.New[*state, []Span](&state{limit: n})}
}

// Run records exported spans until ctx is done.
func (r *Recorder) Run(ctx context.Context) { r.loop.Run(ctx) }

// Spans returns the kept spans of a trace, or of all traces if traceID is empty,
// in the order in which they were exported.
func (r *Recorder) Spans(traceID string) []Span {
	var spans []Span
	for _, s := range *r.loop.View() {
		if traceID == "" || s.Trace == traceID {
			spans = append(spans, s)
		}
	}
	return spans
}

// ExportSpans records finished spans.
func (r *Recorder) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	finished := make([]Span, len(spans))
	for i, s := range spans {
		finished[i] = spanOf(s)
	}
	return r.loop.Do(ctx, addSpans{finished})
}

// Shutdown does nothing: the recorder holds no resources.
func (r *Recorder) Shutdown(context.Context) error { return nil }

func spanOf(s sdktrace.ReadOnlySpan) Span {
	span := Span{
		Trace: s.SpanContext().TraceID().String(), Span: s.SpanContext().SpanID().String(),
		Name: s.Name(), Start: s.StartTime(), Duration: mangomodel.Duration(s.EndTime().Sub(s.StartTime())),
		Error: s.Status().Description,
	}
	if s.Parent().HasSpanID() {
		span.Parent = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		if a.Key == "Peer" {
			span.Peer = a.Value.AsString()
		}
	}
	return span
}

type state struct {
	spans []Span
	limit int
	dirty bool
}

// Tick does nothing: a recorder has no timers.
func (s *state) Tick(time.Time) {}

// NextDue reports that no tick is due.
func (s *state) NextDue() (time.Time, bool) { return time.Time{}, false }

// View returns a copy of the spans, or last if nothing has been recorded since.
func (s *state) View(last *[]Span, _ time.Time) *[]Span {
	if last != nil && !s.dirty {
		return last
	}
	s.dirty = false
	spans := slices.Clone(s.spans)
	return &spans
}

// addSpans records spans and discards the oldest beyond the limit.
type addSpans struct{ spans []Span }

// Apply implements [mangoloop.Command].
func (c addSpans) Apply(s *state, _ time.Time) error {
	s.spans = append(s.spans, c.spans...)
	s.spans = slices.Clone(s.spans[max(0, len(s.spans)-s.limit):])
	s.dirty = true
	return nil
}
