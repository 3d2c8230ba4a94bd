// Package mangotrace records a span for each hop of a request. It keeps the last
// finished spans in memory, where operators can query them.
//
// # Usage
//
//	recorder := mangotrace.NewRecorder(4096)
//	go recorder.Run(ctx)
//	tracer := mangotrace.Install(recorder, "a1")
//	ctx, end := tracer.Start(ctx, mangomodel.StepPrefill, "p1")
//	end(err)
//
// The trace context is propagated to other daemons as a W3C traceparent; see
// [Inject] and [Extract].
package mangotrace

import (
	"context"
	"crypto/sha256"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"mangolane/core/mangomodel"
)

// batchTimeout is the longest time that a finished span waits for its batch to
// be exported.
const batchTimeout = time.Second

// Tracer starts spans.
type Tracer struct{ tracer trace.Tracer }

// Install exports all spans of the process to a recorder and returns a Tracer.
func Install(r *Recorder, daemon mangomodel.DaemonID) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(r, sdktrace.WithBatchTimeout(batchTimeout)),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("Daemon", string(daemon)))),
	)
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return &Tracer{tracer: provider.Tracer("mangolane")}
}

// Start begins a span for a step at a peer. The returned function ends the span
// and records the error, if any.
func (t *Tracer) Start(ctx context.Context, step mangomodel.Step, peer mangomodel.PeerName) (context.Context, func(error)) {
	ctx, span := t.tracer.Start(ctx, step.String(), trace.WithAttributes(attribute.String("Peer", string(peer))))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// RequestContext returns a context whose spans belong to the trace of a request.
// The trace id is derived from the request id, so the trace can be found by the
// request id alone; see [TraceIDOf].
func (t *Tracer) RequestContext(ctx context.Context, id mangomodel.RequestID) context.Context {
	sum := sha256.Sum256([]byte(id))
	return trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID(sum[:16]), SpanID: trace.SpanID(sum[16:24]), TraceFlags: trace.FlagsSampled,
	}))
}

// TraceIDOf returns the hexadecimal trace id of a request.
func TraceIDOf(id mangomodel.RequestID) string {
	sum := sha256.Sum256([]byte(id))
	return trace.TraceID(sum[:16]).String()
}

// Carrier is the trace context in a message, as a W3C traceparent.
type Carrier struct{ TraceParent string }

// Inject returns the trace context of ctx.
func Inject(ctx context.Context) Carrier {
	m := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, m)
	return Carrier{TraceParent: m["traceparent"]}
}

// Extract returns ctx with the trace context of a received message.
func Extract(ctx context.Context, c Carrier) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": c.TraceParent})
}
