// Package trace sets up the export of spans, one for each hop of a request.
package trace

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName is the instrumentation scope of all spans.
const tracerName = "sequoiaspan"

// Options configure the exporter of spans.
type Options struct {
	Exporter string // off, stdout or otlp
	Endpoint string // host:port of an OTLP collector
	Instance string
	Stdout   io.Writer
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindExporter Kind = "exporter"
)

// Error is a failure to set up the exporter.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Provider creates tracers. The zero value creates tracers that record nothing.
type Provider struct {
	provider *sdk.TracerProvider
}

// New returns a provider for the exporter in options; any exporter other than stdout and otlp records nothing.
func New(ctx context.Context, options Options) (*Provider, error) {
	var exporter sdk.SpanExporter
	var err error
	switch options.Exporter {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(options.Stdout))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(options.Endpoint), otlptracehttp.WithInsecure())
	default:
		return &Provider{}, nil
	}
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindExporter, Err: err}
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", tracerName), attribute.String("service.instance.id", options.Instance))
	return &Provider{sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(res))}, nil
}

// Tracer returns the tracer that all components share.
func (provider *Provider) Tracer() trace.Tracer {
	if provider.provider == nil {
		return noop.NewTracerProvider().Tracer(tracerName)
	}
	return provider.provider.Tracer(tracerName)
}

// Shutdown exports the remaining spans and stops the exporter.
func (provider *Provider) Shutdown(ctx context.Context) error {
	if provider.provider == nil {
		return nil
	}
	return provider.provider.Shutdown(ctx)
}
