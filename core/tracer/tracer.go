// Package tracer records a span for each hop of a request and propagates the
// trace between processes in W3C Trace Context headers.
//
// # Usage
//
//	t, err := tracer.New(tracer.Config{Program: "entry", Exporter: tracer.OTLP, Endpoint: "127.0.0.1:4318"})
//	defer t.Stop(ctx)
//	web.Handler = t.Handler("request", handler)
//	client.Transport = t.Transport("attempt", client.Transport)
//
// Handler records a span for each incoming request. Transport records a span for
// each outgoing request that is part of a trace; it ends when the body of the
// response is closed. Outgoing requests outside a trace, such as heartbeats, have
// no spans.
package tracer

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Values of Config.Exporter.
const (
	None   = "none"
	Stdout = "stdout"
	OTLP   = "otlp"
)

// Exporters lists the values of Config.Exporter.
var Exporters = []string{None, Stdout, OTLP}

// ErrExporter is returned for an exporter that is not one of Exporters.
var ErrExporter = eris.New("tracer: exporter must be none, stdout or otlp")

// Config describes a Tracer. An empty Exporter means None.
type Config struct {
	Program  string
	Exporter string
	Endpoint string    // IP:PORT of the collector, for OTLP
	Sink     io.Writer // for Stdout; os.Stdout if nil
}

// Tracer records spans. It is safe for concurrent use.
type Tracer struct {
	tracer trace.Tracer
	stop   func(context.Context) error
}

// scope is the instrumentation scope of the spans.
const scope = "bamboohill"

// propagator carries a trace between processes in HTTP headers.
var propagator = propagation.TraceContext{}

// New returns a Tracer. The error wraps ErrExporter if Config.Exporter is neither
// empty nor one of Exporters.
func New(config Config) (*Tracer, error) {
	var out sdk.SpanExporter
	switch config.Exporter {
	case "", None:
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(scope), stop: func(context.Context) error { return nil }}, nil
	case Stdout:
		if config.Sink == nil {
			config.Sink = os.Stdout
		}
		var err error
		if out, err = stdouttrace.New(stdouttrace.WithWriter(config.Sink)); err != nil {
			return nil, eris.Wrap(err, "tracer: stdout")
		}
	case OTLP:
		out = newCollector(config.Endpoint)
	default:
		return nil, eris.Wrapf(ErrExporter, "exporter %q", config.Exporter)
	}
	name := resource.NewSchemaless(attribute.String("service.name", config.Program))
	provider := sdk.NewTracerProvider(sdk.WithBatcher(out), sdk.WithResource(name))
	return &Tracer{tracer: provider.Tracer(scope), stop: provider.Shutdown}, nil
}

// Stop exports the pending spans and shuts the tracer down.
func (t *Tracer) Stop(ctx context.Context) error { return t.stop(ctx) }

// Handler returns next with a span for each request, as a child of the caller's
// span if the request has one. The named headers of the response become attributes
// of the span.
func (t *Tracer) Handler(name string, next http.Handler, headers ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		ctx := propagator.Extract(q.Context(), propagation.HeaderCarrier(q.Header))
		ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
			attribute.String("http.request.method", q.Method), attribute.String("url.path", q.URL.Path)))
		defer span.End()
		next.ServeHTTP(w, q.WithContext(ctx))
		for _, h := range headers {
			if v := w.Header().Get(h); v != "" {
				span.SetAttributes(attribute.String(h, v))
			}
		}
	})
}

// Transport returns base, or http.DefaultTransport if base is nil, with a span for
// each request that belongs to a trace. It changes only the trace context headers
// of the request.
func (t *Tracer) Transport(name string, base http.RoundTripper) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	return &transport{tracer: t.tracer, name: name, base: base}
}

// transport is the http.RoundTripper that Transport returns.
type transport struct {
	tracer trace.Tracer
	name   string
	base   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(q *http.Request) (*http.Response, error) {
	if !trace.SpanContextFromContext(q.Context()).IsValid() {
		return t.base.RoundTrip(q)
	}
	ctx, span := t.tracer.Start(q.Context(), t.name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("server.address", q.URL.Host), attribute.String("url.path", q.URL.Path)))
	clone := q.Clone(ctx)
	clone.GetBody = q.GetBody
	propagator.Inject(ctx, propagation.HeaderCarrier(clone.Header))
	response, err := t.base.RoundTrip(clone)
	if err != nil {
		span.SetStatus(codes.Error, "no answer")
		span.End()
		return nil, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", response.StatusCode))
	response.Body = &body{ReadCloser: response.Body, span: span}
	return response, nil
}

// body is the body of a response; it ends a span when it is closed.
type body struct {
	io.ReadCloser
	span trace.Span
	once sync.Once
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(func() { b.span.End() })
	return b.ReadCloser.Close()
}

// ValidExporter reports whether an exporter is empty or one of Exporters.
func ValidExporter(exporter string) bool {
	return exporter == "" || slices.Contains(Exporters, exporter)
}
