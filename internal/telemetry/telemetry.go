// Package telemetry sets up logs, metrics and the health endpoints of a process.
//
// Events are counted by metrics; log lines are written for state changes only. No log line contains a key or a prompt; Redact
// removes keys from text that comes from outside the process.
package telemetry

import (
	"io"
	"regexp"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	otelmetric "go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Identity identifies the process in logs and metrics.
type Identity struct {
	// Role is the role of the process, such as "gateway" or "controller".
	Role          string
	VMName        string
	Region        string
	FailureDomain string
}

// Telemetry holds the logger, the metrics and the health of a process.
type Telemetry struct {
	Log     zerolog.Logger
	Metrics *Metrics
	Health  *Health

	registry *prometheus.Registry
	meter    otelmetric.Meter
}

// New sets up telemetry. Log lines of at least the given level are written to w as JSON.
func New(w io.Writer, level string, id Identity) (*Telemetry, error) {
	log, err := NewLog(w, level, id)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithNamespace("crocusglade"),
		otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "set up the Prometheus exporter")
	}
	provider := metric.NewMeterProvider(metric.WithReader(exporter), metric.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "crocusglade"), attribute.String("role", id.Role),
		attribute.String("vm", id.VMName), attribute.String("region", id.Region),
		attribute.String("failure_domain", id.FailureDomain))))
	meter := provider.Meter("crocusglade")
	metrics, err := NewMetrics(meter)
	if err != nil {
		return nil, err
	}
	return &Telemetry{Log: log, Metrics: metrics, Health: NewHealth(), registry: registry, meter: meter}, nil
}

// NewLog returns a logger that writes JSON lines with the process's identity to w. It returns an error for an unknown level.
func NewLog(w io.Writer, level string, id Identity) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "parse log level; use debug, info, warn or error")
	}
	context := zerolog.New(w).Level(parsed).With().Timestamp()
	for _, field := range [...]struct{ name, value string }{
		{"role", id.Role}, {"vm", id.VMName}, {"failure_domain", id.FailureDomain}} {
		if field.value != "" {
			context = context.Str(field.name, field.value)
		}
	}
	return context.Logger(), nil
}

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// secretPattern matches keys, as created by package auth, and the values of Authorization headers.
var secretPattern = regexp.MustCompile(`\bcg_[A-Za-z0-9._-]*[A-Za-z0-9_-]|(?i:\b(?:bearer|basic) +)\S+`)

// Redacted is the replacement text for a key or credential.
const Redacted = "[redacted]"

// Redact replaces all keys and credentials in s with Redacted.
func Redact(s string) string { return secretPattern.ReplaceAllString(s, Redacted) }
