// Package telemetry provides the log, metrics and traces of an instance.
package telemetry

import (
	"context"
	"net/http"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

// Tracer records a span for each hop of a request. It propagates the trace between
// processes in the W3C trace context header fields.
type Tracer struct {
	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TraceContext
}

// NewTracer returns a Tracer with the exporter that s configures, or nil for the
// exporter "none". A nil Tracer records nothing and leaves the trace context header
// fields of requests unchanged.
func NewTracer(ctx context.Context, s settings.Traces, instance, zone string) (*Tracer, error) {
	exporter, err := newExporter(ctx, s)
	if exporter == nil || err != nil {
		return nil, err
	}
	return NewTracerWithExporter(exporter, s.SampleRatio, instance, zone), nil
}

// newExporter returns the exporter that s configures, or nil for "none".
func newExporter(ctx context.Context, s settings.Traces) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case "otlp":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
		if err != nil {
			return nil, fault.Wrap(fault.KindInvalidSettings, err, "traces.endpoint")
		}
		return e, nil
	}
	return nil, nil
}

// NewTracerWithExporter returns a Tracer that exports the fraction ratio of new
// traces to e.
func NewTracerWithExporter(e sdktrace.SpanExporter, ratio float64, instance, zone string) *Tracer {
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(e),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "jacinthrampd"),
			attribute.String("service.instance.id", instance),
			attribute.String("cloud.availability_zone", zone),
		)),
	)
	return &Tracer{provider: p, tracer: p.Tracer("jacinthramp")}
}

// Close exports the recorded spans and shuts the exporter down.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// StartServerSpan starts the span of a received request with header h. The span is
// nil if t is nil.
func (t *Tracer) StartServerSpan(ctx context.Context, h http.Header, name string) (context.Context, trace.Span) {
	if t == nil {
		return ctx, nil
	}
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// StartClientSpan starts the span of an attempt to forward r. It returns a copy of r
// with the trace context in its header. If t is nil, the span is nil and r is
// returned unchanged.
func (t *Tracer) StartClientSpan(ctx context.Context, r *http.Request, name string) (context.Context, trace.Span, *http.Request) {
	if t == nil {
		return ctx, nil, r
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	out := *r
	out.Header = r.Header.Clone()
	t.propagator.Inject(ctx, propagation.HeaderCarrier(out.Header))
	return ctx, span, &out
}

// EndSpan ends a span, which may be nil, and records the outcome and kind of the
// request.
func EndSpan(span trace.Span, kind fault.Kind, attributes ...attribute.KeyValue) {
	if span == nil {
		return
	}
	outcome := string(kind.Info().Outcome)
	span.SetAttributes(append(attributes, attribute.String("outcome", outcome), attribute.String("kind", kind.String()))...)
	span.End()
}

// ForceFlush exports the spans that have ended.
func (t *Tracer) ForceFlush(ctx context.Context) error { return t.provider.ForceFlush(ctx) }
